package org.bamboorelay.standins.process;

import java.io.IOException;
import java.io.InterruptedIOException;
import java.io.OutputStream;
import java.net.SocketException;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Objects;
import java.util.TreeMap;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicReference;

import com.fasterxml.jackson.databind.JsonNode;
import org.bamboorelay.runtime.request.Json;
import org.bamboorelay.standins.connection.Faults;
import org.bamboorelay.standins.connection.RequestRecord;
import org.bamboorelay.standins.connection.StandinRequest;
import org.bamboorelay.standins.connection.StandinResponse;
import org.bamboorelay.standins.connection.StandinService;

/**
 * HTTP interface of a model engine; see section 4.2 of the design document. Faults:
 * {@code crash} (true, or {@code "stay"} to remain stopped until the fault is deleted),
 * {@code cold} (true to be cold without reporting it, {@code "told"} to show it in the
 * load report), {@code fail-swap}, {@code no-label}, {@code wrong-id}, {@code truncate},
 * {@code double}, {@code stall}, {@code leaving}; the ordering stand-in sends
 * {@code start} and {@code stop}.
 * <p>
 * Thread-safe.
 */
public final class EngineService implements StandinService {

	private static final String EVENT_STREAM = "text/event-stream";

	private static final String REQUESTS = "/requests/";

	private static final String CANCEL = "/cancel";

	private final AtomicReference<String> lastRequestId = new AtomicReference<>("none");

	private final EngineSettings settings;

	private final SimulatedEngine engine;

	private final EngineOrders orders;

	private final Faults faults;

	private final RequestRecord record;

	/**
	 * Creates the interface.
	 * @param settings the settings
	 * @param engine the simulated engine
	 * @param orders executes the weight load orders
	 * @param faults the active faults
	 * @param record receives the counters and the outcome of each stream
	 */
	public EngineService(EngineSettings settings, SimulatedEngine engine, EngineOrders orders, Faults faults,
			RequestRecord record) {
		this.settings = Objects.requireNonNull(settings, "settings");
		this.engine = Objects.requireNonNull(engine, "engine");
		this.orders = Objects.requireNonNull(orders, "orders");
		this.faults = Objects.requireNonNull(faults, "faults");
		this.record = Objects.requireNonNull(record, "record");
	}

	@Override
	public StandinResponse serve(StandinRequest request) {
		if (!this.engine.isStarted()) {
			return StandinResponse.closeConnection("the endpoint is stopped");
		}
		if (request.hasRoute("POST", "/v1/completions")) {
			return complete(request);
		}
		if (request.hasRoute("GET", "/load")) {
			return StandinResponse.json(200, this.engine.load().withLeaving(this.faults.isActive("leaving")));
		}
		if (request.hasRoute("POST", "/orders")) {
			return this.orders.execute(request.json());
		}
		if (request.hasRoute("GET", "/cache-events")) {
			return cacheEvents(request.query().getOrDefault("after", "0"));
		}
		String id = request.pathAfter(REQUESTS);
		if ("POST".equals(request.method()) && id.endsWith(CANCEL)) {
			String cancelled = id.substring(0, id.length() - CANCEL.length());
			return StandinResponse.json(this.engine.cancel(cancelled) ? 200 : 404, Map.of("id", cancelled));
		}
		return StandinResponse.problem(404, "no such path: " + request.method() + " " + request.path());
	}

	@Override
	public String counterName(StandinRequest request) {
		return switch (request.path()) {
			case "/v1/completions" -> "COMPLETION";
			case "/load" -> "LOAD";
			case "/orders" -> "ORDER";
			case "/cache-events" -> "CACHE_EVENTS";
			default -> request.path().startsWith(REQUESTS) ? "CANCEL" : request.method();
		};
	}

	@Override
	public boolean recordsBody(StandinRequest request) {
		// The checks after a run search the recorded bodies for callers' keys.
		return true;
	}

	@Override
	public void onFault(String name, JsonNode value) {
		if (value.isNull()) {
			boolean stayedDown = this.faults.value(name, "")
				.exists((previousValue) -> "stay".equals(previousValue.asText()));
			if ("crash".equals(name) && stayedDown) {
				this.engine.start();
			}
			return;
		}
		switch (name) {
			case "crash" -> {
				this.engine.crash();
				if ("stay".equals(value.asText())) {
					this.engine.stop();
				}
			}
			case "cold" -> this.engine.makeCold(!"told".equals(value.asText()));
			case "start" -> this.engine.start();
			case "stop" -> this.engine.stop();
			default -> {
				// Other faults are looked up when a request is handled.
			}
		}
	}

	private StandinResponse cacheEvents(String after) {
		try {
			return StandinResponse.json(200, this.engine.cacheEvents(Long.parseLong(after)));
		}
		catch (NumberFormatException ex) {
			return StandinResponse.problem(400, "query parameter after is not a number: \"" + after + "\"");
		}
	}

