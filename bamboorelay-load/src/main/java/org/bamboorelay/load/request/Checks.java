package org.bamboorelay.load.request;

/**
 * Conditions that the quick start insists on.
 * <p>
 * Stateless and thread-safe.
 */
final class Checks {

	private Checks() {
	}

	/**
	 * Fails unless a condition holds.
	 * @param condition the condition
	 * @param message what was expected and what was found
	 */
	static void require(boolean condition, String message) {
		if (!condition) {
			throw new CheckFailedException(message);
		}
	}

}
