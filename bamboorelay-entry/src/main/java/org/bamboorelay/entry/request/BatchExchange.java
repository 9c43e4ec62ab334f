package org.bamboorelay.entry.request;

import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.Executor;
import java.util.concurrent.RejectedExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import java.util.function.Function;

import io.vavr.control.Either;
import org.bamboorelay.core.connection.PeerMessage;
import org.bamboorelay.core.version.HostId;
import org.bamboorelay.core.version.TrainerId;
import org.bamboorelay.core.version.WorkspaceId;
import org.bamboorelay.entry.connection.PeerMesh;
import org.bamboorelay.runtime.connection.PeerFailure;
import org.bamboorelay.runtime.request.Json;

/**
 * Fetches batches from the host that runs a step. A query is acknowledged at once and
 * processed by an executor, so that the reader thread of the link never waits for the
 * object API. The reply is a separate message in the other direction.
 * <p>
 * Thread-safe.
 */
final class BatchExchange {

	/** Timeout of an acknowledgement, in milliseconds. */
	private static final long ACK_TIMEOUT_MILLIS = 2_000;

	/**
	 * Timeout of a reply, in milliseconds. Preparing the reply can take several calls of
	 * a slow object API.
	 */
	private static final long REPLY_TIMEOUT_MILLIS = 10_000;

	private final PeerMesh mesh;

	private final Executor executor;

	private final Map<String, CompletableFuture<BatchReply>> pendingRequests = new ConcurrentHashMap<>();

	BatchExchange(PeerMesh mesh, Executor executor, Function<BatchQuery, BatchReply> handler) {
		this.mesh = mesh;
		this.executor = executor;
		mesh.register(PeerMessage.BatchRequest.class, (fetch) -> onMessage(fetch, handler));
		mesh.register(PeerMessage.BatchResponse.class, this::onMessage);
	}

	Either<PeerFailure, BatchReply> fetchFrom(HostId host, String requestId, BatchQuery query) {
		CompletableFuture<BatchReply> reply = new CompletableFuture<>();
		this.pendingRequests.put(requestId, reply);
		try {
			Either<PeerFailure, PeerMessage> ack = this.mesh.call(host,
					new PeerMessage.BatchRequest(requestId, this.mesh.self(), Json.bytes(query)), ACK_TIMEOUT_MILLIS);
			if (ack.isLeft()) {
				return Either.left(ack.getLeft());
			}
			return Either.right(reply.get(REPLY_TIMEOUT_MILLIS, TimeUnit.MILLISECONDS));
		}
		catch (TimeoutException | ExecutionException ex) {
			return Either
				.left(new PeerFailure.NoResponse(host + " sent no batch reply within " + REPLY_TIMEOUT_MILLIS + " ms"));
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
			return Either.left(new PeerFailure.NoResponse("interrupted while waiting for a batch reply from " + host));
		}
		finally {
			this.pendingRequests.remove(requestId);
		}
	}

	private PeerMessage onMessage(PeerMessage.BatchRequest fetch, Function<BatchQuery, BatchReply> handler) {
		Either<?, BatchQuery> query = Json.read(fetch.body(), BatchQuery.class);
		if (query.isLeft()) {
			return new PeerMessage.Rejected("bad-json",
					"the query of batch request " + fetch.requestId() + " is not valid");
		}
		try {
			this.executor.execute(() -> {
				BatchReply reply = handler.apply(query.get());
				this.mesh.call(fetch.requestingHost(),
						new PeerMessage.BatchResponse(fetch.requestId(), reply.status(), Json.bytes(reply)),
						ACK_TIMEOUT_MILLIS);
			});
		}
		catch (RejectedExecutionException ex) {
			return new PeerMessage.Rejected("overloaded", "the queue of batch fetches is full");
		}
		return new PeerMessage.Ack(true);
	}

	private PeerMessage onMessage(PeerMessage.BatchResponse answer) {
		CompletableFuture<BatchReply> pending = this.pendingRequests.get(answer.requestId());
		Either<?, BatchReply> reply = Json.read(answer.body(), BatchReply.class);
		if (pending != null && reply.isRight()) {
			pending.complete(reply.get());
		}
		return new PeerMessage.Ack(true);
	}

	/**
	 * A query for one batch.
	 *
	 * @param trainer the trainer
	 * @param step the step
	 * @param workspace the workspace of the caller's key
	 * @param seq the sequence number of the batch
	 * @param max the maximum number of samples
	 * @param trainerVersion the newest weight version as reported by the trainer
	 * @param lostBefore whether the trainer reports the preceding batch as lost
	 */
	record BatchQuery(TrainerId trainer, long step, WorkspaceId workspace, long seq, int max, long trainerVersion,
			boolean lostBefore) {
	}

}
