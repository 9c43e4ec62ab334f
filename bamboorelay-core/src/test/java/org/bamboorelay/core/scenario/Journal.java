package org.bamboorelay.core.scenario;

import java.util.ArrayList;
import java.util.EnumMap;
import java.util.List;
import java.util.Map;
import java.util.function.Supplier;

/**
 * Collects the results of a run: the first violation of each invariant, how often each
 * invariant was tested, and optionally a trace.
 */
final class Journal {

	final Map<Invariant, Violation> violations = new EnumMap<>(Invariant.class);

	final Map<Invariant, Long> coverage = new EnumMap<>(Invariant.class);

	final List<String> trace = new ArrayList<>();

	private final EventLoop loop;

	private final boolean tracing;

	Journal(EventLoop loop, boolean tracing) {
		this.loop = loop;
		this.tracing = tracing;
	}

	void trace(Supplier<String> line) {
		if (this.tracing) {
			this.trace.add("at " + this.loop.elapsed() + " " + line.get());
		}
	}

	/** Counts an occurrence of the condition under which an invariant is at risk. */
	void recordCoverage(Invariant invariant) {
		this.coverage.merge(invariant, 1L, Long::sum);
	}

	void require(boolean holds, Invariant invariant, Supplier<String> detail) {
		if (!holds && !this.violations.containsKey(invariant)) {
			Violation violation = new Violation(invariant, this.loop.elapsed(), detail.get());
			this.violations.put(invariant, violation);
			trace(() -> "VIOLATION " + violation);
		}
	}

}
