package org.bamboorelay.standins.process;

import java.util.Objects;

import org.bamboorelay.core.time.Clock;
import org.bamboorelay.standins.connection.StandinRequest;
import org.bamboorelay.standins.connection.StandinResponse;
import org.bamboorelay.standins.connection.StandinService;

/**
 * The weight store. It has every version of every weight line and responds with status
 * 429 above its download rate.
 * <p>
 * Thread-safe.
 */
public final class WeightStoreService implements StandinService {

	private final Clock clock;

	private final double ratePerSecond;

	private final byte[] weights;

	private double availableDownloads;

	private long refilledAtMillis;

	/**
	 * Creates the service.
	 * @param clock the clock
	 * @param ratePerSecond maximum number of downloads per second, 0 for no limit
	 * @param bytes size of each version, in bytes
	 */
	public WeightStoreService(Clock clock, double ratePerSecond, int bytes) {
		this.clock = Objects.requireNonNull(clock, "clock");
		if (ratePerSecond < 0) {
			throw new IllegalArgumentException("ratePerSecond must not be negative: " + ratePerSecond);
		}
		this.ratePerSecond = ratePerSecond;
		this.weights = new byte[bytes];
		this.availableDownloads = Math.max(1, ratePerSecond);
		this.refilledAtMillis = clock.millis();
	}

	@Override
	public StandinResponse serve(StandinRequest request) {
		String[] parts = request.pathAfter("/weights/").split("/");
		if (!"GET".equals(request.method()) || parts.length != 2 || !parts[1].matches("[0-9]+")) {
			return StandinResponse.problem(404, "no such path: " + request.method() + " " + request.path());
		}
		if (!tryAcquire()) {
			return StandinResponse.problem(429, "download rate exceeds " + this.ratePerSecond + " downloads per second")
				.withHeader("Retry-After", "1");
		}
		return StandinResponse.bytes(200, "application/octet-stream", this.weights);
	}

	private synchronized boolean tryAcquire() {
		if (this.ratePerSecond == 0) {
			return true;
		}
		long now = this.clock.millis();
		double refill = (now - this.refilledAtMillis) * this.ratePerSecond / 1000;
		this.availableDownloads = Math.min(Math.max(1, this.ratePerSecond), this.availableDownloads + refill);
		this.refilledAtMillis = now;
		if (this.availableDownloads < 1) {
			return false;
		}
		this.availableDownloads--;
		return true;
	}

}
