package org.bamboorelay.standins.process;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Objects;

import io.vavr.control.Option;
import org.bamboorelay.standins.connection.StandinRequest;
import org.bamboorelay.standins.connection.StandinResponse;
import org.bamboorelay.standins.connection.StandinService;

/**
 * The object API; see section 4.1 of the design document.
 * <p>
 * Thread-safe.
 */
public final class ObjectApiService implements StandinService {

	private static final String ETAG = "ETag";

	private static final String OBJECTS = "/objects/";

	/** Maximum duration of a watch request, which blocks a thread, in milliseconds. */
	private static final long MAX_WATCH_MILLIS = 55_000;

	private final ObjectTable table;

	/**
	 * Creates the service.
	 * @param table the objects
	 */
	public ObjectApiService(ObjectTable table) {
		this.table = Objects.requireNonNull(table, "table");
	}

	@Override
	public StandinResponse serve(StandinRequest request) {
		try {
			if (request.hasRoute("GET", "/list")) {
				return list(request.query().getOrDefault("prefix", ""));
			}
			if (request.hasRoute("GET", "/watch")) {
				return watch(request.query());
			}
			String key = request.pathAfter(OBJECTS);
			if (key.isEmpty()) {
				return StandinResponse.problem(404, "no such path: " + request.path());
			}
			return switch (request.method()) {
				case "GET" -> read(key);
				case "PUT" -> writeResponse(this.table.write(key, request.body(), condition(request)));
				case "DELETE" -> writeResponse(this.table.delete(key, condition(request)));
				default -> StandinResponse.problem(405, "method " + request.method() + " is not supported");
			};
		}
		catch (NumberFormatException ex) {
			return StandinResponse.problem(400, "invalid number: " + ex.getMessage());
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
			return StandinResponse.closeConnection("interrupted");
		}
	}

	@Override
	public String counterName(StandinRequest request) {
		return switch (request.path()) {
			case "/list" -> "LIST";
			case "/watch" -> "WATCH";
			default -> request.method();
		};
	}

	@Override
	public boolean recordsBody(StandinRequest request) {
		// The checks after a run compare the lease holders with the orders that were
		// accepted.
		return request.isWrite() && request.path().startsWith(OBJECTS + "leases/");
	}

	private StandinResponse read(String key) {
		Option<ObjectTable.Entry> entry = this.table.read(key);
		if (entry.isEmpty()) {
			return StandinResponse.problem(404, "no object \"" + key + "\"");
		}
		return StandinResponse
			.bytes(200, "application/json", Objects.requireNonNull(entry.get().body(), "body of an existing object"))
			.withHeader(ETAG, quoted(entry.get().version()));
	}

	private StandinResponse list(String prefix) {
		List<Map<String, Object>> objects = new ArrayList<>();
		this.table.list(prefix).forEach((key, entry) -> objects.add(Map.of("key", key, "version", entry.version())));
		return StandinResponse.json(200, objects);
	}

	private StandinResponse watch(Map<String, String> query) throws InterruptedException {
		long after = Long.parseLong(query.getOrDefault("after", "0"));
		long wait = Math.min(MAX_WATCH_MILLIS, Long.parseLong(query.getOrDefault("wait_ms", "0")));
		return StandinResponse.json(200, this.table.awaitChanges(query.getOrDefault("prefix", ""), after, wait));
	}

	private static ObjectTable.Condition condition(StandinRequest request) {
		if ("*".equals(request.header("if-none-match"))) {
			return ObjectTable.Condition.ABSENT;
		}
		String match = request.header("if-match");
		return match.isEmpty() ? ObjectTable.Condition.NONE
				: ObjectTable.Condition.version(Long.parseLong(match.replace("\"", "")));
	}

	private static StandinResponse writeResponse(ObjectTable.Outcome outcome) {
		if (outcome.status() != 200) {
			return StandinResponse.problem(outcome.status(), "current version is " + outcome.version());
		}
		return StandinResponse.json(200, Map.of("version", outcome.version()))
			.withHeader(ETAG, quoted(outcome.version()))
			.withOutcome("200 version " + outcome.version());
	}

	private static String quoted(long version) {
		return "\"" + version + "\"";
	}

}
