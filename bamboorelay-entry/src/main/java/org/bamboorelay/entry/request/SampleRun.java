package org.bamboorelay.entry.request;

import io.vavr.control.Either;
import org.bamboorelay.core.request.SampleLabel;
import org.bamboorelay.entry.connection.EngineClient.EngineEvent;
import org.jspecify.annotations.Nullable;

/**
 * The text generated so far by one attempt at a sample, and its weight version label.
 * <p>
 * Thread-safe.
 */
final class SampleRun {

	private final StringBuilder text = new StringBuilder();

	private SampleLabel label;

	private SampleLabel.@Nullable BadLabel invalidLabel;

	private @Nullable Runnable abort;

	private boolean cancelled;

	SampleRun(SampleLabel label, String text) {
		this.label = label;
		this.text.append(text);
	}

	/**
	 * Creates an attempt that continues from the text and label of this one.
	 * @return the new attempt
	 */
	synchronized SampleRun resume() {
		return new SampleRun(this.label.withNewStream(), this.text.toString());
	}

	synchronized String text() {
		return this.text.toString();
	}

	synchronized SampleLabel label() {
		return this.label;
	}

	synchronized boolean hasInvalidLabel() {
		return this.invalidLabel != null;
	}

	synchronized boolean isCancelled() {
		return this.cancelled;
	}

	synchronized void cancel() {
		this.cancelled = true;
		if (this.abort != null) {
			this.abort.run();
		}
	}

	/**
	 * Registers the abort task of the stream, and runs it if this attempt is already
	 * cancelled.
	 * @param abortTask aborts the stream; may be called on any thread
	 */
	synchronized void onOpened(Runnable abortTask) {
		this.abort = abortTask;
		if (this.cancelled) {
			abortTask.run();
		}
	}

	/**
	 * Appends an event of the stream.
	 * @param event the event
	 * @return false if the stream must be cancelled
	 */
	synchronized boolean appendEvent(EngineEvent event) {
		if (this.cancelled) {
			return false;
		}
		if (event.tokens() == 0 && event.text().isEmpty()) {
			return true;
		}
		Either<SampleLabel.BadLabel, SampleLabel> extended = this.label.withEvent(event.weightVersion(),
				event.tokens());
		if (extended.isLeft()) {
			this.invalidLabel = extended.getLeft();
			return false;
		}
		this.label = extended.get();
		this.text.append(event.text());
		return true;
	}

}
