package review3;

import java.io.IOException;
import java.net.ServerSocket;
import java.nio.charset.StandardCharsets;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * A model server: runs items as streams of events, resumes after {@code Last-Event-Id},
 * tells its state and takes orders for weights.
 */
final class Engine {

	final String id;

	final ServerSocket server;

	final AtomicInteger running = new AtomicInteger();

	/** How often each request began to run here. */
	final Map<String, AtomicInteger> runs = new ConcurrentHashMap<>();

	/** When each request was here last: at a begin or an end of a run; while it runs, now. */
	final Map<String, Long> lastHere = new ConcurrentHashMap<>();

	final Map<String, AtomicInteger> here = new ConcurrentHashMap<>();

	/** The requests whose last event was sent. */
	final java.util.Set<String> finished = ConcurrentHashMap.newKeySet();

	/** The id of the request that crashes this server; none if no request does. */
	volatile String poison = "";

	/** Called when that request begins to run. */
	volatile java.util.function.Consumer<Http.Connection> onPoison = (connection) -> {
	};

	private final java.util.Set<Http.Connection> connections = ConcurrentHashMap.newKeySet();

	volatile int events = 10;

	volatile int eventBytes = 100;

	volatile int eventMillis = 5;

	Engine(String ip, String id) throws IOException {
		this.id = id;
		this.server = Http.serve(ip, 0, this::handle);
	}

	String address() {
		return this.server.getInetAddress().getHostAddress() + ":" + this.server.getLocalPort();
	}

	static String data(String request, int number, int bytes) {
		String start = request + "." + number + ".";
		return start + "x".repeat(Math.max(0, bytes - start.length()));
	}

	static String output(String request, int events, int bytes) {
		StringBuilder text = new StringBuilder();
		for (int number = 1; number <= events; number++) {
			text.append((number > 1) ? "\n" : "").append(data(request, number, bytes));
		}
		return text.toString();
	}

	/** Ends the server at once: all its connections are reset. */
	void crash() {
		try {
			this.server.close();
			for (Http.Connection connection : this.connections) {
				connection.reset();
			}
		}
		catch (IOException ex) {
			// A connection had ended before.
		}
	}

	private boolean handle(Http.Message request, Http.Connection connection) throws Exception {
		this.connections.add(connection);
		String path = request.path();
		if (path.equals("/report")) {
			connection.send(200, Map.of("Content-Type", "application/json"),
					("{\"stage\":\"both\",\"models\":[{\"name\":\"daka510000\",\"version\":1,\"adapters\":[]}],"
							+ "\"busy\":false,\"seq\":0,\"waiting\":0,\"running\":" + this.running.get()
							+ ",\"kv_used\":0,\"kv_total\":90000,\"handles\":0}")
						.getBytes(StandardCharsets.UTF_8));
			return true;
		}
		if (!request.header("X-Expect-Instance").isEmpty() && !request.header("X-Expect-Instance").equals(this.id)) {
			connection.send(421, Map.of("X-Instance-Id", this.id), new byte[0]);
			return true;
		}
		String number = request.header("X-Request-Id");
		int after = request.header("Last-Event-Id").isEmpty() ? 0 : Integer.parseInt(request.header("Last-Event-Id"));
		this.runs.computeIfAbsent(number, (unused) -> new AtomicInteger()).incrementAndGet();
		this.running.incrementAndGet();
		this.lastHere.put(number, System.nanoTime());
		this.here.computeIfAbsent(number, (unused) -> new AtomicInteger()).incrementAndGet();
		try {
			Map<String, String> headers = new LinkedHashMap<>();
			headers.put("X-Request-Id", number);
			headers.put("X-Server-Seal", "seal." + number);
			headers.put("X-Weight-Versions", "1");
			headers.put("Content-Type", "text/event-stream");
			connection.startChunks(200, headers);
			for (int event = after + 1; event <= this.events; event++) {
				if (this.eventMillis > 0) {
					TimeUnit.MILLISECONDS.sleep(this.eventMillis);
				}
				if (number.equals(this.poison) && event == after + 1) {
					this.onPoison.accept(connection);
					return false;
				}
				connection.chunk("id: " + event + "\ndata: " + data(number, event, this.eventBytes) + "\n\n");
			}
			connection.endChunks();
			this.finished.add(number);
		}
		finally {
			this.here.get(number).decrementAndGet();
			this.lastHere.put(number, System.nanoTime());
			this.running.decrementAndGet();
		}
		return true;
	}

}
