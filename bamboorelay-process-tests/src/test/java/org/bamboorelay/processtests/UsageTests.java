package org.bamboorelay.processtests;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.Predicate;
import java.util.stream.StreamSupport;

import com.fasterxml.jackson.databind.JsonNode;
import org.bamboorelay.processtests.Http.RecordedRequest;
import org.bamboorelay.processtests.Http.Standin;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Guards against a usage window that is reported with two different sets of figures, by
 * two processes that both consider themselves the lease holder, or with wrong figures.
 */
class UsageTests {

	private static final String DOMAIN = "valle-a";

	/**
	 * Time-out for a report in milliseconds: window, grace period, wait for the usage
	 * part of a domain, and the start of a process.
	 */
	private static final long REPORT_TIMEOUT_MILLIS = 5_000 + 1_000 + 15_000 + Wait.START_TIMEOUT_MILLIS;

	/**
	 * The reporter is killed after its report was received and the response was lost;
	 * later the next reporter is frozen, replaced and resumed. Fails if the figures of a
	 * window are not read from its record, or if a report is sent without the lease.
	 */
	@Test
	void windowKeepsItsFiguresAcrossReporterChanges() throws Exception {
		try (Deployment deployment = new Deployment("usage", 2, DOMAIN)) {
			Standin endpoint = deployment.endpoint("cuotas-1", Deployment.PLAIN, DOMAIN, false, "--latency-ms", "20");
			Standin intake = deployment.platform("usage-intake");
			deployment.set("model_steady", "0");
			deployment.apply().ok();
			deployment.startAll();
			String key = deployment.grant();
			deployment.hostNames().forEach((host) -> deployment.awaitService(host, key, Deployment.PLAIN));
			Traffic traffic = new Traffic(deployment, key);
			Wait.until(REPORT_TIMEOUT_MILLIS, "a report with figures", () -> requests(intake) > 0);

			intake.fault("lose-answers", "true");
			long reports = intake.recordedRequests("/reports").size();
			Wait.until(REPORT_TIMEOUT_MILLIS, "a report whose answer was lost",
					() -> intake.recordedRequests("/reports").size() > reports);
			String killed = reporter(deployment);
			deployment.program(killed + "-control").kill();
			intake.clear("lose-answers");
			String successor = other(deployment, killed);
			Wait.until(Wait.TAKEOVER_TIMEOUT_MILLIS, "successor of the killed reporter",
					() -> reports(deployment, successor));
			deployment.program(killed + "-control").restart();
			Wait.until(Wait.START_TIMEOUT_MILLIS, "restarted control process",
					() -> deployment.controlHealth(killed).path("config_version").asLong() > 0);

			intake.fault("slow", "{\"ms\":1000,\"match\":\"/reports\"}");
			long before = intake.recordedRequests("/reports").size();
			Wait.until(REPORT_TIMEOUT_MILLIS, "a report of the successor",
					() -> intake.recordedRequests("/reports").size() > before);
			deployment.program(successor + "-control").freeze();
			Wait.until(Wait.TAKEOVER_TIMEOUT_MILLIS, "successor of the frozen reporter",
					() -> reports(deployment, killed));
			deployment.program(successor + "-control").resume();
			Wait.until(Wait.START_TIMEOUT_MILLIS, "end of the frozen reporter's term",
					() -> deployment.controlHealth(successor).has("usage_lease_fencing")
							&& !reports(deployment, successor));
			intake.clear("slow");

			traffic.stop();
			assertThat(traffic.failures).as("answers that were no 200").isEmpty();
			requireAllServed(endpoint, intake);
			requireOneSetOfFigures(intake, 3);
		}
	}

	/**
	 * The usage part of one domain and the counters of an entry host in another domain
	 * arrive after their windows were closed, and the reporter is killed once the part
	 * has been written. Fails if the next reporter recomputes a closed window, or if late
	 * counts are not reported as corrections.
	 */
	@Test
	void lateCountsAreReportedAsCorrectionsOfClosedWindows() throws Exception {
		try (Deployment deployment = new Deployment("usage-late", 1, "valle-a", "valle-b", "valle-c")) {
			Standin endpoint = deployment.endpoint("cuotas-1", Deployment.PLAIN, DOMAIN, false, "--latency-ms", "20");
			Standin intake = deployment.platform("usage-intake");
			deployment.set("model_steady", "0");
			deployment.apply().ok();
			deployment.startAll();
			String key = deployment.grant();
			deployment.hostNames().forEach((host) -> deployment.awaitService(host, key, Deployment.PLAIN));
			Traffic traffic = new Traffic(deployment, key);
			Wait.until(REPORT_TIMEOUT_MILLIS, "a report with figures", () -> requests(intake) > 0);
			String reporter = reporter(deployment);
			List<String> others = deployment.hostNames().stream().filter((name) -> !name.equals(reporter)).toList();
			String late = others.get(0);
			String unreachable = others.get(1);

			// The counters of the host cannot be read during a whole window.
			deployment.peer(unreachable).blockDomains(Set.of(domain(unreachable)));
			long cutAt = System.currentTimeMillis();
			Wait.until(REPORT_TIMEOUT_MILLIS, "report of a window without counters",
					() -> intake.recordedRequests("/reports").stream().anyMatch((seen) -> start(seen) > cutAt));
			deployment.healPeers();
			Wait.until(REPORT_TIMEOUT_MILLIS, "correction of an entry host's counts",
					() -> hasCorrection(intake, (source) -> !source.startsWith("domain:")));

			deployment.program(late + "-control").freeze();
			intake.fault("lose-answers", "true");
			Predicate<RecordedRequest> lacksPart = (
					seen) -> seen.body().path("gaps").toString().contains("domain:" + domain(late));
			Wait.until(REPORT_TIMEOUT_MILLIS + Wait.TAKEOVER_TIMEOUT_MILLIS, "report that lacks a part",
					() -> intake.recordedRequests("/reports").stream().anyMatch(lacksPart));
			long window = start(
					intake.recordedRequests("/reports").stream().filter(lacksPart).findFirst().orElseThrow());
			deployment.program(late + "-control").resume();
			Wait.until(REPORT_TIMEOUT_MILLIS + Wait.TAKEOVER_TIMEOUT_MILLIS, "the late part", () -> Http
				.get(deployment.platform("object-api").address(), "/objects/usage/parts/" + domain(late) + "/" + window)
				.json()
				.path("closed")
				.asBoolean());
			deployment.program(reporter + "-control").kill();
			intake.clear("lose-answers");
			Wait.until(REPORT_TIMEOUT_MILLIS + Wait.TAKEOVER_TIMEOUT_MILLIS, "report of the next reporter",
					() -> intake.recordedRequests("/reports")
						.stream()
						.anyMatch((seen) -> seen.body().path("fencing").asLong() > 1));
			requireOneSetOfFigures(intake, 2);
			Wait.until(REPORT_TIMEOUT_MILLIS + Wait.TAKEOVER_TIMEOUT_MILLIS, "correction of a domain's part",
					() -> hasCorrection(intake, ("domain:" + domain(late))::equals));
			deployment.program(reporter + "-control").restart();
			traffic.stop();
			assertThat(traffic.failures).as("answers that were no 200").isEmpty();
			requireAllServed(endpoint, intake);
			requireOneSetOfFigures(intake, 2);
		}
	}

