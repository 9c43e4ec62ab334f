package org.bamboorelay.core.scenario;

import java.util.HashSet;
import java.util.Random;
import java.util.Set;
import java.util.function.Consumer;

import io.vavr.control.Either;
import io.vavr.control.Option;
import org.bamboorelay.core.process.StoreOperation;
import org.bamboorelay.core.store.FakeObjectStore;
import org.bamboorelay.core.store.StoreFailure;
import org.bamboorelay.core.store.StoredObject;
import org.bamboorelay.core.version.FailureDomain;

/**
 * The network between hosts and to the platform, with partitions. Messages take a few
 * milliseconds; those sent or arriving during a partition are lost.
 */
final class Network {

	/** Time-out of remote calls, in milliseconds. */
	static final long TIMEOUT_MILLIS = 2_000;

	private static final int LATENCY_MILLIS = 8;

	final FakeObjectStore store;

	/**
	 * Bound on the additional latency of store calls in each direction, in milliseconds;
	 * 0 for none.
	 */
	int storeExtraLatencyMillis;

	private final EventLoop loop;

	private final Random random;

	private final Set<Set<Object>> partitions = new HashSet<>();

	private final Set<FailureDomain> platformPartitions = new HashSet<>();

	Network(EventLoop loop, Random random) {
		this.loop = loop;
		this.random = random;
		this.store = new FakeObjectStore(loop.clock);
	}

	void partition(Object first, Object second) {
		this.partitions.add(Set.of(first, second));
	}

	void heal(Object first, Object second) {
		this.partitions.remove(Set.of(first, second));
	}

	void partitionPlatform(FailureDomain domain, boolean partitioned) {
		if (partitioned) {
			this.platformPartitions.add(domain);
		}
		else {
			this.platformPartitions.remove(domain);
		}
	}

	boolean reachesPlatform(SimulatedProcess process) {
		return !this.platformPartitions.contains(process.domain);
	}

	boolean connects(SimulatedProcess one, SimulatedProcess other) {
		if (one == other || this.partitions.isEmpty()) {
			return true;
		}
		return (one.domain.equals(other.domain) || !this.partitions.contains(Set.of(one.domain, other.domain)))
				&& !this.partitions.contains(Set.of(one, other));
	}

	/** Returns whether a process can reach the endpoints of a domain. */
	boolean reachesEndpoints(SimulatedProcess process, FailureDomain domain) {
		return process.domain.equals(domain) || !this.partitions.contains(Set.of(process.domain, domain));
	}

	long latency() {
		return 1 + this.random.nextInt(LATENCY_MILLIS);
	}

	/** Delivers a message unless the link is partitioned on sending or on arrival. */
	void send(SimulatedProcess from, SimulatedProcess to, Runnable action) {
		if (!connects(from, to)) {
			return;
		}
		this.loop.after(latency(), to, () -> {
			if (connects(from, to)) {
				action.run();
			}
		});
	}

	/**
	 * Performs a store operation for a process and delivers the result asynchronously.
	 * The result is lost if the platform is unreachable when it arrives.
	 */
	void store(SimulatedProcess process, StoreOperation step,
			Consumer<Either<StoreFailure, Option<StoredObject>>> onResult) {
		int incarnation = process.incarnation;
		this.loop.after(storeLatency(), () -> {
			Either<StoreFailure, Option<StoredObject>> result = reachesPlatform(process) ? step.perform(this.store)
					: Either.left(new StoreFailure.Unavailable("platform unreachable"));
			this.loop.after(storeLatency(), () -> {
				boolean lost = result.isRight() && !reachesPlatform(process);
				long delayMillis = lost ? TIMEOUT_MILLIS : 0;
				this.loop.after(delayMillis, process, () -> {
					if (process.incarnation == incarnation) {
						onResult.accept(lost ? Either.left(new StoreFailure.OutcomeUnknown("no response")) : result);
					}
				});
			});
		});
	}

	private long storeLatency() {
		return latency() + ((this.storeExtraLatencyMillis > 0) ? this.random.nextInt(this.storeExtraLatencyMillis) : 0);
	}

}
