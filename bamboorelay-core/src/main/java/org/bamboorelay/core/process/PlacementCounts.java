package org.bamboorelay.core.process;

import java.util.EnumMap;
import java.util.Map;
import java.util.concurrent.atomic.LongAdder;

/**
 * How often endpoints reported their load, how often endpoints were chosen and how often
 * runs were migrated, by reason.
 * <p>
 * Thread-safe.
 */
public final class PlacementCounts {

	private final LongAdder reports = new LongAdder();

	private final Map<PlacementReason, LongAdder> choices = new EnumMap<>(PlacementReason.class);

	private final Map<MigrationReason, LongAdder> migrations = new EnumMap<>(MigrationReason.class);

	PlacementCounts() {
		for (MigrationReason reason : MigrationReason.values()) {
			this.migrations.put(reason, new LongAdder());
		}
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

	/**
	 * Returns how often a run was migrated for a reason.
	 * @param reason the reason
	 * @return the number of migrations
	 */
	public long migrations(MigrationReason reason) {
		return count(this.migrations, reason);
	}

	/**
	 * Counts the migration of a run.
	 * @param reason the reason
	 */
	public void onMigrated(MigrationReason reason) {
		add(this.migrations, reason);
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
