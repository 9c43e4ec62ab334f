package org.bamboorelay.core.failure;

/**
 * A failure that the calling code can handle. Each kind of failure has its own type. The
 * code is stable and appears in logs, counters and responses.
 * <p>
 * Implementations are immutable and thread-safe.
 */
public interface Failure {

	/**
	 * Returns the stable code, in lower case and separated by hyphens.
	 * @return the code
	 */
	String code();

	/**
	 * Returns a human-readable description. It never contains an API key.
	 * @return the description
	 */
	String detail();

}
