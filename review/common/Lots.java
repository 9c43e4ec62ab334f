package review.common;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Collection;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;

/**
 * A trainer's calls on a batch submission, and the rule for the items of a step.
 */
public final class Lots {

	/** The time budget of a step on the sheets of the small deployments, in milliseconds. */
	public static final long STEP_MILLIS = 12_000;

	/** How long an item may be at no sampler, in milliseconds. */
	private static final long STRANDED_MILLIS = 5_000;

	private static final ObjectMapper MAPPER = new ObjectMapper();

	private Lots() {
	}

	/** Submits a batch submission of items in groups of four; returns the status. */
	public static int submit(Hosts.Host host, String id, String key, int items) {
		StringBuilder text = new StringBuilder();
		for (int index = 0; index < items; index++) {
			text.append((index > 0) ? "," : "")
				.append("{'id':'" + itemId(id, index) + "','path':'/items/" + id + "/" + index
						+ "','headers':{'X-Model':'m','X-Token-Counts':'271,25','X-Prompt-Prefix':'9c2e41:255,5d"
						+ Integer.toHexString(index) + ":16'},'body':'q83vEjRWeJA=','tokens':296,'group':'" + id + "g"
						+ index / 4 + "','scorer':{'id':'" + id + "s" + index
						+ "','host':'site.example','path':'/score/1','body':'3q2+7w=='}}");
		}
		String body = "{'step':0,'model':'m','min_version':1,'desired':" + items / 4 + ",'items':[" + text + "]}";
		Map<String, String> headers = headers(key);
		headers.put("X-Request-Id", id);
		headers.put("Content-Type", "application/json");
		return Http
			.call(host.front, 6_000, "POST", "/rollout/" + id, headers,
					body.replace('\'', '"').getBytes(StandardCharsets.UTF_8))
			.status();
	}

	public static String itemId(String id, int index) {
		return id + "i" + index;
	}

	/** The route of batch submissions. */
	public static String route(String service) {
		return Case.route("rollout", "/rollout/", "rollout", service, 10_000,
				",'result_due_ms':7500,'max_age_s':40");
	}

	/** The route of reward calls. */
	public static String scoreRoute() {
		return Case.route("score", "/score/", "safe", "plain", 1_500, "");
	}

	/** Reads one page of results. */
	public static Http.Response read(Hosts.Host host, String id, String key, int after) {
		return Http.call(host.front, 6_000, "GET", "/lots/" + id + "?after=" + after, headers(key), new byte[0]);
	}

	/** Ends a batch submission; returns the status. */
	public static int end(Hosts.Host host, String id, String key) {
		return Http.call(host.front, 6_000, "DELETE", "/lots/" + id, headers(key), new byte[0]).status();
	}

	/** Reads all results that are listed: the state by item. */
	public static Map<String, String> results(Hosts.Host host, String id, String key, Log log) throws Exception {
		Map<String, String> states = new LinkedHashMap<>();
		while (true) {
			Http.Response response = read(host, id, key, states.size());
			if (response.status() != 200) {
				log.line("read of " + id + " after " + states.size() + " at " + host.name + ": status "
						+ response.status() + ", " + response.end());
				return states;
			}
			JsonNode page = MAPPER.readTree(response.body());
			page.path("results").forEach((result) -> states.put(result.path("id").asText(), result.path("state").asText()));
			if (page.path("results").isEmpty()) {
				Map<String, Integer> counts = new TreeMap<>();
				states.values().forEach((state) -> counts.merge(state, 1, Integer::sum));
				log.line("results of " + id + " at " + host.name + ": " + counts + " of " + page.path("total").asInt());
				return states;
			}
		}
	}

	/**
	 * Returns whether the rule LOST of batch submissions is broken at the end of a step: an item that no sampler has
	 * finished was at no sampler for the 5 s before it, others had begun, and the samplers were under half full. No
	 * case names a version of the weights.
	 */
	public static boolean isStepLost(String id, int items, Collection<Sampler> engines, long endMillis, int slots,
			Log log) {
		long begun = begun(id, engines);
		List<String> stranded = stranded(id, items, engines, endMillis);
		long mostAtWork = mostAtWork(engines, endMillis);
		log.line("the time of step " + id + " is over; items begun: " + begun + " of " + items);
		log.line("items not finished and at no sampler for the last 5 s: " + stranded.size());
		log.line("most items at work at a moment of the last 5 s: " + mostAtWork + " of " + slots + " slots");
		return !stranded.isEmpty() && begun > 0 && 2 * mostAtWork < slots;
	}

	/** Returns how many items of a batch submission have begun at a sampler. */
	public static long begun(String id, Collection<Sampler> engines) {
		return engines.stream()
			.flatMap((engine) -> engine.arrivals.stream())
			.map((arrival) -> arrival.request)
			.filter((request) -> request.startsWith(id + "i"))
			.distinct()
			.count();
	}

	private static List<String> stranded(String id, int items, Collection<Sampler> engines, long endMillis) {
		List<String> stranded = new ArrayList<>();
		for (int index = 0; index < items; index++) {
			String item = itemId(id, index);
			boolean wasAtSampler = engines.stream()
				.flatMap((engine) -> engine.arrivals.stream())
				.anyMatch((arrival) -> arrival.request.equals(item)
						&& (arrival.finished || arrival.endMillis > endMillis - STRANDED_MILLIS));
			if (!wasAtSampler) {
				stranded.add(item);
			}
		}
		return stranded;
	}

	private static long mostAtWork(Collection<Sampler> engines, long endMillis) {
		long most = 0;
		for (long at = endMillis - STRANDED_MILLIS; at <= endMillis; at += 50) {
			long moment = at;
			most = Math.max(most,
					engines.stream()
						.flatMap((engine) -> engine.arrivals.stream())
						.filter((arrival) -> arrival.path.startsWith("/items/") && arrival.atMillis <= moment
								&& arrival.endMillis > moment)
						.count());
		}
		return most;
	}

	private static Map<String, String> headers(String key) {
		return Http.orderedMap("Host", "site.example", "Authorization", "Bearer " + key);
	}

}