	private StandinResponse complete(StandinRequest rawRequest) {
		JsonNode body = rawRequest.json();
		String service = this.settings.identity().service();
		if (!service.equals(body.path("model").asText(service))) {
			return StandinResponse.problem(404, "this engine serves only the model \"" + service + "\"");
		}
		String id = rawRequest.header("x-request-id");
		EngineRequest request = EngineRequest.of(id, body, this.settings.lines().get(0));
		if (!this.engine.hasLine(request.line())) {
			return StandinResponse.problem(404, "this engine has no weight line \"" + request.line() + "\"");
		}
		String previousId = this.lastRequestId.getAndSet(id);
		String responseId = this.faults.isActive("wrong-id") ? previousId : id;
		return StandinResponse.stream(EVENT_STREAM, (out) -> stream(request, responseId, out))
			.withHeader("X-Request-Id", responseId)
			.withOutcome("stream " + id + " of " + request.line());
	}

	private void stream(EngineRequest request, String id, OutputStream out) throws IOException {
		Generation generation = this.engine.submit(request);
		EventWriter writer = new EventWriter(id, out, this.faults);
		Map<String, Integer> tokensByVersion = new TreeMap<>();
		String finish = "closed";
		try {
			while (writer.isOpen()) {
				for (GenerationEvent event : generation.take()) {
					if (event.finish().equals(GenerationEvent.DROPPED)) {
						finish = GenerationEvent.DROPPED;
						throw new SocketException("the engine dropped the stream");
					}
					if (event.tokens() > 0) {
						tokensByVersion.merge(event.weightVersion(), event.tokens(), Integer::sum);
					}
					if (writer.isOpen()) {
						writer.write(event);
						finish = event.isLast() ? event.finish() : finish;
					}
				}
				out.flush();
			}
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
			throw new InterruptedIOException("interrupted");
		}
		finally {
			this.engine.remove(generation);
			int tokens = tokensByVersion.values().stream().mapToInt(Integer::intValue).sum();
			this.record.increment("finish_" + finish);
			this.record.increment("tokens_" + finish, tokens);
			if (request.resumeTokens() > 0) {
				this.record.increment("resumed");
			}
			this.record.add(Map.of("stream", request.id(), "line", request.line(), "events", writer.written(), "made",
					tokensByVersion, "finish", finish, "resumed_from", request.resumeTokens()));
		}
	}

	/**
	 * Writes the events of one stream and applies the faults that alter it.
	 */
	private static final class EventWriter {

		private static final byte[] EVENT_END = { '\n', '\n' };

		private static final byte[] DATA = { 'd', 'a', 't', 'a', ':', ' ' };

		private static final byte[] DONE = { '[', 'D', 'O', 'N', 'E', ']' };

		private final String id;

		private final OutputStream out;

		private final Faults faults;

		private int written;

		private boolean closed;

		private EventWriter(String id, OutputStream out, Faults faults) {
			this.id = id;
			this.out = out;
			this.faults = faults;
		}

		private int written() {
			return this.written;
		}

		private boolean isOpen() {
			return !this.closed;
		}

		private void write(GenerationEvent event) throws IOException, InterruptedException {
			JsonNode truncate = this.faults.value("truncate", "").getOrNull();
			if (truncate != null && this.written >= Faults.numberOf(truncate, "n", 1)) {
				this.out.flush();
				this.closed = true;
				if (truncate.path("clean").asBoolean()) {
					return;
				}
				throw new SocketException("fault: stream truncated after " + this.written + " events");
			}
			JsonNode stall = this.faults.value("stall", "").getOrNull();
			if (stall != null && this.written == 1) {
				this.out.flush();
				TimeUnit.MILLISECONDS.sleep(Faults.numberOf(stall, "ms", 0));
			}
			byte[] line = eventJson(event);
			writeData(line);
			if (this.faults.isActive("double")) {
				writeData(line);
			}
			this.written++;
			if (event.isLast()) {
				writeData(DONE);
				this.closed = true;
			}
		}

		private byte[] eventJson(GenerationEvent event) {
			Map<String, Object> fields = new LinkedHashMap<>();
			fields.put("id", this.id);
			fields.put("index", event.index());
			fields.put("text", event.text());
			fields.put("tokens", event.tokens());
			if (!this.faults.isActive("no-label")) {
				fields.put("weight_version", event.weightVersion());
			}
			if (event.isLast()) {
				fields.put("finish_reason", event.finish());
			}
			return Json.bytes(fields);
		}

		private void writeData(byte[] line) throws IOException {
			this.out.write(DATA);
			this.out.write(line);
			this.out.write(EVENT_END);
		}

	}

}
