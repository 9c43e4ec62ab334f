package org.bamboorelay.load.request;

import java.util.Map;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicLong;
import java.util.concurrent.atomic.AtomicReference;

import io.vavr.control.Either;
import org.bamboorelay.load.connection.CallerClient;
import org.bamboorelay.load.connection.LoadBalancer;
import org.bamboorelay.load.connection.ReceivedResponse;
import org.bamboorelay.runtime.connection.HttpFailure;

/**
 * Background callers of the quick start, in a closed loop: each sends one request after
 * the other and counts failed and truncated responses.
 * <p>
 * Thread-safe.
 */
final class BackgroundTraffic implements AutoCloseable {

	private static final int CALLERS = 6;

	private static final long READINESS_CHECK_INTERVAL_MILLIS = 100;

	private final QuickstartSettings settings;

	private final CallerClient client;

	private final LoadBalancer balancer;

	private final ExecutorService threads = Executors.newFixedThreadPool(CALLERS + 1);

	private final AtomicBoolean stopped = new AtomicBoolean();

	private final AtomicLong served = new AtomicLong();

	private final AtomicLong failed = new AtomicLong();

	private final AtomicReference<String> firstFailure = new AtomicReference<>("");

	BackgroundTraffic(QuickstartSettings settings, CallerClient client, LoadBalancer balancer) {
		this.settings = settings;
		this.client = client;
		this.balancer = balancer;
	}

	void start() {
		this.threads.execute(() -> {
			while (!this.stopped.get()) {
				this.balancer.checkReadiness();
				Waiting.pause(READINESS_CHECK_INTERVAL_MILLIS);
			}
		});
		for (int i = 0; i < CALLERS; i++) {
			boolean completion = i % 3 == 0;
			this.threads.execute(() -> {
				while (!this.stopped.get()) {
					count(completion ? requestCompletion() : queryBalance());
				}
			});
		}
	}

	long served() {
		return this.served.get();
	}

	long failed() {
		return this.failed.get();
	}

	String firstFailure() {
		return this.firstFailure.get();
	}

	@Override
	public void close() {
		finish();
	}

	/**
	 * Stops the callers and waits for outstanding requests. Further calls have no effect.
	 */
	void finish() {
		this.stopped.set(true);
		this.threads.shutdown();
		try {
			this.threads.awaitTermination(30, TimeUnit.SECONDS);
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
		}
	}

	private Either<HttpFailure, ReceivedResponse> queryBalance() {
		return this.client.send(this.balancer.next(), "GET",
				"/services/" + this.settings.plainService() + "/balances/7", CallerClient.bearer(this.settings.key()));
	}

	private Either<HttpFailure, ReceivedResponse> requestCompletion() {
		return this.client.send(this.balancer.next(), "POST", "/v1/completions",
				CallerClient.bearer(this.settings.key()), Map.of("model", this.settings.modelService(), "prompt",
						"Estimada familia", "max_tokens", 30, "stream", true));
	}

	private void count(Either<HttpFailure, ReceivedResponse> result) {
		boolean complete = result.exists((response) -> response.isOk()
				&& (!response.text().startsWith("data:") || response.text().contains("data: [DONE]")));
		if (complete) {
			this.served.incrementAndGet();
			return;
		}
		this.failed.incrementAndGet();
		this.firstFailure.compareAndSet("",
				result.fold(HttpFailure::detail, (response) -> response.status() + " " + response.text()));
	}

}
