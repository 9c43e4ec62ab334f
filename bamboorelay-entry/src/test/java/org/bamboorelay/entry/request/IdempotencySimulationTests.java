package org.bamboorelay.entry.request;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;

import io.vavr.control.Either;
import io.vavr.control.Option;
import org.bamboorelay.core.failure.ExecutionState;
import org.bamboorelay.core.failure.Refusal;
import org.bamboorelay.core.failure.RefusalReason;
import org.bamboorelay.core.store.ObjectStore;
import org.bamboorelay.core.store.StoreFailure;
import org.bamboorelay.core.store.StoredObject;
import org.bamboorelay.runtime.process.Counters;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Guards against a non-idempotent request that is executed twice (invariant 13), and a
 * refusal that states {@code run: no} for a call that was executed (invariant 12). In the
 * simulated runs callers repeat requests at other hosts, also while the first call is in
 * progress; hosts are killed during a request; and the store becomes unavailable, loses
 * responses and applies writes with a delay.
 * <p>
 * {@code -Didempotency.seed=n} repeats the run of one seed.
 */
class IdempotencySimulationTests {

	private static final int RUNS = 5_000;

	private static final int UNCONDITIONAL_RUNS = 50;

	private static final int EVENTS_PER_RUN = 60;

	private static final int KEYS = 4;

	@Test
	void requestExecutesAtMostOnceAndRefusalsStateExecutionCorrectly() {
		Long replayed = Long.getLong("idempotency.seed");
		int races = 0;
		int kills = 0;
		int refusals = 0;
		for (long seed = (replayed != null) ? replayed : 0; seed < ((replayed != null) ? replayed + 1 : RUNS); seed++) {
			Simulation run = new Simulation(seed, true);
			run.execute();
			assertThat(run.violations).as("replay with -Didempotency.seed=%s", seed).isEmpty();
			races += run.races;
			kills += run.kills;
			refusals += run.refusals;
		}
		if (replayed == null) {
			assertThat(List.of(races, kills, refusals)).as("races, kills, refusals").allMatch((count) -> count > RUNS);
		}
	}

	@Test
	void unconditionalWritesAreDetected() {
		boolean found = false;
		for (long seed = 0; seed < UNCONDITIONAL_RUNS && !found; seed++) {
			Simulation run = new Simulation(seed, false);
			run.execute();
			found = run.violations.stream().anyMatch((violation) -> violation.startsWith("invariant 13"));
		}
		assertThat(found).isTrue();
	}

	private static final class Simulation {

		private final Random random;

		private final FaultyStore store;

		private final IdempotencyRecords[] hosts;

		private final Map<Integer, Integer> executions = new HashMap<>();

		private final List<String> violations = new ArrayList<>();

		private int races;

		private int kills;

		private int refusals;

		private Simulation(long seed, boolean conditional) {
			this.random = new Random(seed);
			this.store = new FaultyStore(this.random, conditional);
			this.hosts = new IdempotencyRecords[] { IdempotencyRecords.of(this.store, Counters.create()),
					IdempotencyRecords.of(this.store, Counters.create()) };
		}

		private void execute() {
			for (int event = 0; event < EVENTS_PER_RUN; event++) {
				int kind = this.random.nextInt(10);
				if (kind == 0) {
					this.store.down = !this.store.down;
				}
				else if (kind == 1) {
					this.store.applyDelayedWrites();
				}
				else {
					call(this.random.nextInt(KEYS), 0);
				}
			}
		}

		private void call(int key, int depth) {
			int before = this.executions.getOrDefault(key, 0);
			boolean[] executed = new boolean[1];
			IdempotencyRecords host = this.hosts[this.random.nextInt(this.hosts.length)];
			IdempotencyRecords.Call call = new IdempotencyRecords.Call("idempotency/w/" + key, "request-" + key);
			try {
				Either<Refusal, PlainResponse> answer = host.executeOnce(call, () -> send(key, depth, executed));
				if (answer.isLeft() && answer.getLeft().executionState() == ExecutionState.NO) {
					this.refusals++;
					if (executed[0]) {
						this.violations.add("invariant 12: call " + key + " ran and was refused as not run");
					}
				}
			}
			catch (HostKilled ex) {
				this.kills++;
			}
			if (this.executions.getOrDefault(key, 0) > 1) {
				this.violations.add("invariant 13: request " + key + " ran " + this.executions.get(key)
						+ " times, before " + before);
			}
		}

