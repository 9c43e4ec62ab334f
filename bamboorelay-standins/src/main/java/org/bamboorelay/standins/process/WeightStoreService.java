package org.bamboorelay.standins.process;

import java.util.Objects;

import org.bamboorelay.core.time.Clock;
import org.bamboorelay.standins.connection.StandinReply;
import org.bamboorelay.standins.connection.StandinRequest;
import org.bamboorelay.standins.connection.StandinService;

/**
 * The weight store. It has every version of every line and answers 429 above its rate.
 * <p>
 * Thread-safe.
 */
public final class WeightStoreService implements StandinService {

	private final Clock clock;

	private final double ratePerSecond;

	private final byte[] weights;

	private double tokens;

	private long refilledMillis;

	/**
	 * Creates the service.
	 * @param clock the clock
	 * @param ratePerSecond downloads a second, 0 for no limit
	 * @param bytes size of a version
	 */
	public WeightStoreService(Clock clock, double ratePerSecond, int bytes) {
		this.clock = Objects.requireNonNull(clock, "clock");
		if (ratePerSecond < 0) {
			throw new IllegalArgumentException("ratePerSecond must not be negative: " + ratePerSecond);
		}
		this.ratePerSecond = ratePerSecond;
		this.weights = new byte[bytes];
		this.tokens = Math.max(1, ratePerSecond);
		this.refilledMillis = clock.millis();
	}

	@Override
	public StandinReply serve(StandinRequest request) {
		String[] parts = request.after("/weights/").split("/");
		if (!"GET".equals(request.method()) || parts.length != 2 || !parts[1].matches("[0-9]+")) {
			return StandinReply.problem(404, "no such path: " + request.method() + " " + request.path());
		}
		if (!take()) {
			return StandinReply.problem(429, "above " + this.ratePerSecond + " downloads a second")
				.withHeader("Retry-After", "1");
		}
		return StandinReply.bytes(200, "application/octet-stream", this.weights);
	}

	private synchronized boolean take() {
		if (this.ratePerSecond == 0) {
			return true;
		}
		long now = this.clock.millis();
		double refill = (now - this.refilledMillis) * this.ratePerSecond / 1000;
		this.tokens = Math.min(Math.max(1, this.ratePerSecond), this.tokens + refill);
		this.refilledMillis = now;
		if (this.tokens < 1) {
			return false;
		}
		this.tokens--;
		return true;
	}

}
