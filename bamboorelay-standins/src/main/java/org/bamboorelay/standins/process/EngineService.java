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
import org.bamboorelay.standins.connection.CallRecord;
import org.bamboorelay.standins.connection.Faults;
import org.bamboorelay.standins.connection.StandinReply;
import org.bamboorelay.standins.connection.StandinRequest;
import org.bamboorelay.standins.connection.StandinService;

/**
 * HTTP interface of a model engine; see section 4.2 of the design page. Faults:
 * {@code crash} (true, or {@code "stay"} to stay down until it is deleted), {@code cold}
 * (true for silently, {@code "told"} to show it in the load report), {@code fail-swap},
 * {@code no-label}, {@code wrong-id}, {@code truncate}, {@code double}, {@code stall},
 * {@code leaving}; {@code start} and {@code stop} are sent by the ordering stand-in.
 * <p>
 * Thread-safe.
 */
public final class EngineService implements StandinService {

	private static final String EVENT_STREAM = "text/event-stream";

	private static final String REQUESTS = "/requests/";

	private static final String CANCEL = "/cancel";

	private final AtomicReference<String> lastId = new AtomicReference<>("none");

	private final EngineSettings settings;

	private final EngineState state;

	private final EngineOrders orders;

	private final Faults faults;

	private final CallRecord record;

	/**
	 * Creates the interface.
	 * @param settings the settings
	 * @param state the engine
	 * @param orders its orders
	 * @param faults the faults that are on
	 * @param record takes the counters and the outcome of each stream
	 */
	public EngineService(EngineSettings settings, EngineState state, EngineOrders orders, Faults faults,
			CallRecord record) {
		this.settings = Objects.requireNonNull(settings, "settings");
		this.state = Objects.requireNonNull(state, "state");
		this.orders = Objects.requireNonNull(orders, "orders");
		this.faults = Objects.requireNonNull(faults, "faults");
		this.record = Objects.requireNonNull(record, "record");
	}

	@Override
	public StandinReply serve(StandinRequest request) {
		if (!this.state.isOn()) {
			return StandinReply.closed("the endpoint is stopped");
		}
		if (request.is("POST", "/v1/completions")) {
			return complete(request);
		}
		if (request.is("GET", "/load")) {
			return StandinReply.json(200, this.state.load().withLeaving(this.faults.isOn("leaving")));
		}
		if (request.is("POST", "/orders")) {
			return this.orders.take(request.json());
		}
		if (request.is("GET", "/cache-events")) {
			return cacheEvents(request.query().getOrDefault("after", "0"));
		}
		String id = request.after(REQUESTS);
		if ("POST".equals(request.method()) && id.endsWith(CANCEL)) {
			String cancelled = id.substring(0, id.length() - CANCEL.length());
			return StandinReply.json(this.state.cancel(cancelled) ? 200 : 404, Map.of("id", cancelled));
		}
		return StandinReply.problem(404, "no such path: " + request.method() + " " + request.path());
	}

	@Override
	public String countName(StandinRequest request) {
		return switch (request.path()) {
			case "/v1/completions" -> "COMPLETION";
			case "/load" -> "LOAD";
			case "/orders" -> "ORDER";
			case "/cache-events" -> "CACHE_EVENTS";
			default -> request.path().startsWith(REQUESTS) ? "CANCEL" : request.method();
		};
	}

	@Override
	public boolean showsBody(StandinRequest request) {
		// The checks of a run search the bodies for callers' keys.
		return true;
	}

	@Override
	public void onFault(String name, JsonNode value) {
		if (value.isNull()) {
			boolean stayedDown = this.faults.value(name, "").exists((old) -> "stay".equals(old.asText()));
			if ("crash".equals(name) && stayedDown) {
				this.state.start();
			}
			return;
		}
		switch (name) {
			case "crash" -> {
				this.state.crash();
				if ("stay".equals(value.asText())) {
					this.state.stop();
				}
			}
			case "cold" -> this.state.turnCold(!"told".equals(value.asText()));
			case "start" -> this.state.start();
			case "stop" -> this.state.stop();
			default -> {
				// Other faults are looked up when they matter.
			}
		}
	}

	private StandinReply cacheEvents(String after) {
		try {
			return StandinReply.json(200, this.state.cacheEvents(Long.parseLong(after)));
		}
		catch (NumberFormatException ex) {
			return StandinReply.problem(400, "after is not a number: \"" + after + "\"");
		}
	}

