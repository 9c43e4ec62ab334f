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
 * One attempt of a request at one engine. Ends its credit exactly once.
 * <p>
 * Not thread-safe.
 */
final class EngineAttempt implements AutoCloseable {

	private final HttpEngineClient engines;

	private final RunningStreams runningStreams;

	private final Credit credit;

	private final EngineRequest engineRequest;

	private final CallerRequest request;

	private final StreamAbort abort = new StreamAbort();

	private @Nullable EngineStream stream;

	private RunningStreams.@Nullable Registration registration;

	private @Nullable Either<EngineFailure, Option<EngineEvent>> firstEvent;

	private boolean creditEnded;

	EngineAttempt(HttpEngineClient engines, RunningStreams running, Credit credit, EngineRequest engineRequest,
			CallerRequest request) {
		this.engines = engines;
		this.runningStreams = running;
		this.credit = credit;
		this.engineRequest = engineRequest;
		this.request = request;
	}

	Credit credit() {
		return this.credit;
	}

	/**
	 * Opens the stream and waits for its first event.
	 * @return the failure, or true
	 */
	Either<EngineFailure, Boolean> start() {
		Either<EngineFailure, EngineStream> opened = this.engines.open(this.credit.address(), this.engineRequest,
				(task) -> {
					this.abort.start(task);
					this.registration = this.runningStreams.add(this.abort, this.request.stillAllowed());
				});
		if (opened.isLeft()) {
			this.credit.end((opened.getLeft() instanceof EngineFailure.Refused) ? Credit.Outcome.REFUSED
					: Credit.Outcome.FAILED, 0, 0);
			return Either.left(opened.getLeft());
		}
		this.stream = opened.get();
		this.firstEvent = this.stream.next();
		return this.firstEvent.map((event) -> true);
	}

	/**
	 * Returns the next event.
	 * @return the event, none at the regular end of the stream, or the failure
	 */
	Either<EngineFailure, Option<EngineEvent>> next() {
		Either<EngineFailure, Option<EngineEvent>> event = this.firstEvent;
		if (event != null) {
			this.firstEvent = null;
			return event;
		}
		return openedStream().next();
	}

	boolean isBuffered() {
		return openedStream().isBuffered();
	}

	/**
	 * Ends the credit of a complete response.
	 * @return how the stream ended
	 */
	Finish finish() {
		Finish finish = openedStream().end();
		endCredit(Credit.Outcome.OK, finish.firstByteMillis(), finish.tokens());
		return finish;
	}

	void cancel(Credit.Outcome outcome) {
		endCredit(outcome, openedStream().firstByteMillis(), openedStream().tokens());
		cancelAtEngine();
	}

	void cancelAtEngine() {
		this.engines.cancel(this.credit.address(), this.engineRequest.requestId());
	}

	void fail() {
		endCredit(Credit.Outcome.FAILED, openedStream().firstByteMillis(), openedStream().tokens());
	}

	@Override
	public void close() {
		if (this.registration != null) {
			this.runningStreams.remove(this.registration);
		}
		this.abort.end();
		if (this.stream != null) {
			this.stream.close();
			fail();
		}
	}

	private void endCredit(Credit.Outcome outcome, long firstByteMillis, long tokens) {
		if (!this.creditEnded) {
			this.creditEnded = true;
			this.credit.end(outcome, firstByteMillis, tokens);
		}
	}

	private EngineStream openedStream() {
		return Objects.requireNonNull(this.stream, "stream");
	}

}
