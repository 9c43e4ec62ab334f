package org.bamboorelay.entry.request;

import java.util.Objects;

import io.vavr.control.Either;
import io.vavr.control.Option;
import org.bamboorelay.entry.connection.EngineClient.EngineEvent;
import org.bamboorelay.entry.connection.EngineClient.EngineRequest;
import org.bamboorelay.entry.connection.EngineClient.Finish;
import org.bamboorelay.entry.connection.EngineFailure;
import org.bamboorelay.entry.connection.EngineStream;
import org.bamboorelay.entry.connection.HttpEngineClient;
import org.bamboorelay.entry.connection.StreamAbort;
import org.jspecify.annotations.Nullable;

/**
 * One attempt of a request at one engine. It ends its credit exactly once.
 * <p>
 * Used by one thread.
 */
final class EngineAttempt implements AutoCloseable {

	private final HttpEngineClient engines;

	private final RunningStreams running;

	private final Credit credit;

	private final EngineRequest engineRequest;

	private final CallerRequest request;

	private final StreamAbort abort = new StreamAbort();

	private @Nullable EngineStream stream;

	private RunningStreams.@Nullable Running entry;

	private @Nullable Either<EngineFailure, Option<EngineEvent>> first;

	private boolean ended;

	EngineAttempt(HttpEngineClient engines, RunningStreams running, Credit credit, EngineRequest engineRequest,
			CallerRequest request) {
		this.engines = engines;
		this.running = running;
		this.credit = credit;
		this.engineRequest = engineRequest;
		this.request = request;
	}

	Credit credit() {
		return this.credit;
	}

	/**
	 * Opens the stream and waits for its first event.
	 * @return what went wrong, or true
	 */
	Either<EngineFailure, Boolean> start() {
		Either<EngineFailure, EngineStream> opened = this.engines.open(this.credit.address(), this.engineRequest,
				(task) -> {
					this.abort.start(task);
					this.entry = this.running.add(this.abort, this.request.stillAllowed());
				});
		if (opened.isLeft()) {
			this.credit.end((opened.getLeft() instanceof EngineFailure.Refused) ? Credit.Outcome.REFUSED
					: Credit.Outcome.FAILED, 0, 0);
			return Either.left(opened.getLeft());
		}
		this.stream = opened.get();
		this.first = this.stream.next();
		return this.first.map((event) -> true);
	}

	/**
	 * Returns the next event.
	 * @return the event, nothing at the whole end of the stream, or what went wrong
	 */
	Either<EngineFailure, Option<EngineEvent>> next() {
		Either<EngineFailure, Option<EngineEvent>> event = this.first;
		if (event != null) {
			this.first = null;
			return event;
		}
		return opened().next();
	}

	boolean isBuffered() {
		return opened().isBuffered();
	}

	/**
	 * Ends the credit of a whole answer.
	 * @return how the stream ended
	 */
	Finish finish() {
		Finish finish = opened().end();
		endCredit(Credit.Outcome.OK, finish.firstByteMillis(), finish.tokens());
		return finish;
	}

	void cancel(Credit.Outcome outcome) {
		endCredit(outcome, opened().firstByteMillis(), opened().tokens());
		cancelAtEngine();
	}

	void cancelAtEngine() {
		this.engines.cancel(this.credit.address(), this.engineRequest.requestId());
	}

	void fail() {
		endCredit(Credit.Outcome.FAILED, opened().firstByteMillis(), opened().tokens());
	}

	@Override
	public void close() {
		if (this.entry != null) {
			this.running.remove(this.entry);
		}
		this.abort.end();
		if (this.stream != null) {
			this.stream.close();
			fail();
		}
	}

	private void endCredit(Credit.Outcome outcome, long firstByteMillis, long tokens) {
		if (!this.ended) {
			this.ended = true;
			this.credit.end(outcome, firstByteMillis, tokens);
		}
	}

	private EngineStream opened() {
		return Objects.requireNonNull(this.stream, "stream");
	}

}
