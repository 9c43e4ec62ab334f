package org.bamboorelay.core.process;

import java.util.EnumMap;
import java.util.Map;
import java.util.concurrent.atomic.LongAdder;

/**
 * How often endpoints reported their load, and how often endpoints were chosen, by
 * reason.
 * <p>
 * Thread-safe.
 */
public final class PlacementCounts {

	private final LongAdder reports = new LongAdder();

	private final Map<PlacementReason, LongAdder> choices = new EnumMap<>(PlacementReason.class);

	PlacementCounts() {
		for (PlacementReason reason : PlacementReason.values()) {
			this.choices.put(reason, new LongAdder());
		}
	}

	/**
	 * Returns how many responses reported the load of their endpoint.
	 * @return the number of responses
	 */
	public long reports() {
		return this.reports.sum();
	}

	/**
	 * Returns how often an endpoint was chosen for a reason.
	 * @param reason the reason
	 * @return the number of choices
	 */
	public long choices(PlacementReason reason) {
		return count(this.choices, reason);
	}

	void onReport() {
		this.reports.increment();
	}

	void onChoice(PlacementReason reason) {
		add(this.choices, reason);
	}

	private static <K> long count(Map<K, LongAdder> counts, K key) {
		LongAdder count = counts.get(key);
		return (count != null) ? count.sum() : 0;
	}

	private static <K> void add(Map<K, LongAdder> counts, K key) {
		LongAdder count = counts.get(key);
		if (count != null) {
			count.increment();
		}
	}

}
