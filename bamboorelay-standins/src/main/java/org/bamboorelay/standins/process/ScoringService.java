package org.bamboorelay.standins.process;

import java.util.Map;
import java.util.concurrent.TimeUnit;

import org.bamboorelay.standins.connection.StandinRequest;
import org.bamboorelay.standins.connection.StandinResponse;
import org.bamboorelay.standins.connection.StandinService;

/**
 * A scoring service. {@code POST /score} returns a number from 0 to 1 that depends on the
 * body only.
 * <p>
 * Thread-safe.
 */
public final class ScoringService implements StandinService {

	private static final int SCORE_LEVELS = 1_000;

	private final long latencyMillis;

	/**
	 * Creates the service.
	 * @param latencyMillis duration of a call, in milliseconds
	 */
	public ScoringService(long latencyMillis) {
		if (latencyMillis < 0) {
			throw new IllegalArgumentException("latencyMillis must not be negative: " + latencyMillis);
		}
		this.latencyMillis = latencyMillis;
	}

	@Override
	public StandinResponse serve(StandinRequest request) {
		if (!request.hasRoute("POST", "/score")) {
			return StandinResponse.problem(404, "no such path: " + request.method() + " " + request.path());
		}
		try {
			TimeUnit.MILLISECONDS.sleep(this.latencyMillis);
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
			return StandinResponse.closeConnection("interrupted");
		}
		double score = Math.floorMod(request.bodyDigest().hashCode(), SCORE_LEVELS) / (double) SCORE_LEVELS;
		return StandinResponse.json(200, Map.of("score", score));
	}

}
