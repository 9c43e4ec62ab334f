package org.bamboorelay.entry.request;

import java.nio.charset.StandardCharsets;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

import io.vavr.control.Either;
import io.vavr.control.Option;
import org.bamboorelay.core.failure.Refusal;
import org.bamboorelay.core.failure.RefusalReason;
import org.bamboorelay.core.failure.RunState;
import org.bamboorelay.core.store.ObjectStore;
import org.bamboorelay.core.store.StoreFailure;
import org.bamboorelay.core.store.StoredObject;
import org.bamboorelay.core.version.WorkspaceId;
import org.bamboorelay.runtime.process.Counters;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Guards against a payment that is confirmed twice, or refused as not run although it
 * ran.
 */
class IdempotencyRecordsTests {

	private final MemoryStore store = new MemoryStore();

	private final IdempotencyRecords here = IdempotencyRecords.of(this.store, Counters.create());

	private final IdempotencyRecords elsewhere = IdempotencyRecords.of(this.store, Counters.create());

	private int sent;

	@Test
	void answerIsReplayedOnAnyHost() {
		assertThat(this.here.once(call("{}"), () -> answer("receipt 7")).get().replayed()).isFalse();
		PlainAnswer replayed = this.elsewhere.once(call("{}"), () -> answer("receipt 8")).get();
		assertThat(replayed.replayed()).isTrue();
		assertThat(new String(replayed.body(), StandardCharsets.UTF_8)).isEqualTo("receipt 7");
		assertThat(this.sent).isEqualTo(1);
	}

	@Test
	void unknownOutcomeStaysUnknown() {
		this.here.once(call("{}"), () -> Either.left(Refusal.runUnknown(RefusalReason.ENDPOINT_FAILED, "cut")));
		Refusal refusal = this.elsewhere.once(call("{}"), () -> answer("again")).getLeft();
		assertThat(refusal.reason()).isEqualTo(RefusalReason.IDEMPOTENCY_KEY_USED);
		assertThat(refusal.run()).isEqualTo(RunState.UNKNOWN);
		assertThat(this.sent).isZero();
	}

	@Test
	void keyOfARequestThatDidNotRunCanBeUsedAgain() {
		this.here.once(call("{}"), () -> Either.left(Refusal.notRun(RefusalReason.NO_ENDPOINT, "none")));
		assertThat(this.elsewhere.once(call("{}"), () -> answer("receipt")).isRight()).isTrue();
	}

	@Test
	void keyOfAnotherRequestIsRefused() {
		this.here.once(call("{}"), () -> answer("receipt"));
		Refusal refusal = this.here.once(call("{\"other\":1}"), () -> answer("again")).getLeft();
		assertThat(refusal.run()).isEqualTo(RunState.NO);
		assertThat(this.sent).isEqualTo(1);
	}

	@Test
	void lostAnswerOfTheStoreIsResolvedByItsToken() {
		this.store.faults.add("lost-after");
		assertThat(this.here.once(call("{}"), () -> answer("receipt")).isRight()).isTrue();
		assertThat(this.elsewhere.once(call("{}"), () -> answer("again")).get().replayed()).isTrue();
		assertThat(this.sent).isEqualTo(1);
	}

	@Test
	void lostRequestToTheStoreIsMadeAgain() {
		this.store.faults.add("lost-before");
		assertThat(this.here.once(call("{}"), () -> answer("receipt")).isRight()).isTrue();
		assertThat(this.sent).isEqualTo(1);
	}

	@Test
	void nothingIsSentWithoutTheStore() {
		this.store.faults.add("down");
		Refusal refusal = this.here.once(call("{}"), () -> answer("receipt")).getLeft();
		assertThat(refusal.reason()).isEqualTo(RefusalReason.STORE_UNAVAILABLE);
		assertThat(refusal.run()).isEqualTo(RunState.NO);
		assertThat(this.sent).isZero();
	}

	@Test
	void largeAnswerIsNotReplayedInPart() {
		this.here.once(call("{}"), () -> answer("a".repeat(IdempotencyRecords.MAX_BODY_BYTES + 1)));
		assertThat(this.elsewhere.once(call("{}"), () -> answer("again")).getLeft().run()).isEqualTo(RunState.UNKNOWN);
		assertThat(this.sent).isEqualTo(1);
	}

	private Either<Refusal, PlainAnswer> answer(String body) {
		this.sent++;
		return Either.right(new PlainAnswer(201, List.of(Map.entry("Content-Type", "text/plain")),
				body.getBytes(StandardCharsets.UTF_8), false));
	}

	private static IdempotencyRecords.Call call(String body) {
		return IdempotencyRecords.Call.of(WorkspaceId.of("norte"), "pago-7",
				new CallerRequest("request-1", "POST", "/services/cuotas-app/dues", null, Map.of(),
						body.getBytes(StandardCharsets.UTF_8), WorkspaceId.of("norte"), () -> true));
	}

	/**
	 * Store whose next creations fail as the list of faults says.
	 */
	private static final class MemoryStore implements ObjectStore {

		private final Map<String, StoredObject> objects = new HashMap<>();

		private final Deque<String> faults = new ArrayDeque<>();

		private long revision;

		@Override
		public Either<StoreFailure, Option<StoredObject>> read(String key) {
			return Either.right(Option.of(this.objects.get(key)));
		}

		@Override
		public Either<StoreFailure, Long> create(String key, byte[] body) {
			String fault = this.faults.isEmpty() ? "" : this.faults.poll();
			if (fault.equals("down")) {
				return Either.left(new StoreFailure.Unavailable("down"));
			}
			if (fault.equals("lost-before")) {
				return Either.left(new StoreFailure.OutcomeUnknown("lost"));
			}
			if (this.objects.containsKey(key)) {
				return Either.left(new StoreFailure.ConditionFailed(key));
			}
			long version = put(key, body);
			return fault.equals("lost-after") ? Either.left(new StoreFailure.OutcomeUnknown("lost"))
					: Either.right(version);
		}

		@Override
		public Either<StoreFailure, Long> replace(String key, byte[] body, long expectedVersion) {
			StoredObject present = this.objects.get(key);
			return (present != null && present.version() == expectedVersion) ? Either.right(put(key, body))
					: Either.left(new StoreFailure.ConditionFailed(key));
		}

		@Override
		public Either<StoreFailure, Long> delete(String key, long expectedVersion) {
			StoredObject present = this.objects.get(key);
			if (present == null || present.version() != expectedVersion) {
				return Either.left(new StoreFailure.ConditionFailed(key));
			}
			this.objects.remove(key);
			return Either.right(++this.revision);
		}

		@Override
		public Either<StoreFailure, List<Entry>> list(String prefix) {
			return Either.right(List.of());
		}

		private long put(String key, byte[] body) {
			this.objects.put(key, new StoredObject(key, ++this.revision, body));
			return this.revision;
		}

	}

}
