package org.bamboorelay.core.process;

import java.util.HashMap;
import java.util.Map;

import org.jspecify.annotations.Nullable;

/**
 * What a host knows of one start of an endpoint.
 * <p>
 * Not thread-safe; guarded by the lock of {@link EndpointTable}.
 */
final class EndpointState implements PlacementCandidate {

	/** Age from which a report is ignored, in milliseconds; the pace changes faster. */
	private static final long REPORT_MAX_AGE_MILLIS = 1_000;

	/** Weight of the newest report in the moving average of the reported pace. */
	private static final double PACE_EWMA_WEIGHT = 0.05;

	/** Weight of the newest measurement in the moving average of the time per unit. */
	private static final double UNIT_TIME_EWMA_WEIGHT = 0.2;

	EndpointEntry entry;

	final Map<String, Long> versions = new HashMap<>();

	int running;

	/** Number of requests that the peers of this host run at the endpoint. */
	int peerRunning;

	/** Number of tokens that the items of this host may occupy at the endpoint. */
	long reservedTokens;

	int failures;

	int timeouts;

	long backoffUntilMillis;

	long coldUntilMillis;

	long nextColdRequestAtMillis;

	double unitTime;

	long lastResponseMillis = Long.MIN_VALUE;

	@Nullable String assignedModel;

	private @Nullable ReportedLoad reported;

	private long reportedAtMillis;

	/** Difference between the reported load and that known from hosts at that time. */
	private int unknownLoad;

	private double usualPace = 1;

	private double usualUnitTime;

	/**
	 * Whether a slot at this endpoint was requested and not yet refused or granted.
	 */
	boolean slotRequested;

	private long nextInteractiveSlotMillis;

	private long nextBackgroundSlotMillis;

	long reclaimedAtMillis = Long.MAX_VALUE;

	EndpointState(EndpointEntry entry) {
		this.entry = entry;
	}

	// Repetitions of a notice don't extend it.
	void onNotice(long now) {
		this.reclaimedAtMillis = this.entry.isReclaimed()
				? Math.min(this.reclaimedAtMillis, now + this.entry.leavesMillis()) : Long.MAX_VALUE;
	}

	@Override
	public String id() {
		return this.entry.id();
	}

	@Override
	public int slots() {
		return this.entry.slots();
	}

	@Override
	public int load() {
		return this.running + this.peerRunning;
	}

	@Override
	public double unitTime() {
		return (this.reported == null) ? this.unitTime : this.usualUnitTime;
	}

	@Override
	public @Nullable String assignedModel() {
		return this.assignedModel;
	}

	@Override
	public double expectedLoad(long nowMillis) {
		// Requests that this host and its peers started or ended since the report change
		// load(), and thereby the expected load.
		return Math.max(this.running, load() + freshness(nowMillis) * this.unknownLoad);
	}

	@Override
	public double currentPace(long nowMillis) {
		return (this.reported == null) ? this.usualPace
				: this.usualPace + freshness(nowMillis) * (this.reported.pace() - this.usualPace);
	}

	@Override
	public double usualPace() {
		return this.usualPace;
	}

	@Override
	public boolean fits(ItemWork work, PlacementPolicy.Memory memory) {
		return memory.capacity() == 0 || load() == 0 || this.reservedTokens + this.peerRunning * memory.tokensPerRun()
				+ work.reservedTokens() <= memory.capacity();
	}

	void onEnded(EndpointTable.Grant grant) {
		this.running = Math.max(0, this.running - 1);
		this.reservedTokens = Math.max(0, this.reservedTokens - grant.reservedTokens());
	}

	boolean reportsLoad() {
		return this.reported != null;
	}

	void onLoadReported(ReportedLoad load, long nowMillis) {
		this.reported = load;
		this.reportedAtMillis = nowMillis;
		this.unknownLoad = load.running() + load.waiting() - load();
		this.usualPace += PACE_EWMA_WEIGHT * (load.pace() - this.usualPace);
	}

	void onUnitTime(double millis, long nowMillis) {
		this.lastResponseMillis = nowMillis;
		this.unitTime = average(this.unitTime, millis);
		this.usualUnitTime = average(this.usualUnitTime, millis / currentPace(nowMillis));
	}

	private static double average(double before, double millis) {
		return (before == 0) ? millis : before + UNIT_TIME_EWMA_WEIGHT * (millis - before);
	}

	// 1 for a report that just arrived, 0 for none or one that is ignored.
	private double freshness(long nowMillis) {
		long ageMillis = nowMillis - this.reportedAtMillis;
		return (this.reported == null || ageMillis >= REPORT_MAX_AGE_MILLIS) ? 0
				: 1 - (double) ageMillis / REPORT_MAX_AGE_MILLIS;
	}

	long nextSlotMillis(EndpointRequirements requirements) {
		return requirements.origin().isInteractive() ? this.nextInteractiveSlotMillis : this.nextBackgroundSlotMillis;
	}

	void nextSlotMillis(EndpointRequirements requirements, long millis) {
		if (requirements.origin().isInteractive()) {
			this.nextInteractiveSlotMillis = millis;
		}
		else {
			this.nextBackgroundSlotMillis = millis;
		}
	}

}
