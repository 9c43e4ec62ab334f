package org.bamboorelay.cli.request;

import java.util.List;
import java.util.Map;

import org.bamboorelay.cli.connection.OperatorFailure;
import org.bamboorelay.cli.process.ExitCode;
import org.bamboorelay.core.failure.Failure;
import org.bamboorelay.core.store.StoreFailure;
import org.bamboorelay.core.version.ConfigurationFault;

/**
 * Result of a command, as text lines for people and as JSON fields for programs.
 * <p>
 * Immutable and thread-safe.
 *
 * @param exitCode the exit code
 * @param lines the lines for people
 * @param fields the JSON fields for programs
 */
public record CommandResult(ExitCode exitCode, List<String> lines, Map<String, Object> fields) {

	public CommandResult {
		lines = List.copyOf(lines);
		fields = Map.copyOf(fields);
	}

	/**
	 * Creates the result of a successful command.
	 * @param line the line for people
	 * @param fields the JSON fields for programs
	 * @return the result
	 */
	public static CommandResult ok(String line, Map<String, Object> fields) {
		return new CommandResult(ExitCode.OK, List.of(line), fields);
	}

	/**
	 * Creates the result of a successful command.
	 * @param lines the lines for people
	 * @param fields the JSON fields for programs
	 * @return the result
	 */
	public static CommandResult ok(List<String> lines, Map<String, Object> fields) {
		return new CommandResult(ExitCode.OK, lines, fields);
	}

	/**
	 * Creates the result of a failed command.
	 * @param failure the failure
	 * @return the result
	 */
	public static CommandResult of(Failure failure) {
		return new CommandResult(exitCode(failure), List.of(failure.detail()),
				Map.of("error", failure.code(), "detail", failure.detail()));
	}

	/**
	 * Creates the result for invalid files.
	 * @param faults the validation errors
	 * @return the result
	 */
	public static CommandResult invalid(List<? extends Failure> faults) {
		List<String> lines = faults.stream().map(Failure::detail).toList();
		return new CommandResult(ExitCode.INVALID, lines, Map.of("error", "invalid", "faults", lines));
	}

	private static ExitCode exitCode(Failure failure) {
		if (failure instanceof OperatorFailure.VersionChanged || failure instanceof StoreFailure.ConditionFailed) {
			return ExitCode.CONFLICT;
		}
		if (failure instanceof OperatorFailure.Unknown || failure instanceof ConfigurationFault) {
			return ExitCode.INVALID;
		}
		return ExitCode.FAILED;
	}

}
