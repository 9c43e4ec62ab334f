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
 * The weight versions that generated a sample, as spans of tokens. A label is derived
 * only from stream events, never from weight heads or load reports, because a weight swap
 * can fail or occur in the middle of a stream.
 * <p>
 * Immutable and thread-safe.
 */
public final class SampleLabel {

	private final LineId line;

	private final List<Span> spans;

	/** Lowest version that the current stream may still report. */
	private final long minStreamVersion;

	private SampleLabel(LineId line, List<Span> spans, long minStreamVersion) {
		this.line = line;
		this.spans = List.copyOf(spans);
		this.minStreamVersion = minStreamVersion;
	}

	/**
	 * Creates the label of a sample without tokens.
	 * @param line the line of weights that must generate the sample
	 * @return the label
	 */
	public static SampleLabel of(LineId line) {
		return new SampleLabel(Objects.requireNonNull(line, "line"), List.of(), 0);
	}

	/**
	 * Returns the spans in token order. Adjacent spans have different versions.
	 * @return the spans
	 */
	public List<Span> spans() {
		return this.spans;
	}

	/**
	 * Returns the total number of tokens in all spans.
	 * @return the number of tokens
	 */
	public long tokens() {
		return this.spans.stream().mapToLong(Span::tokens).sum();
	}

	/**
	 * Returns the lowest version of all spans.
	 * @return the version number; {@link Long#MAX_VALUE} if there are no spans
	 */
	public long oldestVersion() {
		return this.spans.stream().mapToLong((span) -> span.weightVersion().number()).min().orElse(Long.MAX_VALUE);
	}

	/**
	 * Returns a copy for the continuation of the sample by another engine, which may
	 * report lower versions than the previous one.
	 * @return the label at the start of a new stream
	 */
	public SampleLabel withNewStream() {
		return new SampleLabel(this.line, this.spans, 0);
	}

	/**
	 * Returns this label extended by the tokens of one event.
	 * @param version the version that the engine reported; null if it reported none
	 * @param tokens the number of tokens in the event, not negative
	 * @return the extended label, or the reason why the sample must be discarded
	 */
	public Either<BadLabel, SampleLabel> withEvent(@Nullable WeightVersion version, long tokens) {
		if (tokens < 0) {
			return Either.left(new BadLabel("stream event reports " + tokens + " tokens"));
		}
		if (version == null) {
			return Either.left(new BadLabel("stream event reports no weight version"));
		}
		if (!version.line().equals(this.line)) {
			return Either
				.left(new BadLabel("stream event reports " + version + ", expected a version of line " + this.line));
		}
		if (version.number() < this.minStreamVersion) {
			return Either.left(new BadLabel(
					"weight version decreased from " + this.minStreamVersion + " to " + version + " within a stream"));
		}
		if (tokens == 0) {
			return Either.right(new SampleLabel(this.line, this.spans, version.number()));
		}
		List<Span> extendedSpans = new ArrayList<>(this.spans);
		int last = extendedSpans.size() - 1;
		if (last >= 0 && extendedSpans.get(last).weightVersion().equals(version)) {
			extendedSpans.set(last, new Span(version, extendedSpans.get(last).tokens() + tokens));
		}
		else {
			extendedSpans.add(new Span(version, tokens));
		}
		return Either.right(new SampleLabel(this.line, extendedSpans, version.number()));
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
	 * The label of a stream is missing or impossible.
	 *
	 * @param detail a human-readable description
	 */
	public record BadLabel(String detail) implements Failure {

		@Override
		public String code() {
			return "bad-label";
		}

	}

}
