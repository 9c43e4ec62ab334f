package org.bamboorelay.host.request;

import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.function.Predicate;

import org.bamboorelay.core.process.EndpointDemand;
import org.bamboorelay.core.request.ResultLog;
import org.bamboorelay.core.request.SubmissionPlan;

/**
 * A submission that this host runs.
 * <p>
 * Thread-safe.
 */
final class ActiveSubmission {

	private final SubmissionPlan plan;

	private final ResultLog results;

	private final String service;

	private final long endMillis;

	private final Map<String, RunningItem> aborts = new ConcurrentHashMap<>();

	private final Set<String> moved = ConcurrentHashMap.newKeySet();

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
		return this.moved.contains(item);
	}

	// Breaks off runs on endpoints that fell behind; they resume elsewhere. A run moves
	// once, so that it is not handed around.
	void moveFrom(Predicate<String> slow) {
		this.aborts.forEach((item, run) -> {
			if (!this.moved.contains(item) && slow.test(run.endpoint())) {
				this.moved.add(item);
				run.abort().run();
			}
		});
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
