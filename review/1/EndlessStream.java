package review.cases;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicInteger;

import review.common.Case;
import review.common.Hosts;
import review.common.Http;
import review.common.Log;
import review.common.Lots;
import review.common.Sampler;
import review.common.Store;

/**
 * One of seven model samplers answers items with bodies that have no end. Requesters use kept connections to all hosts
 * meanwhile. A process that ends is started again after a second, as the platform does.
 */
public final class EndlessStream {

	private static final int ENGINES = 7;

	private static final int ITEMS = 200;

	private static final int REQUESTERS_PER_HOST = 4;

	private static final long DAY_MILLIS = 30_000;

	private static final long RESTART_MILLIS = 1_000;

	/** Requests on kept connections that may be lost by the rule. */
	private static final int ALLOWED_LOSSES = 3;

	private EndlessStream() {
	}

	public static void main(String[] arguments) throws Exception {
		Case.main(arguments[0], EndlessStream::run);
	}

	private static boolean run(Path root, Log log, boolean trouble) throws Exception {
		List<Sampler> engines = new ArrayList<>();
		List<Sampler> plain = new ArrayList<>();
		AtomicBoolean stop = new AtomicBoolean();
		AtomicInteger lost = new AtomicInteger();
		AtomicInteger ends = new AtomicInteger();
		try (Store store = new Store("127.0.0.1", log); Hosts hosts = new Hosts(root, store, log)) {
			store.put("config", "main", Case.configuration(1, Lots.scoreRoute() + "," + Lots.route("engines") + ","
					+ Case.route("once", "/once/", "unsafe", "plain", 10_000, "")));
			for (int index = 0; index < ENGINES; index++) {
				String zone = "zone-" + "abc".charAt(index % 3);
				Sampler engine = new Sampler("i-engine-" + index, "engines", zone, "127.0.0.1", store, log);
				engine.events = 20;
				engine.eventMillis = 100;
				engine.endless = trouble && index == 0;
				engines.add(engine);
			}
			for (int index = 0; index < 6; index++) {
				String zone = "zone-" + "abc".charAt(index % 3);
				Sampler sampler = new Sampler("i-plain-" + index, "plain", zone, "127.0.0.1", store, log);
				sampler.workMillis = 300;
				plain.add(sampler);
			}
			engines.forEach((engine) -> engine.register("ready"));
			plain.forEach((sampler) -> sampler.register("ready"));
			hosts.start(3);
			for (Hosts.Host host : hosts.all()) {
				for (int index = 0; index < REQUESTERS_PER_HOST; index++) {
					String requester = "requester-" + host.name + "-" + index;
					inBackground(() -> useKeptConnections(host, requester, plain, stop, lost, log));
				}
				inBackground(() -> restartWhenEnded(hosts, host, stop, ends, log));
			}
			TimeUnit.MILLISECONDS.sleep(1_000);
			log.line("lot1 submitted: status " + Lots.submit(hosts.get(0), "lot1", "key-1", ITEMS));
			TimeUnit.MILLISECONDS.sleep(DAY_MILLIS);
			stop.set(true);
			TimeUnit.MILLISECONDS.sleep(1_500);
			hosts.quote("process-ending");
			Lots.results(hosts.get(0), "lot1", "key-1", log);
			log.line("processes that ended by themselves: " + ends.get());
			log.line("requests on kept connections that were passed on to a sampler and got no answer: " + lost.get());
			return lost.get() <= ALLOWED_LOSSES;
		}
		finally {
			engines.forEach(Sampler::close);
			plain.forEach(Sampler::close);
		}
	}

	private static void restartWhenEnded(Hosts hosts, Hosts.Host host, AtomicBoolean stop, AtomicInteger ends, Log log) {
		try {
			while (!stop.get()) {
				if (!host.process.isAlive()) {
					ends.incrementAndGet();
					TimeUnit.MILLISECONDS.sleep(RESTART_MILLIS);
					hosts.launch(host);
				}
				TimeUnit.MILLISECONDS.sleep(50);
			}
		}
		catch (IOException | InterruptedException ex) {
			log.line("no restart of " + host.name + ": " + ex);
		}
	}

	private static void useKeptConnections(Hosts.Host host, String requester, List<Sampler> samplers, AtomicBoolean stop,
			AtomicInteger lost, Log log) {
		int count = 0;
		while (!stop.get()) {
			try (Http.Connection connection = new Http.Connection(host.front, 12_000)) {
				for (boolean kept = false; !stop.get(); kept = true) {
					String id = requester + "-" + count++;
					Http.Response response = connection.send("POST", "/once/1",
							Map.of("Host", "site.example", "Authorization", "Bearer key-2", "X-Request-Id", id,
									"X-Deadline-Ms", "10000"),
							"body".getBytes(StandardCharsets.UTF_8));
					if (response.status() != 200) {
						boolean passedOn = samplers.stream()
							.flatMap((sampler) -> sampler.arrivals.stream())
							.anyMatch((arrival) -> arrival.request.equals(id));
						log.line("answer to " + id + ": status " + response.status() + ", " + response.end()
								+ ", passed on: " + passedOn + ", kept connection: " + kept);
						if (response.status() == 0) {
							lost.addAndGet((passedOn && kept) ? 1 : 0);
							break;
						}
					}
				}
			}
			catch (IOException ex) {
				// The host is down; its requesters come again.
			}
			pause(200);
		}
	}

	private static void pause(long millis) {
		try {
			TimeUnit.MILLISECONDS.sleep(millis);
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
		}
	}

	private static void inBackground(Runnable task) {
		Thread thread = new Thread(task);
		thread.setDaemon(true);
		thread.start();
	}

}
