package org.bamboorelay.load.request;

/**
 * Thrown when a check of the quick start fails.
 */
public final class CheckFailedException extends RuntimeException {

	/**
	 * Creates the exception.
	 * @param message what was expected and what was found
	 */
	public CheckFailedException(String message) {
		super(message);
	}

}
