package org.bamboorelay.runtime.request;

import java.io.ByteArrayOutputStream;
import java.nio.charset.StandardCharsets;

/**
 * Removes what a JSON parser rejects, or cannot process with a small stack, from
 * documents with values of several writers: values that are nested too deeply, numbers
 * that are too long and names that are too long. One such value would otherwise make the
 * whole document unreadable. The documents must be well-formed apart from that.
 * <p>
 * Used by one thread for one document; {@link #sanitize} is stateless and thread-safe.
 */
public final class JsonSanitizer {

	/** Maximum depth of arrays and objects; deeper ones are replaced by null. */
	static final int MAX_DEPTH = 100;

	/** Maximum length of a number, in characters; longer ones are replaced by null. */
	static final int MAX_NUMBER_LENGTH = 100;

	/** Maximum length of a name, in bytes; longer ones are replaced. */
	static final int MAX_NAME_BYTES = 10_000;

	/** Name that replaces one that is too long. */
	static final String REPLACEMENT_NAME = "name-too-long";

	private static final byte[] NULL = "null".getBytes(StandardCharsets.US_ASCII);

	private static final byte[] REPLACEMENT = ("\"" + REPLACEMENT_NAME + "\"").getBytes(StandardCharsets.US_ASCII);

	private final byte[] in;

	private final ByteArrayOutputStream out = new ByteArrayOutputStream();

	private int copiedEnd;

	private JsonSanitizer(byte[] in) {
		this.in = in;
	}

	/**
	 * Sanitizes a document.
	 * @param json the JSON text in UTF-8
	 * @return the sanitized text; the given array if there is nothing to remove
	 */
	public static byte[] sanitize(byte[] json) {
		return new JsonSanitizer(json).sanitize();
	}

	private byte[] sanitize() {
		int depth = 0;
		int index = 0;
		while (index < this.in.length) {
			byte value = this.in[index];
			int end = index + 1;
			if (value == '"') {
				end = stringEnd(index);
				if (end - index > MAX_NAME_BYTES && isName(end)) {
					replace(index, end, REPLACEMENT);
				}
			}
			else if (value == '{' || value == '[') {
				if (depth == MAX_DEPTH) {
					end = containerEnd(index);
					replace(index, end, NULL);
				}
				else {
					depth++;
				}
			}
			else if (value == '-' || isDigit(value)) {
				end = numberEnd(index);
				if (end - index > MAX_NUMBER_LENGTH) {
					replace(index, end, NULL);
				}
			}
			else if (value == '}' || value == ']') {
				depth--;
			}
			index = end;
		}
		if (this.copiedEnd == 0) {
			return this.in;
		}
		copyUntil(this.in.length);
		return this.out.toByteArray();
	}

	// Returns the index after a string that starts at an index.
	private int stringEnd(int start) {
		int index = start + 1;
		while (index < this.in.length && this.in[index] != '"') {
			index += (this.in[index] == '\\') ? 2 : 1;
		}
		return Math.min(this.in.length, index + 1);
	}

	// Returns the index after an array or object that starts at an index.
	private int containerEnd(int start) {
		int depth = 0;
		int index = start;
		while (index < this.in.length) {
			byte value = this.in[index];
			if (value == '"') {
				index = stringEnd(index);
				continue;
			}
			index++;
			if (value == '{' || value == '[') {
				depth++;
			}
			else if ((value == '}' || value == ']') && --depth == 0) {
				return index;
			}
		}
		return index;
	}

	private int numberEnd(int start) {
		int index = start + 1;
		while (index < this.in.length && isNumberPart(this.in[index])) {
			index++;
		}
		return index;
	}

	// Returns whether the string before an index is a name.
	private boolean isName(int start) {
		int index = start;
		while (index < this.in.length && Character.isWhitespace(this.in[index])) {
			index++;
		}
		return index < this.in.length && this.in[index] == ':';
	}

	private static boolean isDigit(byte value) {
		return value >= '0' && value <= '9';
	}

	private static boolean isNumberPart(byte value) {
		return isDigit(value) || value == '.' || value == '-' || value == '+' || value == 'e' || value == 'E';
	}

	private void replace(int start, int end, byte[] replacement) {
		copyUntil(start);
		this.out.writeBytes(replacement);
		this.copiedEnd = end;
	}

	private void copyUntil(int end) {
		this.out.write(this.in, this.copiedEnd, end - this.copiedEnd);
		this.copiedEnd = end;
	}

}
