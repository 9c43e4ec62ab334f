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
 * Asks the running host of a step for a batch. The question is acknowledged at once and
 * worked on by an executor, so that the reading thread of the link never waits for the
 * object API; the answer is a message of its own in the other direction.
 * <p>
 * Thread-safe.
 */
final class BatchExchange {

	/** The longest wait for an acknowledgement, in milliseconds. */
	private static final long ACK_MILLIS = 2_000;

	/**
	 * The longest wait for an answer, in milliseconds. The answer can take several calls
	 * on a slow object API.
	 */
	private static final long ANSWER_MILLIS = 10_000;

	private final PeerMesh mesh;

	private final Executor work;

	private final Map<String, CompletableFuture<BatchReply>> asked = new ConcurrentHashMap<>();

	BatchExchange(PeerMesh mesh, Executor work, Function<Question, BatchReply> answerer) {
		this.mesh = mesh;
		this.work = work;
		mesh.register(PeerMessage.BatchFetch.class, (fetch) -> accept(fetch, answerer));
		mesh.register(PeerMessage.BatchAnswer.class, this::accept);
	}

	Either<PeerFailure, BatchReply> ask(HostId host, String ticket, Question question) {
		CompletableFuture<BatchReply> reply = new CompletableFuture<>();
		this.asked.put(ticket, reply);
		try {
			Either<PeerFailure, PeerMessage> ack = this.mesh.call(host,
					new PeerMessage.BatchFetch(ticket, this.mesh.self(), Json.bytes(question)), ACK_MILLIS);
			if (ack.isLeft()) {
				return Either.left(ack.getLeft());
			}
			return Either.right(reply.get(ANSWER_MILLIS, TimeUnit.MILLISECONDS));
		}
		catch (TimeoutException | ExecutionException ex) {
			return Either.left(new PeerFailure.NoAnswer(host + " did not answer within " + ANSWER_MILLIS + " ms"));
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
			return Either.left(new PeerFailure.NoAnswer("interrupted while waiting for " + host));
		}
		finally {
			this.asked.remove(ticket);
		}
	}

	private PeerMessage accept(PeerMessage.BatchFetch fetch, Function<Question, BatchReply> answerer) {
		Either<?, Question> question = Json.read(fetch.body(), Question.class);
		if (question.isLeft()) {
			return new PeerMessage.Rejected("bad-json", "the question of ticket " + fetch.ticket() + " is not valid");
		}
		try {
			this.work.execute(() -> {
				BatchReply reply = answerer.apply(question.get());
				this.mesh.call(fetch.asker(),
						new PeerMessage.BatchAnswer(fetch.ticket(), reply.status(), Json.bytes(reply)), ACK_MILLIS);
			});
		}
		catch (RejectedExecutionException ex) {
			return new PeerMessage.Rejected("overloaded", "too many fetches of batches are waiting");
		}
		return new PeerMessage.Ack(true);
	}

	private PeerMessage accept(PeerMessage.BatchAnswer answer) {
		CompletableFuture<BatchReply> waiting = this.asked.get(answer.ticket());
		Either<?, BatchReply> reply = Json.read(answer.body(), BatchReply.class);
		if (waiting != null && reply.isRight()) {
			waiting.complete(reply.get());
		}
		return new PeerMessage.Ack(true);
	}

	/**
	 * A fetch of a batch.
	 *
	 * @param trainer the trainer
	 * @param step the step
	 * @param workspace the workspace of the caller's key
	 * @param seq the batch
	 * @param max the most samples
	 * @param trainerVersion the trainer's newest version, as it says
	 * @param lostBefore whether the trainer gives up the batch before
	 */
	record Question(TrainerId trainer, long step, WorkspaceId workspace, long seq, int max, long trainerVersion,
			boolean lostBefore) {
	}

}
