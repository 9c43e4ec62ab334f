package org.bamboorelay.cli.process;

/**
 * Exit codes of the operator command line.
 */
public enum ExitCode {

	/** The command succeeded. */
	OK(0),

	/** The command failed or was carried out only in part. */
	FAILED(1),

	/** The command line, a file or a value is invalid; nothing was changed. */
	INVALID(2),

	/** A concurrent change by another operator was written first; nothing was changed. */
	CONFLICT(3);

	private final int code;

	ExitCode(int code) {
		this.code = code;
	}

	public int code() {
		return this.code;
	}

}
