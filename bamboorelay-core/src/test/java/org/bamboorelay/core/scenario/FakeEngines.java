package org.bamboorelay.core.scenario;

import java.util.Random;

import org.bamboorelay.core.version.LineId;
import org.bamboorelay.core.version.WeightVersion;
import org.jspecify.annotations.Nullable;

/**
 * Simulated model engines, which swap weights during streams, miss swaps, and
 * occasionally report no version, or one older than that of an earlier token of the
 * stream.
 */
final class FakeEngines {

	static final LineId LINE = LineId.of("cartas");

	private static final int ENGINE_COUNT = 6;

	private static final int SWAP_INTERVAL_MILLIS = 700;

	private final Simulation simulation;

	private final long[] versions = new long[ENGINE_COUNT];

	FakeEngines(Simulation simulation) {
		this.simulation = simulation;
		java.util.Arrays.fill(this.versions, 1);
		simulation.loop.after(SWAP_INTERVAL_MILLIS, this::swap);
	}

	int pickRandom() {
		return this.simulation.random.nextInt(ENGINE_COUNT);
	}

	long version(int engine) {
		return this.versions[engine];
	}

	/** Returns the version that the engine reports for its next token, or null. */
	@Nullable WeightVersion reported(int engine, long streamVersion) {
		Random random = this.simulation.random;
		long version = this.versions[engine];
		if (random.nextInt(60) == 0) {
			return (version - 1 < streamVersion && version > 1) ? WeightVersion.of(LINE, version - 1) : null;
		}
		return WeightVersion.of(LINE, version);
	}

	private void swap() {
		// One random engine swaps; a version that an engine skips is a failed swap.
		this.versions[pickRandom()] = this.simulation.trainer.publishedVersion();
		this.simulation.loop.after(SWAP_INTERVAL_MILLIS / 2 + this.simulation.random.nextInt(SWAP_INTERVAL_MILLIS),
				this::swap);
	}

}
