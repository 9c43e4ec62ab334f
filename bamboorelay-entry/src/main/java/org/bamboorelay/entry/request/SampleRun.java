package org.bamboorelay.entry.request;

import io.vavr.control.Either;
import org.bamboorelay.core.request.SampleLabel;
import org.bamboorelay.entry.connection.EngineClient.EngineEvent;
import org.jspecify.annotations.Nullable;

/**
 * Text and label of one attempt at a sample.
 * <p>
 * Thread-safe.
 */
final class SampleRun {

	private final StringBuilder text = new StringBuilder();

	private SampleLabel label;

	private SampleLabel.@Nullable BadLabel badLabel;

	private @Nullable Runnable abort;

	private boolean cancelled;

	SampleRun(SampleLabel label, String text) {
		this.label = label;
		this.text.append(text);
	}

	/**
	 * Starts an attempt with the text and label that this one has so far.
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

	synchronized boolean isBad() {
		return this.badLabel != null;
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
	 * Notes how the stream is ended, and ends it where the run was cancelled before.
	 * @param task ends the stream from any thread
	 */
	synchronized void opened(Runnable task) {
		this.abort = task;
		if (this.cancelled) {
			task.run();
		}
	}

	/**
	 * Adds an event of the stream.
	 * @param event the event
	 * @return false where the stream must be cancelled
	 */
	synchronized boolean add(EngineEvent event) {
		if (this.cancelled) {
			return false;
		}
		if (event.tokens() == 0 && event.text().isEmpty()) {
			return true;
		}
		Either<SampleLabel.BadLabel, SampleLabel> longer = this.label.plus(event.weightVersion(), event.tokens());
		if (longer.isLeft()) {
			this.badLabel = longer.getLeft();
			return false;
		}
		this.label = longer.get();
		this.text.append(event.text());
		return true;
	}

}
