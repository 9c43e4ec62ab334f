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
 * A new version of the desired state moves the route of a batch submission to another service, and the samplers of the
 * former service drain and leave.
 */
public final class MovedRoute {

	private static final int ITEMS = 120;

	/** How long the samplers serve on after they were reported as draining, in milliseconds. */
	private static final long LEAVE_MILLIS = 3_000;

	private MovedRoute() {
	}

	public static void main(String[] arguments) throws Exception {
		Case.main(arguments[0], MovedRoute::run);
	}

	private static boolean run(Path root, Log log, boolean trouble) throws Exception {
		List<Sampler> former = new ArrayList<>();
		List<Sampler> next = new ArrayList<>();
		List<Sampler> samplers = new ArrayList<>();
		try (Store store = new Store("127.0.0.1", log); Hosts hosts = new Hosts(root, store, log)) {
			store.put("config", "main", Case.configuration(1, Lots.scoreRoute() + "," + Lots.route("engines")));
			for (String zone : List.of("zone-a", "zone-b", "zone-c")) {
				former.add(new Sampler("i-former-" + zone, "engines", zone, "127.0.0.1", store, log));
				next.add(new Sampler("i-next-" + zone, "engines-2", zone, "127.0.0.1", store, log));
				samplers.add(new Sampler("i-plain-" + zone, "plain", zone, "127.0.0.1", store, log));
			}
			List<Sampler> engines = new ArrayList<>(former);
			engines.addAll(next);
			engines.forEach((engine) -> engine.eventMillis = 150);
			samplers.addAll(engines);
			samplers.forEach((sampler) -> sampler.register("ready"));
			hosts.start(3);
			Hosts.Host host = hosts.get(0);
			log.line("step lot1 submitted at " + host.name + ": status " + Lots.submit(host, "lot1", "key-1", ITEMS));
			long end = log.millis() + Lots.STEP_MILLIS;
			TimeUnit.MILLISECONDS.sleep(300);
			if (trouble) {
				store.put("config", "main", Case.configuration(2, Lots.scoreRoute() + "," + Lots.route("engines-2")));
				log.line("ack of version 2: the route goes to engines-2");
				former.forEach((sampler) -> sampler.register("draining"));
				log.line("ack: the samplers of engines are draining");
				TimeUnit.MILLISECONDS.sleep(LEAVE_MILLIS);
				former.forEach((sampler) -> {
					store.remove("servers", sampler.id);
					sampler.close();
				});
				log.line("the samplers of engines have left");
			}
			TimeUnit.MILLISECONDS.sleep(Math.max(0, end - log.millis()));
			boolean lost = Lots.isStepLost("lot1", ITEMS, engines, end, 16 * next.size(), log);
			Lots.results(host, "lot1", "key-1", log);
			log.line("lot1 ended: status " + Lots.end(host, "lot1", "key-1"));
			if (trouble) {
				log.line("step lot2 submitted at " + host.name + ": status " + Lots.submit(host, "lot2", "key-1", 12));
				TimeUnit.MILLISECONDS.sleep(4_000);
				log.line("items of lot2 begun at engines-2: " + Lots.begun("lot2", next) + " of 12");
			}
			return !lost;
		}
		finally {
			samplers.forEach(Sampler::close);
		}
	}

}
