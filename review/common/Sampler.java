package review.common;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.Predicate;

/**
 * Stand-in for a sampler. Requests with a {@code Last-Event-Id} or under {@code /items/} or {@code /stream/} get a
 * stream of events, others a plain answer. Registers itself in the store.
 */
public final class Sampler implements AutoCloseable {

	/** Time from a crash to the next start, in milliseconds. */
	private static final long RESTART_MILLIS = 3_000;

	private static final String ENDLESS_DATA = "x".repeat(1_000);

	public final String id;

	private final String service;

	private final String zone;

	private volatile long born = System.currentTimeMillis();

	private final Store store;

	private final Log log;

	private volatile Http.Server server;

	private final AtomicLong version = new AtomicLong(1);

	private final AtomicInteger orders = new AtomicInteger();

	/** What arrived, in order. */
	public final List<Arrival> arrivals = new CopyOnWriteArrayList<>();

	/** How long a plain request works, in milliseconds. */
	public volatile long workMillis = 20;

	/** Number of events of a stream. */
	public volatile int events = 10;

	/** Time between two events, in milliseconds. */
	public volatile long eventMillis = 20;

	public Sampler(String id, String service, String zone, String ip, Store store, Log log) throws IOException {
		this.id = id;
		this.service = service;
		this.zone = zone;
		this.store = store;
		this.log = log;
		this.server = Http.listen(ip, this::handle);
	}

	/** Writes the entry of this sampler. */
	public void register(String state) {
		this.store.put("servers", this.id,
				"{'service':'" + this.service + "','address':'" + this.server.address() + "','zone':'" + this.zone
						+ "','version':'v1','slots':16,'state':'" + state + "','cold_left_ms':0,'stage':'both',"
						+ "'models':[{'name':'m','version':" + this.version.get() + ",'adapters':[]}],'seq':1,'born':"
						+ this.born + "}");
	}

	@Override
	public void close() {
		this.server.close();
	}

	/** Accepts the requests under which this sampler crashes, by their ids. */
	public volatile Predicate<String> crashesUnder = (id) -> false;

	private boolean restarting;

	/** Whether its streams have no end: further events follow until the caller closes. */
	public volatile boolean endless;

	/** When it crashed, in milliseconds of the record. */
	public final List<Long> crashes = new CopyOnWriteArrayList<>();

	// Ends all connections, as the end of the process does, and starts again under the same id and address.
	private synchronized void crash(long startedAt) {
		if (startedAt != this.born || this.restarting) {
			return;
		}
		this.restarting = true;
		this.crashes.add(this.log.millis());
		this.log.line("crash of " + this.id);
		String address = this.server.address();
		this.server.close();
		Http.daemon(() -> {
			try {
				TimeUnit.MILLISECONDS.sleep(RESTART_MILLIS);
				this.server = Http.listen(address, this::handle);
				this.born = System.currentTimeMillis();
				this.orders.set(0);
				this.restarting = false;
				this.log.line("start of " + this.id);
				register("ready");
			}
			catch (IOException | InterruptedException ex) {
				this.log.line("no start of " + this.id + ": " + ex);
			}
		});
	}

	private void handle(Http.Request request, Http.Exchange exchange) throws Exception {
		String path = request.pathWithoutQuery();
		if (path.equals("/report")) {
			exchange.reply(200,
					"{\"stage\":\"both\",\"models\":[{\"name\":\"m\",\"version\":" + this.version.get()
							+ ",\"adapters\":[]}],\"busy\":false,\"seq\":" + this.orders.get()
							+ ",\"waiting\":0,\"running\":0,\"kv_used\":0,\"kv_total\":50000,\"handles\":0}");
			return;
		}
		if (path.equals("/order")) {
			this.orders.incrementAndGet();
			this.log.line("order at " + this.id + " " + request.text());
			exchange.reply(202, "{}");
			return;
		}
		if (!request.header("X-Expect-Instance").isEmpty() && !request.header("X-Expect-Instance").equals(this.id)) {
			exchange.reply(421, Map.of("X-Instance-Id", this.id), new byte[0]);
			return;
		}
		String requestId = request.header("X-Request-Id");
		Arrival arrival = new Arrival(requestId, this.id, this.log.millis(), path);
		this.arrivals.add(arrival);
		this.log.line("runs " + requestId + " at " + this.id + " " + request.method() + " " + path + " body "
				+ request.body().length);
		try {
			run(request, exchange, arrival);
		}
		finally {
			arrival.endMillis = this.log.millis();
		}
	}

