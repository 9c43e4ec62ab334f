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

	EndpointEntry entry;

	final Map<String, Long> versions = new HashMap<>();

	int running;

	/** Number of requests that the peers of this host run at the endpoint. */
	int peerRunning;

	int failures;

	int timeouts;

	long backoffUntilMillis;

	long coldUntilMillis;

	long nextColdRequestAtMillis;

	double unitTime;

	long lastResponseMillis = Long.MIN_VALUE;

	@Nullable String assignedModel;

	/**
	 * Whether a slot at this endpoint was requested and not yet refused or granted.
	 */
	boolean slotRequested;

	private long nextInteractiveSlotMillis;

	private long nextBackgroundSlotMillis;

	EndpointState(EndpointEntry entry) {
		this.entry = entry;
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
		return this.unitTime;
	}

	@Override
	public @Nullable String assignedModel() {
		return this.assignedModel;
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
