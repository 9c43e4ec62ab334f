package org.bamboorelay.host.connection;

/**
 * The number of tokens of a prompt.
 * <p>
 * Immutable and thread-safe.
 *
 * @param total the number of all tokens
 * @param shared the number of tokens that the prompt shares with others
 */
public record PromptTokens(long total, long shared) {

	/** The tokens of a prompt of unknown length. */
	public static final PromptTokens UNKNOWN = new PromptTokens(0, 0);

	public PromptTokens {
		if (shared < 0 || total < shared) {
			throw new IllegalArgumentException("shared must be between 0 and " + total + ": " + shared);
		}
	}

}