	private void run(Http.Request request, Http.Exchange exchange, Arrival arrival) throws Exception {
		String path = arrival.path;
		String requestId = arrival.request;
		if (this.crashesUnder.test(requestId)) {
			crash(this.born);
			exchange.close();
			return;
		}
		boolean stream = path.startsWith("/items/") || path.startsWith("/stream/");
		Map<String, String> headers = Http.orderedMap("X-Request-Id", requestId, "X-Server-Seal", "seal-" + requestId,
				"X-Server-Load", "1,0,16", "Content-Type", stream ? "text/event-stream" : "text/plain");
		if (!stream) {
			if (!work(exchange, this.workMillis)) {
				this.log.line("dropped " + requestId + " at " + this.id + ": its connection was closed");
				return;
			}
			arrival.finished = true;
			this.log.line("done " + requestId + " at " + this.id);
			exchange.reply(200, headers, ("answer to " + requestId).getBytes(StandardCharsets.UTF_8));
			return;
		}
		headers.put("X-Weight-Versions", Long.toString(this.version.get()));
		exchange.startChunked(200, headers);
		int after = request.header("Last-Event-Id").isEmpty() ? 0 : Integer.parseInt(request.header("Last-Event-Id"));
		if (this.endless) {
			streamWithoutEnd(exchange, requestId, after);
			return;
		}
		for (int event = after + 1; event <= this.events; event++) {
			if (!work(exchange, this.eventMillis)) {
				this.log.line("dropped " + requestId + " at " + this.id + " after event " + (event - 1)
						+ ": its connection was closed");
				exchange.close();
				return;
			}
			exchange.chunk(("id: " + event + "\ndata: e" + event + "\n\n").getBytes(StandardCharsets.UTF_8));
		}
		exchange.endChunked();
		arrival.finished = true;
		this.log.line("done " + requestId + " at " + this.id);
	}

	private void streamWithoutEnd(Http.Exchange exchange, String requestId, int after) throws IOException {
		int event = after;
		try {
			while (true) {
				event++;
				exchange.chunk(("id: " + event + "\ndata: " + ENDLESS_DATA + "\n\n").getBytes(StandardCharsets.UTF_8));
			}
		}
		finally {
			this.log.line("stopped " + requestId + " at " + this.id + " after event " + event
					+ ": its connection was closed");
		}
	}

	// Works for a time; returns false if the caller closes its connection meanwhile.
	private static boolean work(Http.Exchange exchange, long millis) throws InterruptedException {
		long end = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(millis);
		while (System.nanoTime() < end) {
			if (exchange.isCallerGone()) {
				return false;
			}
			TimeUnit.MILLISECONDS.sleep(5);
		}
		return true;
	}

	/** A request that reached a sampler. */
	public static final class Arrival {

		public final String request;

		public final String sampler;

		public final long atMillis;

		public final String path;

		/** Whether the sampler finished the request. */
		public volatile boolean finished;

		/** When the sampler stopped working on it; the largest number while it works. */
		public volatile long endMillis = Long.MAX_VALUE;

		Arrival(String request, String sampler, long atMillis, String path) {
			this.request = request;
			this.sampler = sampler;
			this.atMillis = atMillis;
			this.path = path;
		}

	}

}
