package org.bamboorelay.cli.request;

import java.util.List;
import java.util.Map;

import org.bamboorelay.cli.connection.OperatorFailure;
import org.bamboorelay.cli.process.ExitCode;
import org.bamboorelay.core.failure.Failure;
import org.bamboorelay.core.store.StoreFailure;
import org.bamboorelay.core.version.ConfigurationFault;

/**
 * What a command answers, for people and for programs.
 * <p>
 * Immutable and thread-safe.
 *
 * @param exitCode the exit code
 * @param lines for people
 * @param fields for programs
 */
public record CommandResult(ExitCode exitCode, List<String> lines, Map<String, Object> fields) {

	public CommandResult {
		lines = List.copyOf(lines);
		fields = Map.copyOf(fields);
	}

	/**
	 * Creates the answer of a command that was carried out.
	 * @param line for people
	 * @param fields for programs
	 * @return the answer
	 */
	public static CommandResult ok(String line, Map<String, Object> fields) {
		return new CommandResult(ExitCode.OK, List.of(line), fields);
	}

	/**
	 * Creates the answer of a command that was carried out.
	 * @param lines for people
	 * @param fields for programs
	 * @return the answer
	 */
	public static CommandResult ok(List<String> lines, Map<String, Object> fields) {
		return new CommandResult(ExitCode.OK, lines, fields);
	}

	/**
	 * Creates the answer of a command that failed.
	 * @param failure the failure
	 * @return the answer
	 */
	public static CommandResult of(Failure failure) {
		return new CommandResult(exitCode(failure), List.of(failure.detail()),
				Map.of("error", failure.code(), "detail", failure.detail()));
	}

	/**
	 * Creates the answer to faults in files.
	 * @param faults the faults
	 * @return the answer
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
