package org.bamboorelay.core.failure;

/**
 * Whether a request that got no response from an endpoint may have been executed.
 */
public enum ExecutionState {

	/** The request was not executed and will not be. */
	NO("no"),

	/** The request may have been executed, may be running or may still run. */
	UNKNOWN("unknown");

	private final String code;

	ExecutionState(String code) {
		this.code = code;
	}

	/**
	 * Returns the value that is written to responses.
	 * @return {@code no} or {@code unknown}
	 */
	public String code() {
		return this.code;
	}

}
