package org.bamboorelay.host.request;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicBoolean;

import org.bamboorelay.core.process.EndpointDemand;
import org.bamboorelay.core.process.EndpointTable;
import org.bamboorelay.core.request.ResultLog;
import org.bamboorelay.core.request.SubmissionPlan;
import org.bamboorelay.core.request.TextPart;

/**
 * A submission that this host runs.
 * <p>
 * Thread-safe.
 */
final class ActiveSubmission {

	/** A run leaves an endpoint that is slower than a free one by this factor. */
	private static final double SLOW_PACE_RATIO = 1.7;

	/** The same for long runs while no item waits. */
	private static final double LONG_RUN_PACE_RATIO = 1.2;

	/** Events after which a run counts as long; most texts have fewer. */
	private static final int LONG_RUN_EVENTS = 30;

	private static final int MAX_MOVES = 2;

	private final SubmissionPlan plan;

	private final ResultLog results;

	private final String service;

	private final long endMillis;

	private final Map<String, RunningItem> aborts = new ConcurrentHashMap<>();

	private final Map<String, Integer> moves = new ConcurrentHashMap<>();

	private final Set<String> moving = ConcurrentHashMap.newKeySet();

	private final Map<String, Long> copied = new HashMap<>();

	private String copiedTo = "";

	private volatile long lastCopyMillis;

	private final AtomicBoolean writing = new AtomicBoolean();

	private volatile long lastWriteMillis;

	private volatile boolean dropped;

	ActiveSubmission(SubmissionPlan plan, ResultLog results, String service, long endMillis) {
		this.plan = Objects.requireNonNull(plan, "plan");
		this.results = Objects.requireNonNull(results, "results");
		this.service = Objects.requireNonNull(service, "service");
		this.endMillis = endMillis;
	}

	SubmissionPlan plan() {
		return this.plan;
	}

	ResultLog results() {
		return this.results;
	}

	// When its items may be given up, wall clock in milliseconds.
	long endMillis() {
		return this.endMillis;
	}

	AtomicBoolean writing() {
		return this.writing;
	}

	long lastWriteMillis() {
		return this.lastWriteMillis;
	}

	void written(long now) {
		this.lastWriteMillis = now;
	}

	EndpointDemand demand(long affinity) {
		return new EndpointDemand(this.service, this.plan.submission().model(), this.plan.submission().minVersion(),
				affinity, true, Set.of());
	}

	void running(String item, String endpoint, Runnable abort) {
		this.aborts.put(item, new RunningItem(endpoint, abort));
		if (this.dropped || this.plan.isEnded()) {
			abort.run();
		}
	}

	void abandoned(String item) {
		this.aborts.remove(item);
	}

	boolean isMoved(String item) {
		return this.moving.remove(item);
	}

	// Breaks off runs on endpoints that fell behind; they resume elsewhere, where reading
	// the text so far costs little. While items wait for slots, only a much slower
	// endpoint is left; afterwards long runs, which decide when the step ends, go to the
	// fastest endpoint. A run moves a few times at most, so that it is not handed around.
	void moveFrom(EndpointTable table, boolean itemsWait) {
		this.aborts.forEach((item, run) -> {
			int moves = this.moves.getOrDefault(item, 0);
			boolean isLong = this.plan.progress(item) >= LONG_RUN_EVENTS;
			double ratio = (itemsWait || !isLong) ? SLOW_PACE_RATIO : LONG_RUN_PACE_RATIO;
			if (moves < MAX_MOVES && table.isWorthMoving(run.endpoint(), demand(0), ratio)) {
				this.moves.put(item, moves + 1);
				this.moving.add(item);
				run.abort().run();
			}
		});
	}

	long lastCopyMillis() {
		return this.lastCopyMillis;
	}

	void copying(long now) {
		this.lastCopyMillis = now;
	}

	// Returns what the host lacks that would go on with this submission. Another host
	// than
	// the last time has nothing.
	synchronized List<TextPart> partsFor(String host) {
		if (!host.equals(this.copiedTo)) {
			this.copiedTo = host;
			this.copied.clear();
		}
		return this.plan.partsBeyond(this.copied);
	}

	// Makes the next copy begin anew, as the last one may not have come through.
	synchronized void copyLost() {
		this.copied.clear();
	}

	// Breaks off all runs and keeps their texts for another host.
	void pause() {
		this.dropped = true;
		List.copyOf(this.aborts.values()).forEach((run) -> run.abort().run());
	}

	String service() {
		return this.service;
	}

	int runs() {
		return this.aborts.size();
	}

	// Breaks off all runs, be it that the submission ended or that another host runs it.
	void drop() {
		this.dropped = true;
		this.plan.end();
		List.copyOf(this.aborts.values()).forEach((run) -> run.abort().run());
	}

	private record RunningItem(String endpoint, Runnable abort) {
	}

}
