package org.bamboorelay.load.request;

import java.util.List;
import java.util.Map;

import org.bamboorelay.load.connection.CallerClient;
import org.bamboorelay.load.connection.LoadBalancer;
import org.bamboorelay.load.connection.ReceivedResponse;

/**
 * Check 3 of the quick start: announced weights are loaded on every engine while requests
 * are served and a step is generated.
 * <p>
 * Used by one thread.
 */
final class WeightUpdateCheck {

	/** Limit of the design page: new weights are loaded on all engines within 30 s. */
	private static final long LOAD_TIMEOUT_MILLIS = 30_000;

	private final QuickstartSettings settings;

	private final CallerClient client;

	private final LoadBalancer balancer;

	WeightUpdateCheck(QuickstartSettings settings, CallerClient client, LoadBalancer balancer) {
		this.settings = settings;
		this.client = client;
		this.balancer = balancer;
	}

	String run(long version) {
		try (BackgroundTraffic traffic = new BackgroundTraffic(this.settings, this.client, this.balancer)) {
			traffic.start();
			ReceivedResponse announced = this.client
				.send(this.balancer.next(), "POST", "/v1/trainers/" + this.settings.trainer() + "/weights",
						CallerClient.bearer(this.settings.key()),
						Map.of("service", this.settings.modelService(), "version", version))
				.getOrElseThrow((failure) -> new CheckFailedException(failure.detail()));
			Checks.require(announced.isOk(),
					"weights: expected 200, found " + announced.status() + " " + announced.text());
			List<QuickstartSettings.Endpoint> engines = this.settings.engines();
			long millis = Waiting.until(LOAD_TIMEOUT_MILLIS, "version " + version + " on every engine",
					() -> engines.stream().allMatch((engine) -> loadedVersion(engine) >= version));
			String step = new RolloutCheck(this.settings, this.client, this.balancer).run(Long.toString(100 + version),
					version);
			traffic.finish();
			Checks.require(traffic.failed() == 0,
					traffic.failed() + " requests failed, the first: " + traffic.firstFailure());
			return "version " + version + " on " + engines.size() + " engines after " + millis + " ms, "
					+ traffic.served() + " requests served in the meantime, none failed; " + step;
		}
	}

	private long loadedVersion(QuickstartSettings.Endpoint engine) {
		return this.client.send(engine.address(), "GET", "/load", Map.of())
			.map((response) -> response.json().path("weight_versions").path(this.settings.trainer().value()).asLong(-1))
			.getOrElse(-1L);
	}

}
