package org.bamboorelay.load.request;

/**
 * Assertions of the quick start.
 * <p>
 * Stateless and thread-safe.
 */
final class Checks {

	private Checks() {
	}

	/**
	 * Throws {@link CheckFailedException} if a condition does not hold.
	 * @param condition the condition
	 * @param message expected and actual result
	 */
	static void require(boolean condition, String message) {
		if (!condition) {
			throw new CheckFailedException(message);
		}
	}

}
