package org.bamboorelay.core.scenario;

import java.util.Random;

import org.bamboorelay.core.version.LineId;
import org.bamboorelay.core.version.WeightVersion;
import org.jspecify.annotations.Nullable;

/**
 * Model engines that swap weights while streams run, miss swaps, and sometimes report a
 * version that they cannot have.
 */
final class FakeEngines {

	static final LineId LINE = LineId.of("cartas");

	private static final int COUNT = 6;

	private static final int SWAP_MILLIS = 700;

	private final World world;

	private final long[] versions = new long[COUNT];

	FakeEngines(World world) {
		this.world = world;
		java.util.Arrays.fill(this.versions, 1);
		world.loop.after(SWAP_MILLIS, this::swap);
	}

	int pick() {
		return this.world.random.nextInt(COUNT);
	}

	long version(int engine) {
		return this.versions[engine];
	}

	/** Returns what the engine says of its next token; null for nothing. */
	@Nullable WeightVersion reported(int engine, long streamVersion) {
		Random random = this.world.random;
		long version = this.versions[engine];
		if (random.nextInt(60) == 0) {
			return (version - 1 < streamVersion && version > 1) ? WeightVersion.of(LINE, version - 1) : null;
		}
		return WeightVersion.of(LINE, version);
	}

	private void swap() {
		// A swap that is not made here has failed.
		this.versions[pick()] = this.world.trainer.published();
		this.world.loop.after(SWAP_MILLIS / 2 + this.world.random.nextInt(SWAP_MILLIS), this::swap);
	}

}
