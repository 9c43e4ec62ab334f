package org.bamboorelay.load.request;

/**
 * A point of the quick start did not hold.
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