	private StandinReply complete(StandinRequest raw) {
		JsonNode body = raw.json();
		String service = this.settings.identity().service();
		if (!service.equals(body.path("model").asText(service))) {
			return StandinReply.problem(404, "this engine has the model \"" + service + "\" only");
		}
		String id = raw.header("x-request-id");
		EngineRequest request = EngineRequest.of(id, body, this.settings.lines().get(0));
		if (!this.state.hasLine(request.line())) {
			return StandinReply.problem(404, "this engine has no line \"" + request.line() + "\"");
		}
		String previous = this.lastId.getAndSet(id);
		String echoed = this.faults.isOn("wrong-id") ? previous : id;
		return StandinReply.stream(EVENT_STREAM, (out) -> stream(request, echoed, out))
			.withHeader("X-Request-Id", echoed)
			.withOutcome("stream " + id + " of " + request.line());
	}

	private void stream(EngineRequest request, String id, OutputStream out) throws IOException {
		Generation generation = this.state.submit(request);
		EventWriter writer = new EventWriter(id, out, this.faults);
		Map<String, Integer> made = new TreeMap<>();
		String finish = "closed";
		try {
			while (writer.goesOn()) {
				for (GenerationEvent event : generation.take()) {
					if (event.finish().equals(GenerationEvent.DROPPED)) {
						finish = GenerationEvent.DROPPED;
						throw new SocketException("the engine dropped the stream");
					}
					if (event.tokens() > 0) {
						made.merge(event.weightVersion(), event.tokens(), Integer::sum);
					}
					if (writer.goesOn()) {
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
			this.state.remove(generation);
			int tokens = made.values().stream().mapToInt(Integer::intValue).sum();
			this.record.count("finish_" + finish);
			this.record.count("tokens_" + finish, tokens);
			if (request.resumeTokens() > 0) {
				this.record.count("resumed");
			}
			this.record.add(Map.of("stream", request.id(), "line", request.line(), "events", writer.written(), "made",
					made, "finish", finish, "resumed_from", request.resumeTokens()));
		}
	}

	/**
	 * Writes the events of one stream, with the faults that change them.
	 */
	private static final class EventWriter {

		private static final byte[] LINE_END = { '\n', '\n' };

		private static final byte[] DATA = { 'd', 'a', 't', 'a', ':', ' ' };

		private static final byte[] DONE = { '[', 'D', 'O', 'N', 'E', ']' };

		private final String id;

		private final OutputStream out;

		private final Faults faults;

		private int written;

		private boolean done;

		private EventWriter(String id, OutputStream out, Faults faults) {
			this.id = id;
			this.out = out;
			this.faults = faults;
		}

		private int written() {
			return this.written;
		}

		private boolean goesOn() {
			return !this.done;
		}

		private void write(GenerationEvent event) throws IOException, InterruptedException {
			JsonNode truncate = this.faults.value("truncate", "").getOrNull();
			if (truncate != null && this.written >= Faults.number(truncate, "n", 1)) {
				this.out.flush();
				this.done = true;
				if (truncate.path("clean").asBoolean()) {
					return;
				}
				throw new SocketException("fault: the stream is cut after " + this.written + " events");
			}
			JsonNode stall = this.faults.value("stall", "").getOrNull();
			if (stall != null && this.written == 1) {
				this.out.flush();
				TimeUnit.MILLISECONDS.sleep(Faults.number(stall, "ms", 0));
			}
			byte[] line = line(event);
			writeLine(line);
			if (this.faults.isOn("double")) {
				writeLine(line);
			}
			this.written++;
			if (event.isLast()) {
				writeLine(DONE);
				this.done = true;
			}
		}

		private byte[] line(GenerationEvent event) {
			Map<String, Object> fields = new LinkedHashMap<>();
			fields.put("id", this.id);
			fields.put("index", event.index());
			fields.put("text", event.text());
			fields.put("tokens", event.tokens());
			if (!this.faults.isOn("no-label")) {
				fields.put("weight_version", event.weightVersion());
			}
			if (event.isLast()) {
				fields.put("finish_reason", event.finish());
			}
			return Json.bytes(fields);
		}

		private void writeLine(byte[] line) throws IOException {
			this.out.write(DATA);
			this.out.write(line);
			this.out.write(LINE_END);
		}

	}

}
