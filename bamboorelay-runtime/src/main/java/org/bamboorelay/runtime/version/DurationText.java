package org.bamboorelay.runtime.version;

import java.util.Map;
import java.util.Optional;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * Parser of durations in settings: a whole number and a unit, such as {@code 500ms} or
 * {@code 20s}.
 * <p>
 * Stateless and thread-safe.
 */
public final class DurationText {

	/** Description of the allowed values, for error messages. */
	public static final String ALLOWED = "a whole number and a unit: ms, s, min or h";

	private static final Pattern DURATION_PATTERN = Pattern.compile("(\\d{1,9})(ms|s|min|h)");

	private static final Map<String, Long> UNIT_MILLIS = Map.of("ms", 1L, "s", 1_000L, "min", 60_000L, "h", 3_600_000L);

	private DurationText() {
	}

	/**
	 * Parses a duration.
	 * @param text the text
	 * @return the duration in milliseconds, or empty if the text is not a duration
	 */
	public static Optional<Long> parseMillis(String text) {
		Matcher matcher = DURATION_PATTERN.matcher(text);
		if (!matcher.matches()) {
			return Optional.empty();
		}
		return Optional.of(Long.parseLong(matcher.group(1)) * UNIT_MILLIS.get(matcher.group(2)));
	}

}
