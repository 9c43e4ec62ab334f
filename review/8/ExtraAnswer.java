import java.io.IOException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * A few items can never be done, and samplers answer them with 422. Three of five samplers
 * send some of these answers twice; the second copy is late, where the answer to the next
 * request on the connection is expected.
 */
final class ExtraAnswer {

	private static final int ITEMS = 200;

	// One of 50 items can never be done.
	private static final int IMPOSSIBLE_EVERY = 50;

	private static final int FAULTY_ENGINES = 3;

	private static final double LIMIT_OF_EXTRA_ANSWERS = 0.03;

	private static final int SUBMISSIONS = 4;

	private final boolean trouble = !"0".equals(System.getenv("TROUBLE"));

	private final Map<String, Map<Integer, Integer>> answers = new ConcurrentHashMap<>();

	private final AtomicInteger faultyAnswers = new AtomicInteger();

	private final AtomicInteger extraAnswers = new AtomicInteger();

	private final Record record;

	private ExtraAnswer(Record record) {
		this.record = record;
	}

	public static void main(String[] arguments) throws Exception {
		int exit = 2;
		try (Record record = new Record(Path.of(arguments[0]))) {
			try {
				exit = new ExtraAnswer(record).run() ? 0 : 1;
			}
			catch (IOException | RuntimeException ex) {
				record.line("the case cannot run: %s", ex);
			}
			record.line("exit %d", exit);
		}
		System.exit(exit);
	}

	private boolean run() throws Exception {
		try (Deployment deployment = new Deployment(this.record); Platform platform = deployment.platform()) {
			platform.write("config", "main",
					Site.desiredState(1, List.of(Site.rolloutRoute("r", Site.HOST, "/rollout/")), "t1"));
			for (int number = 1; number <= 5; number++) {
				boolean faulty = number <= FAULTY_ENGINES;
				new Engine("engine-" + number, Site.MODEL_SERVICE, Site.MODEL, "abc".substring(number % 3, number % 3 + 1),
						deployment.standinIp(), 9000 + number, 16, platform, this.record,
						(request, exchange) -> serve(request, exchange, faulty));
			}
			List<Deployment.Host> hosts = new ArrayList<>();
			for (String zone : List.of("a", "b", "c")) {
				hosts.add(deployment.start(zone, platform));
			}
			deployment.awaitReady();
			boolean held = true;
			for (int step = 0; step < SUBMISSIONS; step++) {
				held &= runSubmission(step, hosts.get(step % hosts.size()));
			}
			this.record.line("%d of %d answers of the faulty samplers were sent twice", this.extraAnswers.get(),
					this.faultyAnswers.get());
			if (this.extraAnswers.get() > LIMIT_OF_EXTRA_ANSWERS * this.faultyAnswers.get()) {
				throw new IOException("more answers were sent twice than allowed");
			}
			return held;
		}
	}

	private boolean runSubmission(int step, Deployment.Host host) throws IOException {
		String id = String.format("%016x", 0x7c41e000L + step);
		List<Object> items = new ArrayList<>();
		for (int number = 0; number < ITEMS; number++) {
			items.add(Site.item(itemId(step, number), "/rollout/" + number, "g" + step + "-" + number / 4, 60));
		}
		Message accepted = Site.submit(host, "t1", "/rollout/" + step, id,
				Site.submission(step, ITEMS / 4, items));
		this.record.line("submission %s of %d items at %s: %d", id, ITEMS, host.name, accepted.status());
		if (accepted.status() != 202) {
			throw new IOException("the submission was not accepted");
		}
		List<Map<String, Object>> results = Site.readAll(host, "t1", id, ITEMS, 18);
		Map<String, Integer> states = new HashMap<>();
		boolean held = true;
		for (Map<String, Object> result : results) {
			String item = (String) result.get("id");
			String state = (String) result.get("state");
			states.merge(state, 1, Integer::sum);
			Map<Integer, Integer> received = this.answers.getOrDefault(item, Map.of());
			if (state.equals("terminated") && !received.containsKey(422)
					&& received.getOrDefault(500, 0) < Site.MAX_ATTEMPTS) {
				held = false;
				this.record.line("BROKEN: item %s is listed as terminated; samplers answered it %s", item, received);
			}
			if (state.equals("completed") && !Set.of(text(item)).contains(result.get("output"))) {
				held = false;
				this.record.line("BROKEN: item %s is listed with another text", item);
			}
		}
		this.record.line("submission %s: %d of %d results listed, %s", id, results.size(), ITEMS, states);
		Site.end(host, "t1", id);
		return held;
	}

	private static String itemId(int step, int number) {
		return String.format("%08x%08x", 0xe5b20000L + step, number);
	}

	private static int number(String item) {
		return Integer.parseInt(item.substring(8), 16);
	}

	private static int events(String item) {
		return 4 + number(item) % 20;
	}

	private static String text(String item) {
		List<String> events = new ArrayList<>();
		for (int event = 1; event <= events(item); event++) {
			events.add(Engine.Exchange.data(item, event, 320));
		}
		return String.join("\n", events);
	}

	private void serve(Message request, Engine.Exchange exchange, boolean faulty) throws IOException {
		String item = request.header("X-Request-Id");
		if (exchange.late != null) {
			this.record.line("%s sends a second copy of its last answer before the answer to %s", exchange.engine.id,
					item);
			exchange.out.write(exchange.late);
			exchange.out.flush();
			exchange.late = null;
			this.extraAnswers.incrementAndGet();
		}
		if (faulty) {
			this.faultyAnswers.incrementAndGet();
		}
		if (number(item) % IMPOSSIBLE_EVERY == 7) {
			Platform.pause(10);
			this.answers.computeIfAbsent(item, (unused) -> new ConcurrentHashMap<>()).merge(422, 1, Integer::sum);
			Message answer = exchange.answer(request, 422, "this item can never be done");
			this.record.line("%s answers %s with 422", exchange.engine.id, item);
			exchange.late = (this.trouble && faulty) ? answer.bytes() : null;
			answer.send(exchange.out);
			return;
		}
		exchange.stream(request, events(item), 320, 20);
		this.answers.computeIfAbsent(item, (unused) -> new ConcurrentHashMap<>()).merge(200, 1, Integer::sum);
	}

}
