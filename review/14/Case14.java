package review3;

import java.io.IOException;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.concurrent.TimeUnit;

/**
 * A trainer has read all results of a submission. The operator then removes the route to
 * which it was submitted, and the trainer reads again at each node.
 */
final class Case14 {

	private static final int ITEMS = 40;

	private static final String STEP = "7c41e09b52d6a3f8";

	private static final int SETTLE_MILLIS = 1_000;

	private static final int CONFIG_MILLIS = 2_000;

	private static final int CONTACT_MILLIS = 3_000;

	private Case14() {
	}

	public static void main(String[] arguments) {
		Lab.main(arguments[0], Case14::run);
	}

	private static boolean run(Lab lab) throws Exception {
		String[] zones = { "suva-a", "suva-b", "suva-c" };
		for (int i = 0; i < 3; i++) {
			Engine engine = new Engine(lab.ip(100 + i), "i-engine" + i);
			engine.events = 26;
			engine.eventBytes = 340;
			lab.register(engine.id, "huvo11a", engine.address(), zones[i], 12, 1, "daka510000");
		}
		Plain plain = new Plain(lab.ip(110), "i-plain");
		lab.register(plain.id, "wuno96b", plain.address(), "suva-a", 12, 1);
		lab.store.put("config", "main", lab.config(7));
		for (int i = 0; i < 3; i++) {
			lab.start(lab.addHost(i, zones[i]));
		}
		lab.hosts.forEach(lab::supervise);
		lab.awaitReady(30);
		int status = lab.call(lab.hosts.get(0), "POST", "/pule252/" + STEP, STEP, Lab.KEY,
				Map.of("X-Deadline-Ms", "12000", "Content-Type", "application/json"), Lab.submission(STEP, ITEMS, 600, 9),
				5_000)
			.status();
		lab.log("submission " + STEP + " -> " + status);
		if (status != 202) {
			throw new IOException("the submission was not accepted: " + status);
		}
		String before = "";
		for (int i = 0; i < 3; i++) {
			double end = lab.seconds() + 15;
			long listed = 0;
			while (listed < ITEMS && lab.seconds() < end) {
				TimeUnit.MILLISECONDS.sleep(300);
				Http.Message answer = read(lab, i, listed);
				listed = (answer.status() == 200) ? listed(answer.text()) : listed;
			}
			lab.log(lab.hosts.get(i).name + ": " + listed + " of " + ITEMS + " results read");
			if (listed < ITEMS) {
				throw new IOException("the results were not read before the change");
			}
			before = read(lab, i, 0).text();
		}
		TimeUnit.MILLISECONDS.sleep(SETTLE_MILLIS);
		lab.store.put("config", "main", next(lab));
		lab.log("version 8 is acknowledged, " + (lab.trouble ? "without the route" : "with the route"));
		TimeUnit.MILLISECONDS.sleep(CONFIG_MILLIS + CONTACT_MILLIS);
		int gone = 0;
		int other = 0;
		for (int round = 0; round < 5; round++) {
			for (int i = 0; i < 3; i++) {
				Http.Message answer = read(lab, i, 0);
				boolean same = answer.status() == 200 && answer.text().equals(before);
				lab.log(lab.hosts.get(i).name + " -> " + answer.status() + (same ? ", the same results" : ""));
				gone += (answer.status() == 404 || answer.status() == 410) ? 1 : 0;
				other += (answer.status() == 200 && !same) ? 1 : 0;
			}
			TimeUnit.SECONDS.sleep(1);
		}
		lab.log("answers 404 or 410 for the submission: " + gone + " of 15; other results than before: " + other);
		lab.log("LOST (the submission was accepted, its results had been read): " + (gone + other > 0 ? "broken" : "held"));
		return gone + other == 0;
	}

	private static Http.Message read(Lab lab, int host, long after) throws IOException {
		return lab.call(lab.hosts.get(host), "GET", "/lots/" + STEP + "?after=" + after, "", Lab.KEY, Map.of(), new byte[0],
				5_000);
	}

	private static long listed(String body) {
		return body.isEmpty() ? 0 : Json.number(Json.object(Json.read(body)).get("next_token"));
	}

	// The next version removes the rollout route, or changes its time limit only.
	private static Map<String, Object> next(Lab lab) {
		Map<String, Object> config = lab.config(8);
		java.util.List<Object> routes = new java.util.ArrayList<>();
		for (Object route : Json.list(config.get("routes"))) {
			Map<String, Object> copy = new LinkedHashMap<>(Json.object(route));
			if (copy.get("route_type").equals("rollout")) {
				if (lab.trouble) {
					continue;
				}
				copy.put("timeout_ms", 11_000L);
			}
			routes.add(copy);
		}
		config.put("routes", routes);
		return config;
	}

}
