package review.cases;

import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;

import review.common.Case;
import review.common.Hosts;
import review.common.Log;
import review.common.Lots;
import review.common.Sampler;
import review.common.Store;

/**
 * The hosts of all failure domains but one are removed by SIGTERM while a step is under way.
 */
public final class LastZone {

	private static final int ITEMS = 152;

	private LastZone() {
	}

	public static void main(String[] arguments) throws Exception {
		Case.main(arguments[0], LastZone::run);
	}

	private static boolean run(Path root, Log log, boolean trouble) throws Exception {
		List<Sampler> engines = new ArrayList<>();
		List<Sampler> samplers = new ArrayList<>();
		try (Store store = new Store("127.0.0.1", log); Hosts hosts = new Hosts(root, store, log)) {
			store.put("config", "main", Case.configuration(1, Lots.scoreRoute() + "," + Lots.route("engines")));
			for (String zone : List.of("zone-a", "zone-b", "zone-c")) {
				Sampler engine = new Sampler("i-engine-" + zone, "engines", zone, "127.0.0.1", store, log);
				engine.events = 20;
				engine.eventMillis = 120;
				engines.add(engine);
				samplers.add(new Sampler("i-plain-" + zone, "plain", zone, "127.0.0.1", store, log));
			}
			samplers.addAll(engines);
			samplers.forEach((sampler) -> sampler.register("ready"));
			hosts.start(3);
			Hosts.Host host = hosts.get(0);
			log.line("step lot1 submitted at " + host.name + ": status " + Lots.submit(host, "lot1", "key-1", ITEMS));
			long end = log.millis() + Lots.STEP_MILLIS;
			TimeUnit.MILLISECONDS.sleep(300);
			if (trouble) {
				hosts.signal(hosts.get(1), "TERM");
				hosts.signal(hosts.get(2), "TERM");
			}
			TimeUnit.MILLISECONDS.sleep(Math.max(0, end - log.millis()));
			boolean lost = Lots.isStepLost("lot1", ITEMS, engines, end, 16 * engines.size(), log);
			Lots.results(host, "lot1", "key-1", log);
			log.line("lot1 ended: status " + Lots.end(host, "lot1", "key-1"));

			// Shown in the record only: the next step is accepted, and none of its items begins.
			log.line("step lot2 submitted at " + host.name + ": status " + Lots.submit(host, "lot2", "key-1", 12)
					+ ", ready: " + Hosts.isReady(host));
			TimeUnit.MILLISECONDS.sleep(Lots.STEP_MILLIS);
			log.line("items of lot2 begun after 12 s: " + Lots.begun("lot2", engines) + " of 12");
			return !lost;
		}
		finally {
			samplers.forEach(Sampler::close);
		}
	}

}
