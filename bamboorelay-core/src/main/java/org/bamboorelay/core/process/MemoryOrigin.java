package org.bamboorelay.core.process;

/**
 * What the bytes of a {@link MemoryAccount} are held for.
 */
public enum MemoryOrigin {

	/** Heads and bodies of callers' requests. */
	CALLER_REQUESTS("caller-requests"),

	/** Responses that are written to callers. */
	CALLER_RESPONSES("caller-responses");

	private final String code;

	MemoryOrigin(String code) {
		this.code = code;
	}

	/**
	 * Returns the code of the origin in metrics.
	 * @return the code
	 */
	public String code() {
		return this.code;
	}

}