	private static void requireAllServed(Standin endpoint, Standin intake) {
		// Includes the requests that were sent to wait for the service.
		long served = endpoint.count("executions");
		Wait.until(REPORT_TIMEOUT_MILLIS + Wait.TAKEOVER_TIMEOUT_MILLIS, served + " requests in reports",
				() -> requests(intake) >= served);
		assertThat(requests(intake)).as("reported requests").isEqualTo(served);
	}

	private static boolean hasCorrection(Standin intake, Predicate<String> source) {
		return intake.recordedRequests("/reports")
			.stream()
			.flatMap((seen) -> StreamSupport.stream(seen.body().path("corrections").spliterator(), false))
			.anyMatch((correction) -> source.test(correction.path("source").asText()));
	}

	private static long start(RecordedRequest report) {
		return report.body().path("window").asLong();
	}

	private static String domain(String host) {
		return host.substring(0, host.length() - "-1".length());
	}

	private static void requireOneSetOfFigures(Standin intake, int terms) {
		Map<Long, String> figures = new TreeMap<>();
		long highest = 0;
		for (RecordedRequest seen : intake.recordedRequests("/reports")) {
			long fencing = seen.body().path("fencing").asLong();
			assertThat(fencing).as("fencing number of " + seen).isGreaterThanOrEqualTo(highest);
			highest = fencing;
			String text = seen.body().path("figures") + " " + seen.body().path("corrections") + " "
					+ seen.body().path("gaps");
			String known = figures.putIfAbsent(seen.body().path("window").asLong(), text);
			assertThat((known != null) ? known : text).as("figures of window " + seen.body().path("window"))
				.isEqualTo(text);
		}
		assertThat(highest).as("terms of reporters").isGreaterThanOrEqualTo(terms);
	}

	/** Sums the requests of each window once, including corrections. */
	private static long requests(Standin intake) {
		Map<Long, JsonNode> windows = new TreeMap<>();
		intake.recordedRequests("/reports")
			.forEach((seen) -> windows.put(seen.body().path("window").asLong(), seen.body()));
		long sum = 0;
		for (JsonNode window : windows.values()) {
			sum += sum(window.path("figures"));
			for (JsonNode correction : window.path("corrections")) {
				sum += sum(correction.path("figures"));
			}
		}
		return sum;
	}

	private static long sum(JsonNode figures) {
		long sum = 0;
		for (JsonNode figure : figures) {
			sum += figure.path("requests").asLong();
		}
		return sum;
	}

	private static boolean reports(Deployment deployment, String host) {
		return deployment.controlHealth(host).path("usage_lease_fencing").asLong() > 0;
	}

	private static String reporter(Deployment deployment) {
		return deployment.hostNames().stream().filter((host) -> reports(deployment, host)).findFirst().orElseThrow();
	}

	private static String other(Deployment deployment, String host) {
		return deployment.hostNames().stream().filter((name) -> !name.equals(host)).findFirst().orElseThrow();
	}

	private static final class Traffic {

		private final AtomicBoolean running = new AtomicBoolean(true);

		private final AtomicLong served = new AtomicLong();

		private final List<String> failures = new java.util.concurrent.CopyOnWriteArrayList<>();

		private final List<Thread> threads = new ArrayList<>();

		private Traffic(Deployment deployment, String key) {
			deployment.hostNames().forEach((host) -> this.threads.add(new Thread(() -> {
				while (this.running.get()) {
					Http.Reply reply = deployment.plain(host, key);
					this.served.incrementAndGet();
					if (!reply.isOk()) {
						this.failures.add(reply.toString());
					}
				}
			})));
			this.threads.forEach(Thread::start);
		}

		private void stop() throws InterruptedException {
			this.running.set(false);
			for (Thread thread : this.threads) {
				thread.join(Wait.START_TIMEOUT_MILLIS);
			}
		}

	}

}
