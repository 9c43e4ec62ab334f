package org.bamboorelay.core.scenario;

import java.util.HashSet;
import java.util.Random;
import java.util.Set;
import java.util.function.Consumer;

import io.vavr.control.Either;
import io.vavr.control.Option;
import org.bamboorelay.core.process.StoreStep;
import org.bamboorelay.core.store.FakeObjectStore;
import org.bamboorelay.core.store.StoreFailure;
import org.bamboorelay.core.store.StoredObject;
import org.bamboorelay.core.version.FailureDomain;

/**
 * Links between hosts and to the platform, with partitions. Messages take a few
 * milliseconds; those that meet a cut are lost.
 */
final class Network {

	/** Time after which a caller gives up a call, in milliseconds. */
	static final long TIMEOUT_MILLIS = 2_000;

	private static final int LATENCY_MILLIS = 8;

	final FakeObjectStore store;

	/** Extra time of store calls in a slow phase, in milliseconds. */
	int storeSlowness;

	private final EventLoop loop;

	private final Random random;

	private final Set<Set<Object>> cuts = new HashSet<>();

	private final Set<FailureDomain> platformCuts = new HashSet<>();

	Network(EventLoop loop, Random random) {
		this.loop = loop;
		this.random = random;
		this.store = new FakeObjectStore(loop.clock);
	}

	void cut(Object first, Object second) {
		this.cuts.add(Set.of(first, second));
	}

	void heal(Object first, Object second) {
		this.cuts.remove(Set.of(first, second));
	}

	void platformCut(FailureDomain domain, boolean isCut) {
		if (isCut) {
			this.platformCuts.add(domain);
		}
		else {
			this.platformCuts.remove(domain);
		}
	}

	boolean reachesPlatform(SimProcess process) {
		return !this.platformCuts.contains(process.domain);
	}

	boolean connects(SimProcess one, SimProcess other) {
		if (one == other || this.cuts.isEmpty()) {
			return true;
		}
		return (one.domain.equals(other.domain) || !this.cuts.contains(Set.of(one.domain, other.domain)))
				&& !this.cuts.contains(Set.of(one, other));
	}

	/** Tells whether a process reaches the endpoints of a domain. */
	boolean reaches(SimProcess process, FailureDomain domain) {
		return process.domain.equals(domain) || !this.cuts.contains(Set.of(process.domain, domain));
	}

	long latency() {
		return 1 + this.random.nextInt(LATENCY_MILLIS);
	}

	/** Delivers a message unless the link is cut now or on arrival. */
	void send(SimProcess from, SimProcess to, Runnable action) {
		if (!connects(from, to)) {
			return;
		}
		this.loop.after(latency(), to, () -> {
			if (connects(from, to)) {
				action.run();
			}
		});
	}

	/** Calls the store on behalf of a process, which learns the result later. */
	void store(SimProcess process, StoreStep step, Consumer<Either<StoreFailure, Option<StoredObject>>> onResult) {
		int incarnation = process.incarnation;
		this.loop.after(storeLatency(), () -> {
			Either<StoreFailure, Option<StoredObject>> result = reachesPlatform(process) ? step.perform(this.store)
					: Either.left(new StoreFailure.Unavailable("no connection"));
			this.loop.after(storeLatency(), () -> {
				boolean lost = result.isRight() && !reachesPlatform(process);
				long delay = lost ? TIMEOUT_MILLIS : 0;
				this.loop.after(delay, process, () -> {
					if (process.incarnation == incarnation) {
						onResult.accept(lost ? Either.left(new StoreFailure.OutcomeUnknown("no answer")) : result);
					}
				});
			});
		});
	}

	private long storeLatency() {
		return latency() + ((this.storeSlowness > 0) ? this.random.nextInt(this.storeSlowness) : 0);
	}

}
