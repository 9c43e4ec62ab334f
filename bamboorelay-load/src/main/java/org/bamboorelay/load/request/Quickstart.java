package org.bamboorelay.load.request;

import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Map;

import org.bamboorelay.load.connection.CallerClient;
import org.bamboorelay.load.connection.LoadBalancer;
import org.bamboorelay.load.connection.ReceivedResponse;

/**
 * The checks of the quick start. The script starts and stops the processes and executes
 * the operator commands; each check is one call of {@link #run}.
 * <p>
 * Used by one thread.
 */
public final class Quickstart implements AutoCloseable {

	private static final long START_TIMEOUT_MILLIS = 30_000;

	private static final long TRAFFIC_TIMEOUT_MILLIS = 300_000;

	private final QuickstartSettings settings;

	private final CallerClient client = new CallerClient();

	private final LoadBalancer balancer;

	/**
	 * Creates the checks.
	 * @param settings addresses and services of the deployment
	 */
	public Quickstart(QuickstartSettings settings) {
		this.settings = settings;
		this.balancer = LoadBalancer.of(settings.entryAddresses(), this.client);
	}

	/**
	 * Runs one check.
	 * @param point name of the check
	 * @param argument a key, a step, a failure domain, a weight version or a file,
	 * depending on the check
	 * @return description of the verified result
	 */
	public String run(String point, String argument) {
		this.balancer.checkReadiness();
		OperatorCommandCheck operator = new OperatorCommandCheck(this.settings, this.client);
		return switch (point) {
			case "ready" -> awaitReady();
			case "first-answer" -> awaitFirstResponses();
			case "plain" -> new PlainServiceCheck(this.settings, this.client, this.balancer).run();
			case "rollout" -> new RolloutCheck(this.settings, this.client, this.balancer).run(argument, 0);
			case "weights" ->
				new WeightUpdateCheck(this.settings, this.client, this.balancer).run(Long.parseLong(argument));
			case "traffic" -> runTraffic(Path.of(argument));
			case "key-accepted" -> operator.awaitAccepted(argument);
			case "key-refused" -> operator.awaitRefused(argument);
			case "domain-out" -> operator.checkDomainReceivesNothing(argument);
			case "domain-back" -> operator.awaitDomainTraffic(argument);
			case "usage" -> new UsageReportCheck(this.settings, this.client).run();
			default -> throw new CheckFailedException("unknown check \"" + point + "\"");
		};
	}

	@Override
	public void close() {
		this.client.close();
	}

	private String awaitReady() {
		long millis = Waiting.until(START_TIMEOUT_MILLIS, "readiness of every entry host", () -> {
			this.balancer.checkReadiness();
			return this.balancer.readyCount() == this.settings.entryAddresses().size();
		});
		return this.settings.entryAddresses().size() + " entry hosts ready after " + millis + " ms";
	}

	private String awaitFirstResponses() {
		long millis = Waiting.until(START_TIMEOUT_MILLIS, "a first response of each service", () -> {
			Map<String, String> key = CallerClient.bearer(this.settings.key());
			String entry = this.balancer.next();
			return this.client.send(entry, "GET", "/services/" + this.settings.plainService() + "/balances/1", key)
				.exists(ReceivedResponse::isOk)
					&& this.client
						.send(entry, "POST", "/v1/completions", key,
								Map.of("model", this.settings.modelService(), "prompt", "hola", "max_tokens", 2))
						.exists(ReceivedResponse::isOk);
		});
		return "first responses after " + millis + " ms";
	}

	private String runTraffic(Path stopFile) {
		try (BackgroundTraffic traffic = new BackgroundTraffic(this.settings, this.client, this.balancer)) {
			traffic.start();
			Waiting.until(TRAFFIC_TIMEOUT_MILLIS, "the end of the traffic", () -> Files.exists(stopFile));
			traffic.finish();
			Checks.require(traffic.failed() == 0, traffic.failed() + " of " + (traffic.served() + traffic.failed())
					+ " requests failed, the first: " + traffic.firstFailure());
			return traffic.served() + " requests served in the meantime, none failed";
		}
	}

}
