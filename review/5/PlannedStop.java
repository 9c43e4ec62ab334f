package review.cases;

import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;

import review.common.Case;
import review.common.Hosts;
import review.common.Http;
import review.common.Log;
import review.common.Sampler;
import review.common.Store;

/**
 * A host gets SIGTERM while requests that it has passed on are at work. They end 6.2 s after the signal: before the
 * last sixth of the grace period of 8 s begins.
 */
public final class PlannedStop {

	private static final int REQUESTS_OF_A_KIND = 4;

	private static final long GRACE_MILLIS = 8_000;

	private static final long WORK_MILLIS = 6_400;

	private static final int EVENTS = 64;

	private PlannedStop() {
	}

	public static void main(String[] arguments) throws Exception {
		Case.main(arguments[0], PlannedStop::run);
	}

	private static boolean run(Path root, Log log, boolean trouble) throws Exception {
		List<Sampler> samplers = new ArrayList<>();
		try (Store store = new Store("127.0.0.1", log); Hosts hosts = new Hosts(root, store, log)) {
			store.put("config", "main",
					Case.configuration(1, Case.route("once", "/once/", "unsafe", "plain", 10_000, "") + ","
							+ Case.route("stream", "/stream/", "streaming", "engines", 10_000, "")));
			for (String zone : List.of("zone-a", "zone-b", "zone-c")) {
				Sampler plain = new Sampler("i-plain-" + zone, "plain", zone, "127.0.0.1", store, log);
				plain.workMillis = WORK_MILLIS;
				Sampler engine = new Sampler("i-engine-" + zone, "engines", zone, "127.0.0.1", store, log);
				engine.events = EVENTS;
				engine.eventMillis = WORK_MILLIS / EVENTS - 5;
				samplers.addAll(List.of(plain, engine));
			}
			samplers.forEach((sampler) -> sampler.register("ready"));
			hosts.start(3);
			Hosts.Host host = hosts.get(0);
			AtomicInteger lost = new AtomicInteger();
			CountDownLatch ended = new CountDownLatch(2 * REQUESTS_OF_A_KIND);
			for (int index = 0; index < REQUESTS_OF_A_KIND; index++) {
				send(host, "once-" + index, "/once/1", ended, lost, log);
				send(host, "stream-" + index, "/stream/1", ended, lost, log);
			}
			TimeUnit.MILLISECONDS.sleep(200);
			if (trouble) {
				hosts.signal(host, "TERM");
				if (!host.process.waitFor(GRACE_MILLIS, TimeUnit.MILLISECONDS)) {
					hosts.signal(host, "KILL");
				}
			}
			ended.await(15, TimeUnit.SECONDS);
			log.line("requests without a complete answer: " + lost.get() + " of " + 2 * REQUESTS_OF_A_KIND);
			return lost.get() == 0;
		}
		finally {
			samplers.forEach(Sampler::close);
		}
	}

	private static void send(Hosts.Host host, String id, String path, CountDownLatch ended, AtomicInteger lost,
			Log log) {
		Thread client = new Thread(() -> {
			log.line("sent " + id + " to " + host.name);
			Http.Response response = Http.call(host.front, 12_000, "POST", path,
					Map.of("Host", "site.example", "Authorization", "Bearer key-1", "X-Request-Id", id, "X-Deadline-Ms",
							"12000"),
					"body".getBytes(StandardCharsets.UTF_8));
			log.line("answer to " + id + ": status " + response.status() + ", " + response.end());
			if (response.status() != 200) {
				lost.incrementAndGet();
			}
			ended.countDown();
		});
		client.setDaemon(true);
		client.start();
	}

}
