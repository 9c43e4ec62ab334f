package org.bamboorelay.processtests;

import java.util.ArrayList;
import java.util.List;
import java.util.Queue;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicInteger;

import org.bamboorelay.processtests.Http.Reply;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Guards against requests that are aborted by a graceful shutdown, and against a lease
 * that expires instead of being released.
 */
class ShutdownTests {

	private static final int PLAIN_CALLERS = 4;

	private static final int STREAM_CALLERS = 3;

	/** Duration of a lease according to section 5 of the design, in milliseconds. */
	private static final long LEASE_MILLIS = 6_000;

	/**
	 * An entry host receives SIGTERM while it serves plain requests on persistent
	 * connections and streams. As with the load balancer, callers send it no more
	 * requests once it reports that it is not ready. Fails if the process does not wait
	 * for running requests.
	 */
	@Test
	void leavingEntryCompletesRunningRequests() throws Exception {
		try (Deployment deployment = new Deployment("shutdown-entry", 1, "valle-a", "valle-b")) {
			for (String domain : List.of("valle-a", "valle-b")) {
				deployment.endpoint("cuotas-" + domain, Deployment.PLAIN, domain, false, "--latency-ms", "300");
				deployment.endpoint("modelo-" + domain, Deployment.MODEL, domain, false, "--tokens-per-second", "100");
			}
			deployment.apply().ok();
			deployment.startAll();
			String host = "valle-a-1";
			String key = deployment.grant();
			deployment.awaitService(host, key, Deployment.PLAIN);
			deployment.awaitService(host, key, Deployment.MODEL);

			CallerLoad load = new CallerLoad(deployment, host, key);
			List<Thread> callers = new ArrayList<>();
			for (int i = 0; i < PLAIN_CALLERS; i++) {
				callers.add(new Thread(load::plain));
			}
			for (int i = 0; i < STREAM_CALLERS; i++) {
				callers.add(new Thread(load::stream));
			}
			callers.forEach(Thread::start);
			Wait.until(Wait.START_TIMEOUT_MILLIS, "answers and running streams before the shutdown",
					() -> load.responses.get() >= 2 * PLAIN_CALLERS && load.streams.get() >= STREAM_CALLERS);
			deployment.program(host).terminate();
			load.terminated.set(true);
			Wait.until(Wait.START_TIMEOUT_MILLIS, "leaving sign",
					() -> !Http.get(deployment.http(host), "/health/ready").isOk());
			load.accepting.set(false);
			int status = deployment.program(host).await(2 * Wait.START_TIMEOUT_MILLIS);
			for (Thread caller : callers) {
				caller.join(Wait.START_TIMEOUT_MILLIS);
			}
			assertThat(load.failures).as("requests that were cut or refused").isEmpty();
			assertThat(load.callsDuringShutdown.get()).as("plain calls that ran at SIGTERM").isPositive();
			assertThat(load.streamsDuringShutdown.get()).as("streams that ran at SIGTERM").isPositive();
			// A JVM that is terminated by SIGTERM exits with 143 after its shutdown
			// hooks.
			assertThat(status).isIn(0, 143);
		}
	}

	/**
	 * The control process that holds both leases receives SIGTERM. Fails if it exits
	 * without releasing them, because a contender then waits until they expire.
	 */
	@Test
	void leavingControlReleasesItsLeases() throws Exception {
		try (Deployment deployment = new Deployment("shutdown-control", 2, "valle-a")) {
			deployment.set("plain_steady", "0");
			deployment.set("model_steady", "0");
			deployment.apply().ok();
			deployment.control("valle-a-1");
			Wait.until(Wait.START_TIMEOUT_MILLIS, "both leases at the first process",
					() -> holdsBoth(deployment, "valle-a-1"));
			deployment.control("valle-a-2");
			Wait.until(Wait.START_TIMEOUT_MILLIS, "second process with the rules",
					() -> deployment.controlHealth("valle-a-2").path("config_version").asLong() > 0);
			deployment.program("valle-a-1-control").terminate();
			Wait.until(LEASE_MILLIS, "both leases at the second process", () -> holdsBoth(deployment, "valle-a-2"));
			deployment.program("valle-a-1-control").await(Wait.START_TIMEOUT_MILLIS);
		}
	}

	private static boolean holdsBoth(Deployment deployment, String host) {
		return deployment.controlHealth(host).path("domain_lease_fencing").asLong() > 0
				&& deployment.controlHealth(host).path("usage_lease_fencing").asLong() > 0;
	}

	private static final class CallerLoad {

		/** Tokens of about 8 s, longer than all other waits of a shutdown together. */
		private static final int STREAM_TOKENS = 800;

		private final AtomicBoolean accepting = new AtomicBoolean(true);

		private final AtomicBoolean terminated = new AtomicBoolean();

		private final AtomicInteger responses = new AtomicInteger();

		private final AtomicInteger streams = new AtomicInteger();

		private final AtomicInteger callsDuringShutdown = new AtomicInteger();

		private final AtomicInteger streamsDuringShutdown = new AtomicInteger();

		private final Queue<String> failures = new ConcurrentLinkedQueue<>();

		private final Deployment deployment;

		private final String host;

		private final String key;

		private CallerLoad(Deployment deployment, String host, String key) {
			this.deployment = deployment;
			this.host = host;
			this.key = key;
		}

		private void plain() {
			for (int i = 0; this.accepting.get(); i++) {
				boolean before = !this.terminated.get();
				Reply reply = (i % 2 == 0) ? this.deployment.plain(this.host, this.key)
						: Http.send(this.deployment.http(this.host), "POST",
								"/services/" + Deployment.PLAIN + "/payments", this.key, "{\"amount\":125}");
				this.responses.incrementAndGet();
				if (before && this.terminated.get()) {
					this.callsDuringShutdown.incrementAndGet();
				}
				if (!reply.isOk()) {
					this.failures.add(reply.toString());
				}
			}
		}

		private void stream() {
			while (this.accepting.get()) {
				boolean before = !this.terminated.get();
				CallerStream stream = CallerStream.open(this.deployment.http(this.host), this.key, STREAM_TOKENS);
				Wait.until(Wait.START_TIMEOUT_MILLIS, "tokens of a stream",
						() -> stream.hasTokens() || stream.isEnded());
				this.streams.incrementAndGet();
				Wait.until(Wait.START_TIMEOUT_MILLIS, "end of a stream", stream::isEnded);
				if (before && this.terminated.get()) {
					this.streamsDuringShutdown.incrementAndGet();
				}
				if (!stream.isComplete()) {
					this.failures.add(stream.text());
				}
			}
		}

	}

}
