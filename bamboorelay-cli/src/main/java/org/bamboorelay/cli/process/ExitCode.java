package org.bamboorelay.cli.process;

/**
 * Exit codes of the operators' program.
 */
public enum ExitCode {

	/** The command was carried out. */
	OK(0),

	/** The command was not carried out, or only in part. */
	FAILED(1),

	/** The command line, a file or a value is not valid; nothing was changed. */
	INVALID(2),

	/** Another operator's change came first; nothing was changed. */
	CONFLICT(3);

	private final int code;

	ExitCode(int code) {
		this.code = code;
	}

	/**
	 * Returns the number that the process exits with.
	 * @return the number
	 */
	public int code() {
		return this.code;
	}

}
