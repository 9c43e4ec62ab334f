package org.bamboorelay.entry.request;

import java.nio.charset.StandardCharsets;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

import io.vavr.control.Either;
import io.vavr.control.Option;
import org.bamboorelay.core.failure.ExecutionState;
import org.bamboorelay.core.failure.Refusal;
import org.bamboorelay.core.failure.RefusalReason;
import org.bamboorelay.core.store.ObjectStore;
import org.bamboorelay.core.store.StoreFailure;
import org.bamboorelay.core.store.StoredObject;
import org.bamboorelay.core.version.WorkspaceId;
import org.bamboorelay.runtime.process.Counters;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Guards against a request that is executed twice, such as a payment, or that is refused
 * as not executed although it was.
 */
class IdempotencyRecordsTests {

	private final FaultInjectingStore store = new FaultInjectingStore();

	private final IdempotencyRecords firstHost = IdempotencyRecords.of(this.store, Counters.create());

	private final IdempotencyRecords secondHost = IdempotencyRecords.of(this.store, Counters.create());

	private int sent;

	@Test
	void reusedKeyReplaysResponseOnAnyHost() {
		assertThat(this.firstHost.executeOnce(call("{}"), () -> respond("receipt 7")).get().replayed()).isFalse();
		PlainResponse replayed = this.secondHost.executeOnce(call("{}"), () -> respond("receipt 8")).get();
		assertThat(replayed.replayed()).isTrue();
		assertThat(new String(replayed.body(), StandardCharsets.UTF_8)).isEqualTo("receipt 7");
		assertThat(this.sent).isEqualTo(1);
	}

	@Test
	void reusedKeyOfCallWithUnknownOutcomeIsRefusedAsUnknown() {
		this.firstHost.executeOnce(call("{}"),
				() -> Either.left(Refusal.executionUnknown(RefusalReason.ENDPOINT_FAILED, "cut")));
		Refusal refusal = this.secondHost.executeOnce(call("{}"), () -> respond("again")).getLeft();
		assertThat(refusal.reason()).isEqualTo(RefusalReason.IDEMPOTENCY_KEY_USED);
		assertThat(refusal.executionState()).isEqualTo(ExecutionState.UNKNOWN);
		assertThat(this.sent).isZero();
	}

	@Test
	void keyOfUnexecutedRequestCanBeReused() {
		this.firstHost.executeOnce(call("{}"),
				() -> Either.left(Refusal.notExecuted(RefusalReason.NO_ENDPOINT, "none")));
		assertThat(this.secondHost.executeOnce(call("{}"), () -> respond("receipt")).isRight()).isTrue();
	}

	@Test
	void keyOfDifferentRequestIsRefused() {
		this.firstHost.executeOnce(call("{}"), () -> respond("receipt"));
		Refusal refusal = this.firstHost.executeOnce(call("{\"other\":1}"), () -> respond("again")).getLeft();
		assertThat(refusal.executionState()).isEqualTo(ExecutionState.NO);
		assertThat(this.sent).isEqualTo(1);
	}

	@Test
	void lostStoreResponseIsResolvedByToken() {
		this.store.faults.add("lost-after");
		assertThat(this.firstHost.executeOnce(call("{}"), () -> respond("receipt")).isRight()).isTrue();
		assertThat(this.secondHost.executeOnce(call("{}"), () -> respond("again")).get().replayed()).isTrue();
		assertThat(this.sent).isEqualTo(1);
	}

	@Test
	void lostStoreRequestIsRetried() {
		this.store.faults.add("lost-before");
		assertThat(this.firstHost.executeOnce(call("{}"), () -> respond("receipt")).isRight()).isTrue();
		assertThat(this.sent).isEqualTo(1);
	}

	@Test
	void unavailableStorePreventsSending() {
		this.store.faults.add("down");
		Refusal refusal = this.firstHost.executeOnce(call("{}"), () -> respond("receipt")).getLeft();
		assertThat(refusal.reason()).isEqualTo(RefusalReason.STORE_UNAVAILABLE);
		assertThat(refusal.executionState()).isEqualTo(ExecutionState.NO);
		assertThat(this.sent).isZero();
	}

	@Test
	void oversizedResponseIsNotReplayed() {
		this.firstHost.executeOnce(call("{}"), () -> respond("a".repeat(IdempotencyRecords.MAX_BODY_BYTES + 1)));
		assertThat(this.secondHost.executeOnce(call("{}"), () -> respond("again")).getLeft().executionState())
			.isEqualTo(ExecutionState.UNKNOWN);
		assertThat(this.sent).isEqualTo(1);
	}

	private Either<Refusal, PlainResponse> respond(String body) {
		this.sent++;
		return Either.right(new PlainResponse(201, List.of(Map.entry("Content-Type", "text/plain")),
				body.getBytes(StandardCharsets.UTF_8), false));
	}

	private static IdempotencyRecords.Call call(String body) {
		return IdempotencyRecords.Call.of(WorkspaceId.of("norte"), "pago-7",
				new CallerRequest("request-1", "POST", "/services/cuotas-app/dues", null, Map.of(),
						body.getBytes(StandardCharsets.UTF_8), WorkspaceId.of("norte"), () -> true));
	}

	/**
	 * In-memory store whose next creations fail with the queued faults.
	 */
	private static final class FaultInjectingStore implements ObjectStore {

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
