package org.bamboorelay.standins.process;

import java.util.Map;
import java.util.concurrent.TimeUnit;

import org.bamboorelay.standins.connection.StandinReply;
import org.bamboorelay.standins.connection.StandinRequest;
import org.bamboorelay.standins.connection.StandinService;

/**
 * A scoring service. {@code POST /score} answers a number from 0 to 1 that depends on the
 * body only.
 * <p>
 * Thread-safe.
 */
public final class ScoringService implements StandinService {

	private static final int STEPS = 1_000;

	private final long latencyMillis;

	/**
	 * Creates the service.
	 * @param latencyMillis how long a score takes, in milliseconds
	 */
	public ScoringService(long latencyMillis) {
		if (latencyMillis < 0) {
			throw new IllegalArgumentException("latencyMillis must not be negative: " + latencyMillis);
		}
		this.latencyMillis = latencyMillis;
	}

	@Override
	public StandinReply serve(StandinRequest request) {
		if (!request.is("POST", "/score")) {
			return StandinReply.problem(404, "no such path: " + request.method() + " " + request.path());
		}
		try {
			TimeUnit.MILLISECONDS.sleep(this.latencyMillis);
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
			return StandinReply.closed("interrupted");
		}
		double score = Math.floorMod(request.digest().hashCode(), STEPS) / (double) STEPS;
		return StandinReply.json(200, Map.of("score", score));
	}

}
