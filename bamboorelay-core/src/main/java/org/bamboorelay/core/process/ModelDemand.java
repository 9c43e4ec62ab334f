package org.bamboorelay.core.process;

import java.util.HashMap;
import java.util.Map;
import java.util.Objects;

import org.bamboorelay.core.time.Clock;
import org.jspecify.annotations.Nullable;

/**
 * Decides when an engine is assigned to another model: the models of a service share its
 * engines in proportion to the requests that run on them, averaged over several bursts of
 * submissions.
 * <p>
 * Thread-safe; guarded by its own lock.
 */
public final class ModelDemand {

	/** Time constant of the moving averages, in milliseconds. */
	static final long AVERAGING_MILLIS = 12_000;

	/**
	 * Minimum time between two changes, in milliseconds; an engine that changes its model
	 * has to load weights first.
	 */
	static final long CHANGE_INTERVAL_MILLIS = 4_000;

	/** Minimum number of engines of a model, one of which may be loading weights. */
	private static final int MIN_ENGINES = 2;

	/**
	 * Minimum ratio between the load of an engine of the model that gains an engine and
	 * the later load of one of the model that loses it.
	 */
	private static final double MIN_LOAD_RATIO = 1.25;

	private final Clock clock;

	private final Map<String, Double> averages = new HashMap<>();

	private final long startMillis;

	private long lastObservationMillis;

	private long lastChangeMillis;

	private ModelDemand(Clock clock) {
		this.clock = Objects.requireNonNull(clock, "clock");
		this.startMillis = clock.millis();
		this.lastObservationMillis = this.startMillis;
		this.lastChangeMillis = this.startMillis;
	}

	/**
	 * Creates the state without observed demand.
	 * @param clock the monotonic clock of the process
	 * @return the state
	 */
	public static ModelDemand of(Clock clock) {
		return new ModelDemand(clock);
	}

	/**
	 * Records the current load and returns the change to make now.
	 * @param running the number of requests that run on the engines of each model
	 * @param engines the number of engines of each model
	 * @return the change, or null if the engines are divided well enough or the demand
	 * has not been observed for long enough
	 */
	public synchronized @Nullable Change next(Map<String, Integer> running, Map<String, Integer> engines) {
		long now = this.clock.millis();
		double weight = Math.min(1, (double) (now - this.lastObservationMillis) / AVERAGING_MILLIS);
		this.lastObservationMillis = now;
		this.averages.keySet().retainAll(engines.keySet());
		engines.keySet()
			.forEach((model) -> this.averages.merge(model, (double) running.getOrDefault(model, 0),
					(average, current) -> average + weight * (current - average)));
		if (now - this.startMillis < AVERAGING_MILLIS || now - this.lastChangeMillis < CHANGE_INTERVAL_MILLIS) {
			return null;
		}
		String gaining = null;
		String losing = null;
		double highestLoad = 0;
		double lowestLoad = Double.MAX_VALUE;
		for (Map.Entry<String, Integer> entry : engines.entrySet()) {
			double average = this.averages.get(entry.getKey());
			int count = entry.getValue();
			if (count > 0 && average / count > highestLoad) {
				highestLoad = average / count;
				gaining = entry.getKey();
			}
			if (count > MIN_ENGINES && average / (count - 1) < lowestLoad) {
				lowestLoad = average / (count - 1);
				losing = entry.getKey();
			}
		}
		if (gaining == null || losing == null || gaining.equals(losing) || highestLoad < lowestLoad * MIN_LOAD_RATIO) {
			return null;
		}
		this.lastChangeMillis = now;
		return new Change(losing, gaining);
	}

	/**
	 * An engine to assign to another model.
	 *
	 * @param from the model that loses an engine
	 * @param to the model that gains it
	 */
	public record Change(String from, String to) {
	}

}
