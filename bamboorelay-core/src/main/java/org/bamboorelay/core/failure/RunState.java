package org.bamboorelay.core.failure;

/**
 * What is known about the execution of a request that was not answered.
 */
public enum RunState {

	/** The request did not run and will not run. */
	NO("no"),

	/** The request may have run, may be running or may still run. */
	UNKNOWN("unknown");

	private final String code;

	RunState(String code) {
		this.code = code;
	}

	/**
	 * Returns the value as written in answers.
	 * @return {@code no} or {@code unknown}
	 */
	public String code() {
		return this.code;
	}

}
