package org.bamboorelay.core.request;

import java.util.ArrayList;
import java.util.List;
import java.util.Objects;

import io.vavr.control.Either;
import org.bamboorelay.core.failure.Failure;
import org.bamboorelay.core.version.LineId;
import org.bamboorelay.core.version.WeightVersion;
import org.jspecify.annotations.Nullable;

/**
 * The weight versions that generated a sample, as spans of tokens. A label is built from
 * the events of streams only, never from weight heads or load reports, because a swap can
 * fail or happen in mid-stream.
 * <p>
 * Immutable and thread-safe.
 */
public final class SampleLabel {

	private final LineId line;

	private final List<Span> spans;

	/** Lowest version that the present stream may still report. */
	private final long streamFloor;

	private SampleLabel(LineId line, List<Span> spans, long streamFloor) {
		this.line = line;
		this.spans = List.copyOf(spans);
		this.streamFloor = streamFloor;
	}

	/**
	 * Creates the label of a sample without tokens.
	 * @param line the line of weights that the sample must come from
	 * @return the label
	 */
	public static SampleLabel of(LineId line) {
		return new SampleLabel(Objects.requireNonNull(line, "line"), List.of(), 0);
	}

	/**
	 * Returns the spans in the order of their tokens; neighbours differ in version.
	 * @return the spans
	 */
	public List<Span> spans() {
		return this.spans;
	}

	/**
	 * Returns the tokens of all spans.
	 * @return the number of tokens
	 */
	public long tokens() {
		return this.spans.stream().mapToLong(Span::tokens).sum();
	}

	/**
	 * Returns the lowest version of any span.
	 * @return the number of the version; {@link Long#MAX_VALUE} where there are no spans
	 */
	public long oldest() {
		return this.spans.stream().mapToLong((span) -> span.weightVersion().number()).min().orElse(Long.MAX_VALUE);
	}

	/**
	 * Returns the label with which another engine continues the sample. Its versions may
	 * be lower than those of the engine before.
	 * @return the label at the start of a new stream
	 */
	public SampleLabel withNewStream() {
		return new SampleLabel(this.line, this.spans, 0);
	}

	/**
	 * Adds the tokens of one event.
	 * @param version what the engine says; null where it says nothing
	 * @param tokens tokens of the event, not negative
	 * @return the longer label, or why the sample must be discarded
	 */
	public Either<BadLabel, SampleLabel> plus(@Nullable WeightVersion version, long tokens) {
		if (tokens < 0) {
			return Either.left(new BadLabel("an event has " + tokens + " tokens"));
		}
		if (version == null) {
			return Either.left(new BadLabel("an event names no weight version"));
		}
		if (!version.line().equals(this.line)) {
			return Either.left(new BadLabel("an event names " + version + " instead of line " + this.line));
		}
		if (version.number() < this.streamFloor) {
			return Either.left(new BadLabel(
					"the weight version went back from " + this.streamFloor + " to " + version + " within a stream"));
		}
		if (tokens == 0) {
			return Either.right(new SampleLabel(this.line, this.spans, version.number()));
		}
		List<Span> longer = new ArrayList<>(this.spans);
		int last = longer.size() - 1;
		if (last >= 0 && longer.get(last).weightVersion().equals(version)) {
			longer.set(last, new Span(version, longer.get(last).tokens() + tokens));
		}
		else {
			longer.add(new Span(version, tokens));
		}
		return Either.right(new SampleLabel(this.line, longer, version.number()));
	}

	/**
	 * Consecutive tokens from one weight version.
	 *
	 * @param weightVersion the version
	 * @param tokens the number of tokens, positive
	 */
	public record Span(WeightVersion weightVersion, long tokens) {

		public Span {
			Objects.requireNonNull(weightVersion, "weightVersion");
			if (tokens <= 0) {
				throw new IllegalArgumentException("tokens must be positive: " + tokens);
			}
		}

	}

	/**
	 * A stream whose label is missing or cannot be true.
	 *
	 * @param detail a sentence for people
	 */
	public record BadLabel(String detail) implements Failure {

		@Override
		public String code() {
			return "bad-label";
		}

	}

}
