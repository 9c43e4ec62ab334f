package org.bamboorelay.entry.request;

import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.Base64;
import java.util.HexFormat;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.TreeMap;
import java.util.UUID;
import java.util.function.Supplier;

import io.vavr.control.Either;
import io.vavr.control.Option;
import org.bamboorelay.core.failure.ExecutionState;
import org.bamboorelay.core.failure.Refusal;
import org.bamboorelay.core.failure.RefusalReason;
import org.bamboorelay.core.failure.RetryReason;
import org.bamboorelay.core.store.ObjectStore;
import org.bamboorelay.core.store.StoreFailure;
import org.bamboorelay.core.store.StoredObject;
import org.bamboorelay.core.version.WorkspaceId;
import org.bamboorelay.runtime.process.Counters;
import org.bamboorelay.runtime.request.Json;
import org.jspecify.annotations.Nullable;

/**
 * Records of used idempotency keys in the object API. A record is created before the
 * request is sent and completed with the response, so that every entry host can replay
 * the response and none sends the request twice.
 * <p>
 * Thread-safe.
 */
public final class IdempotencyRecords {

	/** Maximum size of a recorded response body, in bytes. */
	public static final int MAX_BODY_BYTES = 65_536;

	private static final String KEY_PREFIX = "idempotency/";

	private static final int MAX_STORE_ATTEMPTS = 3;

	private static final long RETRY_DELAY_MILLIS = 2_000;

	private final ObjectStore store;

	private final Counters counters;

	private IdempotencyRecords(ObjectStore store, Counters counters) {
		this.store = Objects.requireNonNull(store, "store");
		this.counters = Objects.requireNonNull(counters, "counters");
	}

	/**
	 * Creates the records.
	 * @param store the object API
	 * @param counters the process's metrics
	 * @return the records
	 */
	public static IdempotencyRecords of(ObjectStore store, Counters counters) {
		return new IdempotencyRecords(store, counters);
	}

	/**
	 * Executes a request unless its idempotency key was used before.
	 * @param call the key and the request
	 * @param execution sends the request
	 * @return the response, which is the recorded one if the key was used before, or the
	 * refusal
	 */
	public Either<Refusal, PlainResponse> executeOnce(Call call, Supplier<Either<Refusal, PlainResponse>> execution) {
		String token = UUID.randomUUID().toString();
		Claim claim = claim(call, token);
		if (claim.existing() != null) {
			return replay(call, claim.existing());
		}
		if (claim.version() == 0) {
			return Either.left(Refusal
				.notExecuted(RefusalReason.STORE_UNAVAILABLE,
						"the idempotency key could not be recorded in the object API")
				.withRetryAfter(RETRY_DELAY_MILLIS));
		}
		Either<Refusal, PlainResponse> answer = execution.get();
		if (answer.isRight()) {
			complete(call, token, claim.version(), answer.get());
		}
		else if (answer.getLeft().executionState() == ExecutionState.NO) {
			// The request was not executed, so the caller may reuse the key. If the
			// deletion fails, reuse of the key is refused, which is safe.
			this.store.delete(call.objectKey(), claim.version());
		}
		return answer;
	}

	private Claim claim(Call call, String token) {
		byte[] body = Json.bytes(new StoredCall(token, call.fingerprint(), 0, Map.of(), ""));
		for (int attempt = 0; attempt < MAX_STORE_ATTEMPTS; attempt++) {
			Either<StoreFailure, Long> created = this.store.create(call.objectKey(), body);
			if (created.isRight() && created.get() > 0) {
				return new Claim(created.get(), null);
			}
			if (created.isLeft() && created.getLeft() instanceof StoreFailure.Unavailable && attempt == 0) {
				return Claim.NONE;
			}
			// The response may have been lost after the write took effect; the record
			// then contains the token of this call.
			Either<StoreFailure, Option<StoredObject>> found = this.store.read(call.objectKey());
			if (found.isRight() && found.get().isDefined()) {
				StoredObject object = found.get().get();
				StoredCall stored = Json.read(object.body(), StoredCall.class).getOrNull();
				if (stored == null) {
					return Claim.NONE;
				}
				return token.equals(stored.token()) ? new Claim(object.version(), null) : new Claim(0, stored);
			}
			this.counters.retry(RetryReason.STORE_UNAVAILABLE).inc();
		}
		return Claim.NONE;
	}

	private void complete(Call call, String token, long version, PlainResponse answer) {
		if (answer.body().length > MAX_BODY_BYTES) {
			this.counters.counter("idempotency_answers_too_large_total").inc();
			return;
		}
		Map<String, String> headers = new TreeMap<>();
		answer.headers().forEach((header) -> headers.put(header.getKey(), header.getValue()));
		byte[] body = Json.bytes(new StoredCall(token, call.fingerprint(), answer.status(), headers,
				Base64.getEncoder().encodeToString(answer.body())));
		for (int attempt = 0; attempt < MAX_STORE_ATTEMPTS; attempt++) {
			Either<StoreFailure, Long> replaced = this.store.replace(call.objectKey(), body, version);
			if (replaced.isRight() || replaced.getLeft() instanceof StoreFailure.ConditionFailed) {
				return;
			}
			this.counters.retry(RetryReason.STORE_UNAVAILABLE).inc();
		}
		this.counters.counter("idempotency_outcomes_unrecorded_total").inc();
	}

	private static Either<Refusal, PlainResponse> replay(Call call, StoredCall stored) {
		if (!call.fingerprint().equals(stored.request())) {
			return Either.left(Refusal.notExecuted(RefusalReason.IDEMPOTENCY_KEY_USED,
					"the idempotency key was used for a different request"));
		}
		if (stored.status() == 0) {
			return Either.left(Refusal.executionUnknown(RefusalReason.IDEMPOTENCY_KEY_USED,
					"the idempotency key was used by a call whose outcome is unknown"));
		}
		return Either.right(new PlainResponse(stored.status(), List.copyOf(stored.headers().entrySet()),
				Base64.getDecoder().decode(stored.body()), true));
	}

	/**
	 * One use of an idempotency key.
	 *
	 * @param objectKey the key of the record in the object API
	 * @param fingerprint SHA-256 of method, path, query and body
	 */
	public record Call(String objectKey, String fingerprint) {

		static Call of(WorkspaceId workspace, String key, CallerRequest request) {
			String head = request.method() + " " + request.path() + "?" + request.query() + "\n";
			return new Call(KEY_PREFIX + workspace + "/" + sha256(key.getBytes(StandardCharsets.UTF_8), new byte[0]),
					sha256(head.getBytes(StandardCharsets.UTF_8), request.body()));
		}

		private static String sha256(byte[] first, byte[] second) {
			try {
				MessageDigest digest = MessageDigest.getInstance("SHA-256");
				digest.update(first);
				return HexFormat.of().formatHex(digest.digest(second));
			}
			catch (NoSuchAlgorithmException ex) {
				throw new IllegalStateException("SHA-256 is not available in this JDK", ex);
			}
		}

	}

	/**
	 * The stored value of a record.
	 *
	 * @param token the unique token of the call that created the record
	 * @param request the fingerprint of that call
	 * @param status the HTTP status of its response; 0 while it is unknown
	 * @param headers the headers of its response
	 * @param body the body of its response, encoded in Base64
	 */
	record StoredCall(String token, String request, int status, Map<String, String> headers, String body) {
	}

	private record Claim(long version, @Nullable StoredCall existing) {

		private static final Claim NONE = new Claim(0, null);

	}

}
