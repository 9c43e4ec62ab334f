package org.bamboorelay.core.failure;

/**
 * A failure that a caller of a module can act on. Every failure has a type of its own;
 * the code is stable and used in logs, counters and answers.
 * <p>
 * Implementations are immutable and thread-safe.
 */
public interface Failure {

	/**
	 * Returns the stable code, in lower case with hyphens.
	 * @return the code
	 */
	String code();

	/**
	 * Returns a sentence for people. It never contains a key.
	 * @return the detail
	 */
	String detail();

}
