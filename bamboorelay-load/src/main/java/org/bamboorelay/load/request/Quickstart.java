package org.bamboorelay.load.request;

import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Map;

import org.bamboorelay.load.connection.Answer;
import org.bamboorelay.load.connection.Balancer;
import org.bamboorelay.load.connection.CallerClient;

/**
 * The points that the quick start walks through. The script starts and stops the
 * processes and gives the operator's commands; each point is one call of this class.
 * <p>
 * Used by one thread.
 */
public final class Quickstart implements AutoCloseable {

	private static final long START_LIMIT_MILLIS = 30_000;

	private static final long TRAFFIC_LIMIT_MILLIS = 300_000;

	private final QuickstartSettings settings;

	private final CallerClient client = new CallerClient();

	private final Balancer balancer;

	/**
	 * Creates the points.
	 * @param settings what runs where
	 */
	public Quickstart(QuickstartSettings settings) {
		this.settings = settings;
		this.balancer = Balancer.of(settings.entryAddresses(), this.client);
	}

	/**
	 * Runs one point.
	 * @param point its name
	 * @param argument a key, a failure domain, a version or a file, by the point
	 * @return what was checked
	 */
	public String run(String point, String argument) {
		this.balancer.check();
		OperatorPoint operator = new OperatorPoint(this.settings, this.client);
		return switch (point) {
			case "ready" -> ready();
			case "first-answer" -> firstAnswer();
			case "plain" -> new PlainPoint(this.settings, this.client, this.balancer).run();
			case "rollout" -> new RolloutPoint(this.settings, this.client, this.balancer).run(argument, 0);
			case "weights" -> new WeightsPoint(this.settings, this.client, this.balancer).run(Long.parseLong(argument));
			case "traffic" -> traffic(Path.of(argument));
			case "key-accepted" -> operator.awaitAccepted(argument);
			case "key-refused" -> operator.awaitRefused(argument);
			case "domain-out" -> operator.domainGetsNothing(argument);
			case "domain-back" -> operator.domainGetsWork(argument);
			case "usage" -> new UsagePoint(this.settings, this.client).run();
			default -> throw new CheckFailedException("point \"" + point + "\" does not exist");
		};
	}

	@Override
	public void close() {
		this.client.close();
	}

	private String ready() {
		long millis = Waiting.until(START_LIMIT_MILLIS, "every entry host ready", () -> {
			this.balancer.check();
			return this.balancer.readyCount() == this.settings.entryAddresses().size();
		});
		return this.settings.entryAddresses().size() + " entry hosts ready after " + millis + " ms";
	}

	private String firstAnswer() {
		long millis = Waiting.until(START_LIMIT_MILLIS, "a first answer of each service", () -> {
			Map<String, String> key = CallerClient.bearer(this.settings.key());
			String entry = this.balancer.next();
			return this.client.send(entry, "GET", "/services/" + this.settings.plainService() + "/balances/1", key)
				.exists(Answer::isOk)
					&& this.client
						.send(entry, "POST", "/v1/completions", key,
								Map.of("model", this.settings.modelService(), "prompt", "hola", "max_tokens", 2))
						.exists(Answer::isOk);
		});
		return "first answers after " + millis + " ms";
	}

	private String traffic(Path stopFile) {
		try (Traffic traffic = new Traffic(this.settings, this.client, this.balancer)) {
			traffic.start();
			Waiting.until(TRAFFIC_LIMIT_MILLIS, "the end of the traffic", () -> Files.exists(stopFile));
			traffic.finish();
			Checks.require(traffic.failed() == 0, traffic.failed() + " of " + (traffic.served() + traffic.failed())
					+ " requests failed, the first: " + traffic.firstFailure());
			return traffic.served() + " requests served meanwhile and none failed";
		}
	}

}
