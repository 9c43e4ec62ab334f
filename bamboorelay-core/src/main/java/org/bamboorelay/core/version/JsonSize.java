package org.bamboorelay.core.version;

/**
 * The size of values in the form that {@link CoreJson} gives them. The limits of the
 * object store count bytes of UTF-8, of which a character has up to three, or six if it
 * is escaped.
 * <p>
 * Stateless and thread-safe.
 */
public final class JsonSize {

	/** Bytes of a character that is escaped by its number. */
	private static final int ESCAPED_BYTES = 6;

	private static final int FIRST_PRINTABLE = 0x20;

	private static final int LAST_ONE_BYTE = 0x7F;

	private static final int LAST_TWO_BYTES = 0x7FF;

	private JsonSize() {
	}

	/**
	 * Returns the size of a text within a JSON string, without the quotes around it.
	 * @param text the text
	 * @return the number of bytes
	 */
	public static long ofText(String text) {
		long bytes = 0;
		for (int index = 0; index < text.length(); index++) {
			bytes += ofCharacter(text.charAt(index));
		}
		return bytes;
	}

	private static int ofCharacter(char character) {
		if (character < FIRST_PRINTABLE) {
			return ("\n\t\r\b\f".indexOf(character) >= 0) ? 2 : ESCAPED_BYTES;
		}
		if (character <= LAST_ONE_BYTE) {
			return (character == '"' || character == '\\') ? 2 : 1;
		}
		if (Character.isSurrogate(character)) {
			// Each half of a pair is escaped.
			return ESCAPED_BYTES;
		}
		return (character <= LAST_TWO_BYTES) ? 2 : 3;
	}

}
