package org.bamboorelay.standins.process;

/**
 * An event of a completion stream.
 * <p>
 * Immutable and thread-safe.
 *
 * @param index index of the event in its stream, from 0
 * @param text the generated text
 * @param tokens number of tokens in the text
 * @param weightVersion the weights that generated the text, as {@code line@number}
 * @param finish {@code stop}, {@code length} or {@code cancelled} in the last event,
 * {@link #DROPPED} if the stream was aborted, otherwise empty
 */
public record GenerationEvent(int index, String text, int tokens, String weightVersion, String finish) {

	/** Finish of a stream that is aborted without a final event on the wire. */
	public static final String DROPPED = "dropped";

	/**
	 * Tells whether the stream ends with this event.
	 * @return whether this is the last event
	 */
	public boolean isLast() {
		return !this.finish.isEmpty();
	}

}
