package org.bamboorelay.core.scenario;

import java.util.ArrayList;
import java.util.EnumMap;
import java.util.List;
import java.util.Map;
import java.util.function.Supplier;

/**
 * What a run has seen: the first violation of each invariant, how often the situation of
 * each occurred, and a trace where one is wanted.
 */
final class Journal {

	final Map<Invariant, Violation> violations = new EnumMap<>(Invariant.class);

	final Map<Invariant, Long> situations = new EnumMap<>(Invariant.class);

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

	/** Notes that an invariant could have been broken here. */
	void occurred(Invariant invariant) {
		this.situations.merge(invariant, 1L, Long::sum);
	}

	void require(boolean holds, Invariant invariant, Supplier<String> detail) {
		if (!holds && !this.violations.containsKey(invariant)) {
			Violation violation = new Violation(invariant, this.loop.elapsed(), detail.get());
			this.violations.put(invariant, violation);
			trace(() -> "VIOLATION " + violation);
		}
	}

}
