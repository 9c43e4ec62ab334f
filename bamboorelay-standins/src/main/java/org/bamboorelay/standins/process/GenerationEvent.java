package org.bamboorelay.standins.process;

/**
 * An event of a stream.
 * <p>
 * Immutable and thread-safe.
 *
 * @param index number of the event in its stream, from 0
 * @param text the generated text
 * @param tokens tokens in the text
 * @param weightVersion the weights that generated it, as {@code line@number}
 * @param finish {@code stop}, {@code length} or {@code cancelled} in the last event,
 * {@link #DROPPED} where the stream is cut, and else empty
 */
public record GenerationEvent(int index, String text, int tokens, String weightVersion, String finish) {

	/** Finish of a stream that ends without a last event. */
	public static final String DROPPED = "dropped";

	/**
	 * Tells whether nothing follows.
	 * @return whether this is the last event
	 */
	public boolean isLast() {
		return !this.finish.isEmpty();
	}

}