		private Either<Refusal, PlainResponse> send(int key, int depth, boolean[] executed) {
			if (depth < 2 && this.random.nextInt(3) == 0) {
				this.races++;
				call(key, depth + 1);
			}
			int kind = this.random.nextInt(6);
			if (kind == 0) {
				return Either.left(Refusal.notExecuted(RefusalReason.NO_ENDPOINT, "none"));
			}
			if (kind == 1) {
				throw new HostKilled();
			}
			executed[0] = true;
			this.executions.merge(key, 1, Integer::sum);
			if (kind == 2) {
				throw new HostKilled();
			}
			if (kind == 3) {
				return Either.left(Refusal.executionUnknown(RefusalReason.ENDPOINT_FAILED, "cut"));
			}
			return Either.right(new PlainResponse(200, List.of(), new byte[] { 1 }, false));
		}

	}

	private static final class HostKilled extends RuntimeException {

	}

	/** Store that loses responses, delays writes and is intermittently unavailable. */
	private static final class FaultyStore implements ObjectStore {

		private final Random random;

		private final boolean conditional;

		private final Map<String, StoredObject> objects = new HashMap<>();

		private final List<Runnable> delayedWrites = new ArrayList<>();

		private long revision;

		private boolean down;

		private FaultyStore(Random random, boolean conditional) {
			this.random = random;
			this.conditional = conditional;
		}

		private void applyDelayedWrites() {
			List<Runnable> due = new ArrayList<>(this.delayedWrites);
			this.delayedWrites.clear();
			due.forEach(Runnable::run);
		}

		@Override
		public Either<StoreFailure, Option<StoredObject>> read(String key) {
			return (this.down || this.random.nextInt(12) == 0) ? Either.left(new StoreFailure.Unavailable("down"))
					: Either.right(Option.of(this.objects.get(key)));
		}

		@Override
		public Either<StoreFailure, Long> create(String key, byte[] body) {
			return write(key, body, 0);
		}

		@Override
		public Either<StoreFailure, Long> replace(String key, byte[] body, long expectedVersion) {
			return write(key, body, expectedVersion);
		}

		@Override
		public Either<StoreFailure, Long> delete(String key, long expectedVersion) {
			return write(key, null, expectedVersion);
		}

		@Override
		public Either<StoreFailure, List<Entry>> list(String prefix) {
			throw new UnsupportedOperationException("list is not used: " + prefix);
		}

		private Either<StoreFailure, Long> write(String key, byte[] body, long expected) {
			if (this.down) {
				return Either.left(new StoreFailure.Unavailable("down"));
			}
			int kind = this.random.nextInt(8);
			if (kind == 0) {
				this.delayedWrites.add(() -> apply(key, body, expected));
				return Either.left(new StoreFailure.OutcomeUnknown("no answer"));
			}
			Either<StoreFailure, Long> result = apply(key, body, expected);
			return (kind == 1) ? Either.left(new StoreFailure.OutcomeUnknown("answer lost")) : result;
		}

		private Either<StoreFailure, Long> apply(String key, byte[] body, long expected) {
			StoredObject present = this.objects.get(key);
			if (this.conditional && ((present != null) ? present.version() : 0) != expected) {
				return Either.left(new StoreFailure.ConditionFailed(key));
			}
			this.revision++;
			if (body == null) {
				this.objects.remove(key);
			}
			else {
				this.objects.put(key, new StoredObject(key, this.revision, body));
			}
			return Either.right(this.revision);
		}

	}

}
