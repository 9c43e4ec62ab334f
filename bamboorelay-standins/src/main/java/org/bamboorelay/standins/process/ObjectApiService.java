package org.bamboorelay.standins.process;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Objects;

import io.vavr.control.Option;
import org.bamboorelay.standins.connection.StandinReply;
import org.bamboorelay.standins.connection.StandinRequest;
import org.bamboorelay.standins.connection.StandinService;

/**
 * The object API; see section 4.1 of the design page.
 * <p>
 * Thread-safe.
 */
public final class ObjectApiService implements StandinService {

	private static final String ETAG = "ETag";

	private static final String OBJECTS = "/objects/";

	/** Bounds how long a watch holds its thread, in milliseconds. */
	private static final long MAX_WAIT_MILLIS = 55_000;

	private final ObjectTable table;

	/**
	 * Creates the service.
	 * @param table the objects
	 */
	public ObjectApiService(ObjectTable table) {
		this.table = Objects.requireNonNull(table, "table");
	}

	@Override
	public StandinReply serve(StandinRequest request) {
		try {
			if (request.is("GET", "/list")) {
				return list(request.query().getOrDefault("prefix", ""));
			}
			if (request.is("GET", "/watch")) {
				return watch(request.query());
			}
			String key = request.after(OBJECTS);
			if (key.isEmpty()) {
				return StandinReply.problem(404, "no such path: " + request.path());
			}
			return switch (request.method()) {
				case "GET" -> read(key);
				case "PUT" -> written(this.table.write(key, request.body(), condition(request)));
				case "DELETE" -> written(this.table.delete(key, condition(request)));
				default -> StandinReply.problem(405, "method " + request.method() + " is not served");
			};
		}
		catch (NumberFormatException ex) {
			return StandinReply.problem(400, "not a number: " + ex.getMessage());
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
			return StandinReply.closed("interrupted");
		}
	}

	@Override
	public String countName(StandinRequest request) {
		return switch (request.path()) {
			case "/list" -> "LIST";
			case "/watch" -> "WATCH";
			default -> request.method();
		};
	}

	@Override
	public boolean showsBody(StandinRequest request) {
		// The checks of a run compare lease holders with the orders that receivers took.
		return request.isWrite() && request.path().startsWith(OBJECTS + "leases/");
	}

	private StandinReply read(String key) {
		Option<ObjectTable.Entry> entry = this.table.read(key);
		if (entry.isEmpty()) {
			return StandinReply.problem(404, "no object \"" + key + "\"");
		}
		return StandinReply
			.bytes(200, "application/json", Objects.requireNonNull(entry.get().body(), "body of an existing object"))
			.withHeader(ETAG, quoted(entry.get().version()));
	}

	private StandinReply list(String prefix) {
		List<Map<String, Object>> found = new ArrayList<>();
		this.table.list(prefix).forEach((key, entry) -> found.add(Map.of("key", key, "version", entry.version())));
		return StandinReply.json(200, found);
	}

	private StandinReply watch(Map<String, String> query) throws InterruptedException {
		long after = Long.parseLong(query.getOrDefault("after", "0"));
		long wait = Math.min(MAX_WAIT_MILLIS, Long.parseLong(query.getOrDefault("wait_ms", "0")));
		return StandinReply.json(200, this.table.awaitChanges(query.getOrDefault("prefix", ""), after, wait));
	}

	private static ObjectTable.Condition condition(StandinRequest request) {
		if ("*".equals(request.header("if-none-match"))) {
			return ObjectTable.Condition.ABSENT;
		}
		String match = request.header("if-match");
		return match.isEmpty() ? ObjectTable.Condition.NONE
				: ObjectTable.Condition.version(Long.parseLong(match.replace("\"", "")));
	}

	private static StandinReply written(ObjectTable.Outcome outcome) {
		if (outcome.status() != 200) {
			return StandinReply.problem(outcome.status(), "present version " + outcome.version());
		}
		return StandinReply.json(200, Map.of("version", outcome.version()))
			.withHeader(ETAG, quoted(outcome.version()))
			.withOutcome("200 version " + outcome.version());
	}

	private static String quoted(long version) {
		return "\"" + version + "\"";
	}

}
