package review3;

import java.io.IOException;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * One item of a batch submission crashes each model server that begins to run it. A
 * server is back after three seconds.
 */
final class Case14 {

	private static final int ITEMS = 40;

	/** One item of 40; the pages name a share of 0.03. */
	private static final int POISON = 7;

	private static final int ENGINES = 6;

	private static final long DOWN_MILLIS = 3_000;

	private static final long CONTACT_MILLIS = 3_000;

	private static final double LIMIT_SECONDS = 45;

	private Case14() {
	}

	public static void main(String[] arguments) {
		Lab.main(arguments[0], Case14::run);
	}

	private static boolean run(Lab lab) throws Exception {
		String[] zones = { "suva-a", "suva-b", "suva-c" };
		String id = "7c41e09b52d6a3f8";
		String poison = lab.trouble ? Lab.item(id, POISON) : "none";
		List<Long> arrivals = Collections.synchronizedList(new ArrayList<>());
		AtomicInteger crashes = new AtomicInteger();
		AtomicInteger starts = new AtomicInteger();
		for (int i = 0; i < ENGINES; i++) {
			startEngine(lab, "i-engine" + i, 100 + i, zones[i % 3], starts, (engine, connection) -> {
				arrivals.add(System.nanoTime());
				lab.log("item " + poison + " crashes " + engine.id + ", crash " + crashes.incrementAndGet());
			}, poison);
		}
		Plain plain = new Plain(lab.ip(110), "i-plain");
		lab.register(plain.id, "wuno96b", plain.address(), "suva-a", 12, 1);
		lab.store.put("config", "main", lab.config(7));
		for (int i = 0; i < 3; i++) {
			lab.start(lab.addHost(i, zones[i]));
		}
		lab.hosts.forEach(lab::supervise);
		lab.awaitReady(30);
		byte[] body = Lab.submission(id, ITEMS, 600, 9);
		int status = lab.call(lab.hosts.get(0), "POST", "/pule252/" + id, id, Lab.KEY,
				Map.of("X-Deadline-Ms", "12000", "Content-Type", "application/json"), body, 5_000)
			.status();
		lab.log("submission " + id + " with " + ITEMS + " items -> " + status);
		if (status != 202) {
			throw new IOException("the submission was not accepted: " + status);
		}
		long submitted = System.nanoTime();
		long listed = 0;
		double dueAt = 0;
		while (lab.seconds() < LIMIT_SECONDS && retries(arrivals) <= 20) {
			TimeUnit.MILLISECONDS.sleep(500);
			try {
				Http.Message answer = lab.call(lab.hosts.get(1), "GET", "/lots/" + id + "?after=" + listed, "", Lab.KEY,
						Map.of("X-Wait-Ms", "1000"), new byte[0], 3_000);
				long next = (answer.status() == 200)
						? Json.number(Json.object(Json.read(answer.text())).get("next_token")) : listed;
				if (next > listed) {
					listed = next;
					lab.log("results read " + listed + " of " + ITEMS);
				}
				if (listed == ITEMS) {
					dueAt = (System.nanoTime() - submitted) / 1e9;
					break;
				}
			}
			catch (IOException ex) {
				lab.log("read -> " + ex.getMessage());
			}
		}
		lab.log("results read " + listed + " of " + ITEMS + ((dueAt > 0) ? String.format(", after %.1f s", dueAt) : ""));
		lab.log("servers crashed under the item: " + crashes + "; it reached servers later than " + CONTACT_MILLIS
				+ " ms after the third crash: " + retries(arrivals) + " times, three are allowed");
		lab.log(lab.ends());
		return retries(arrivals) <= 3;
	}

	// Counts what reached servers later than contact_ms after the third crash.
	private static int retries(List<Long> arrivals) {
		synchronized (arrivals) {
			if (arrivals.size() < 3) {
				return 0;
			}
			long from = arrivals.get(2) + TimeUnit.MILLISECONDS.toNanos(CONTACT_MILLIS);
			return (int) arrivals.stream().filter((arrival) -> arrival > from).count();
		}
	}

	private static void startEngine(Lab lab, String id, int address, String zone, AtomicInteger starts, Crash crash,
			String poison) throws IOException {
		Engine engine = new Engine(lab.ip(address), id);
		engine.events = 26;
		engine.eventBytes = 340;
		engine.eventMillis = 20;
		engine.poison = poison;
		engine.onPoison = (connection) -> {
			crash.onCrash(engine, connection);
			engine.crash();
			Thread restart = new Thread(() -> {
				try {
					// A server that crashed sends nothing; its entry lapses, and it starts
					// anew.
					TimeUnit.MILLISECONDS.sleep(DOWN_MILLIS);
					lab.store.remove("servers", id);
					if (!lab.finished) {
						startEngine(lab, id.split("-s")[0] + "-s" + starts.incrementAndGet(), address, zone, starts,
								crash, poison);
					}
				}
				catch (IOException | InterruptedException ex) {
					lab.log("server " + id + " not started again: " + ex);
				}
			});
			restart.setDaemon(true);
			restart.start();
		};
		lab.register(id, "huvo11a", engine.address(), zone, 12, 1_700_000_000_000L + starts.get(), "daka510000");
	}

	private interface Crash {

		void onCrash(Engine engine, Http.Connection connection);

	}

}
