import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Map;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Stand-in for a sound sampler of a model or of a plain service. It serves one request at
 * a time on a connection and runs no more requests than it has slots; a request beyond
 * these waits.
 */
final class Engine implements AutoCloseable {

	final String id;

	final String service;

	final String zone;

	final String model;

	private final Server server;

	private final Record record;

	private final Platform platform;

	private final Behaviour behaviour;

	private final int slots;

	private final AtomicInteger running = new AtomicInteger();

	private final long born = System.currentTimeMillis();

	private long version = 1;

	private long orders;

	// Serves plain requests if the model is null.
	Engine(String id, String service, String model, String zone, String ip, int port, int slots, Platform platform,
			Record record, Behaviour behaviour) throws IOException {
		this.id = id;
		this.service = service;
		this.model = model;
		this.zone = zone;
		this.slots = slots;
		this.platform = platform;
		this.record = record;
		this.behaviour = behaviour;
		this.server = new Server(ip, port, this::serve);
		register();
	}

	// Writes the entry of this sampler to the store.
	synchronized void register() {
		List<Object> models = (this.model != null)
				? List.of(Json.map("name", this.model, "version", this.version, "adapters", List.of())) : List.of();
		this.platform.write("servers", this.id,
				Json.map("service", this.service, "address", this.server.address(), "zone", this.zone, "version", "v1",
						"slots", this.slots, "state", "ready", "cold_left_ms", 0, "stage", "both", "models", models,
						"seq", 1, "born", this.born));
	}

	int running() {
		return this.running.get();
	}

	private void serve(Socket connection, InputStream in, OutputStream out) throws IOException {
		Exchange exchange = new Exchange(this, connection, out);
		for (Message request = Message.read(in); request != null; request = Message.read(in)) {
			String expected = request.header("X-Expect-Instance");
			if (request.target().equals("/report")) {
				report().send(out);
			}
			else if (request.target().equals("/order")) {
				order(request).send(out);
			}
			else if (request.target().equals("/health")) {
				Message.response(200, new byte[0], "X-Instance-Id", this.id).send(out);
			}
			else if (expected != null && !expected.equals(this.id)) {
				Message.response(421, new byte[0], "X-Instance-Id", this.id).send(out);
			}
			else if (this.running.incrementAndGet() > 2 * this.slots) {
				this.running.decrementAndGet();
				this.record.line("%s refused %s: full", this.id, request.header("X-Request-Id"));
				Message
					.response(503, new byte[0], "X-Not-Executed", "1", "X-Request-Id", request.header("X-Request-Id"))
					.send(out);
			}
			else {
				try {
					this.behaviour.run(request, exchange);
				}
				finally {
					this.running.decrementAndGet();
				}
			}
		}
	}

	private synchronized Message report() {
		return Message.response(200,
				Json.bytes(Json.map("stage", "both", "models",
						List.of(Json.map("name", String.valueOf(this.model), "version", this.version, "adapters",
								List.of())),
						"busy", false, "seq", this.orders, "waiting", 0, "running", this.running.get(), "kv_used", 0,
						"kv_total", 55_021, "handles", 0)),
				"Content-Type", "application/json");
	}

	private synchronized Message order(Message request) {
		Map<String, Object> order = Json.object(request.body);
		if (order.get("precondition") instanceof Long expected && expected != this.orders) {
			return Message.response(409, new byte[0]);
		}
		if ((Long) order.get("version") <= this.version) {
			return Message.response(200, new byte[0]);
		}
		this.version = (Long) order.get("version");
		this.orders++;
		register();
		return Message.response(202, new byte[0]);
	}

	synchronized long version() {
		return this.version;
	}

	@Override
	public void close() throws IOException {
		this.server.close();
	}

	/** How a sampler runs a request and answers it. */
	interface Behaviour {

		void run(Message request, Exchange exchange) throws IOException;

	}

	/** The requests on one connection, one after the other. */
	static final class Exchange {

		final Engine engine;

		final Socket connection;

		final OutputStream out;

		// Bytes to send before the answer to the next request on this connection.
		byte[] late;

		Exchange(Engine engine, Socket connection, OutputStream out) {
			this.engine = engine;
			this.connection = connection;
			this.out = out;
		}

		static String seal(Message request) {
			return "seal-" + request.header("X-Request-Id");
		}

		// Answers with a status, a body and the seal of the sampler.
		Message answer(Message request, int status, String body) {
			return Message.response(status, body.getBytes(StandardCharsets.UTF_8), "X-Request-Id",
					request.header("X-Request-Id"), "X-Server-Seal", seal(request));
		}

		// Streams the events of an item, from the one after Last-Event-Id on.
		void stream(Message request, int events, int eventBytes, long eventMillis) throws IOException {
			String after = request.header("Last-Event-Id");
			this.out.write(streamHead(request));
			for (int event = (after != null) ? Integer.parseInt(after) + 1 : 1; event <= events; event++) {
				Platform.pause(eventMillis);
				chunk(this.out, "id: " + event + "\ndata: " + data(request.header("X-Request-Id"), event, eventBytes)
						+ "\n\n");
			}
			lastChunk(this.out);
		}

		byte[] streamHead(Message request) {
			Message head = new Message("HTTP/1.1 200 OK");
			head.headers.add(new String[] { "X-Request-Id", request.header("X-Request-Id") });
			head.headers.add(new String[] { "X-Server-Seal", seal(request) });
			head.headers.add(new String[] { "X-Weight-Versions", Long.toString(this.engine.version()) });
			head.headers.add(new String[] { "Content-Type", "text/event-stream" });
			head.headers.add(new String[] { "Transfer-Encoding", "chunked" });
			return head.head();
		}

		static void chunk(OutputStream out, String text) throws IOException {
			byte[] bytes = text.getBytes(StandardCharsets.UTF_8);
			out.write((Integer.toHexString(bytes.length) + "\r\n").getBytes(StandardCharsets.US_ASCII));
			out.write(bytes);
			out.write("\r\n".getBytes(StandardCharsets.US_ASCII));
			out.flush();
		}

		static void lastChunk(OutputStream out) throws IOException {
			out.write("0\r\n\r\n".getBytes(StandardCharsets.US_ASCII));
			out.flush();
		}

		// The data of an event; the same at each sampler.
		static String data(String id, int event, int bytes) {
			String start = id + "." + event + ".";
			return start + "x".repeat(Math.max(0, bytes - start.length()));
		}

	}

}
