package org.bamboorelay.entry.process;

import java.util.concurrent.atomic.AtomicLong;

/**
 * Generates the ids of the credits of one shard. The low bits hold the index of the
 * shard; the others start at a random value, so that a credit of an earlier incarnation
 * of the process is not mistaken for a current one.
 * <p>
 * Thread-safe.
 */
final class CreditIdGenerator {

	private static final int SHARD_BITS = 12;

	/** Maximum number of shards in a process. */
	static final int MAX_SHARDS = 1 << SHARD_BITS;

	private final AtomicLong next;

	private final int shard;

	CreditIdGenerator(int shard, long random) {
		if (shard < 0 || shard >= MAX_SHARDS) {
			throw new IllegalArgumentException("shard must be from 0 to " + (MAX_SHARDS - 1) + ": " + shard);
		}
		this.shard = shard;
		this.next = new AtomicLong((random >>> 2) >> SHARD_BITS);
	}

	long next() {
		return (this.next.incrementAndGet() << SHARD_BITS) | this.shard;
	}

	static int shard(long credit) {
		return (int) (credit & (MAX_SHARDS - 1));
	}

}
