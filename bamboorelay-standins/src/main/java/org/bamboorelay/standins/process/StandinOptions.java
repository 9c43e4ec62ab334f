package org.bamboorelay.standins.process;

import java.util.List;
import java.util.Objects;

import io.vavr.control.Either;
import org.apache.commons.cli.CommandLine;
import org.apache.commons.cli.DefaultParser;
import org.apache.commons.cli.Options;
import org.apache.commons.cli.ParseException;
import org.bamboorelay.core.failure.Failure;

/**
 * Command-line options of {@link StandinMain}.
 * <p>
 * Immutable and thread-safe.
 */
public final class StandinOptions {

	private static final List<String> NAMES = List.of("kind", "port", "record-limit", "object-api-port",
			"ordering-port", "usage-intake-port", "host-list-port", "weight-store-port", "lag-ms", "rate",
			"weight-bytes", "endpoint", "service", "domain", "capacity", "pooled", "tokens-per-second", "lines",
			"weight-store", "cold-start-ms", "cold-bears", "honours-fencing", "report-lag-ms", "cache-lag-ms",
			"cache-gap-every", "cache-blocks", "lengths", "latency-ms", "entry", "key", "trainer", "line", "prompts",
			"samples", "max-tokens", "steps", "first-version", "first-seq", "batch-max", "train-ms", "staleness-bound");

	private final CommandLine commandLine;

	private StandinOptions(CommandLine commandLine) {
		this.commandLine = commandLine;
	}

	/**
	 * Parses the options.
	 * @param arguments the arguments of the program
	 * @return the options, or the reason why they are invalid
	 */
	public static Either<OptionFailure, StandinOptions> parse(String... arguments) {
		Options options = new Options();
		NAMES.forEach((name) -> options.addOption(null, name, true, name));
		try {
			CommandLine line = new DefaultParser(false).parse(options, arguments);
			if (!line.getArgList().isEmpty()) {
				return Either.left(new OptionFailure("unexpected argument \"" + line.getArgList().get(0) + "\""));
			}
			if (!line.hasOption("kind")) {
				return Either.left(new OptionFailure("option --kind is missing"));
			}
			return Either.right(new StandinOptions(line));
		}
		catch (ParseException ex) {
			return Either.left(new OptionFailure(String.valueOf(ex.getMessage())));
		}
	}

	/**
	 * Returns the kind of stand-in.
	 * @return the kind
	 */
	public String kind() {
		return stringValue("kind", "");
	}

	String stringValue(String name, String defaultValue) {
		return Objects.requireNonNull(this.commandLine.getOptionValue(name, defaultValue), name);
	}

	boolean has(String name) {
		return this.commandLine.hasOption(name);
	}

	long longValue(String name, long defaultValue) {
		String text = stringValue(name, Long.toString(defaultValue));
		try {
			long value = Long.parseLong(text);
			if (value < 0) {
				throw new IllegalArgumentException("option --" + name + " must not be negative: " + text);
			}
			return value;
		}
		catch (NumberFormatException ex) {
			throw new IllegalArgumentException("option --" + name + " is not an integer: \"" + text + "\"", ex);
		}
	}

	int intValue(String name, int defaultValue) {
		long value = longValue(name, defaultValue);
		if (value > Integer.MAX_VALUE) {
			throw new IllegalArgumentException("option --" + name + " is too large: " + value);
		}
		return (int) value;
	}

	double doubleValue(String name, double defaultValue) {
		String text = stringValue(name, Double.toString(defaultValue));
		try {
			return Double.parseDouble(text);
		}
		catch (NumberFormatException ex) {
			throw new IllegalArgumentException("option --" + name + " is not a number: \"" + text + "\"", ex);
		}
	}

	boolean booleanValue(String name, boolean defaultValue) {
		String text = stringValue(name, Boolean.toString(defaultValue));
		if (!List.of("true", "false").contains(text)) {
			throw new IllegalArgumentException("option --" + name + " must be true or false: \"" + text + "\"");
		}
		return Boolean.parseBoolean(text);
	}

	/**
	 * Failure of parsing the options.
	 *
	 * @param detail the cause
	 */
	public record OptionFailure(String detail) implements Failure {

		@Override
		public String code() {
			return "bad-option";
		}

	}

}
