package org.bamboorelay.core.request;

import java.net.URLDecoder;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;

import org.jspecify.annotations.Nullable;

/**
 * Keeps callers' keys away from endpoints: only harmless headers are passed on, and a
 * request with the key in any other place is refused.
 * <p>
 * Stateless and thread-safe.
 */
public final class KeyHiding {

	/** Headers that endpoints see, in lower case. */
	public static final Set<String> TO_ENDPOINT = Set.of("accept", "accept-charset", "accept-encoding",
			"accept-language", "content-encoding", "content-language", "content-type", "if-match", "if-modified-since",
			"if-none-match", "idempotency-key", "if-unmodified-since", "range", "user-agent");

	/** Headers of answers that callers do not see, in lower case. */
	private static final Set<String> NOT_TO_CALLER = Set.of("connection", "content-length", "date", "keep-alive",
			"proxy-authenticate", "server", "set-cookie", "set-cookie2", "te", "trailer", "transfer-encoding",
			"upgrade", "x-not-run", "x-request-id");

	/** Values that are too short to be a key are not searched for. */
	private static final int MIN_KEY_LENGTH = 6;

	private static final int UNICODE_ESCAPE_LENGTH = 6;

	private static final int HEX = 16;

	private KeyHiding() {
	}

	/**
	 * Chooses the headers that an endpoint sees.
	 * @param headers the caller's headers
	 * @return the headers of the allow list
	 */
	public static Map<String, String> toEndpoint(Map<String, String> headers) {
		Map<String, String> allowed = new TreeMap<>(String.CASE_INSENSITIVE_ORDER);
		headers.forEach((name, value) -> {
			if (TO_ENDPOINT.contains(name.toLowerCase(Locale.ROOT))) {
				allowed.put(name, value);
			}
		});
		return allowed;
	}

	/**
	 * Tells whether the caller sees a header of an answer.
	 * @param name the header's name, in any case
	 * @return whether it is passed on
	 */
	public static boolean isToCaller(String name) {
		return !NOT_TO_CALLER.contains(name.toLowerCase(Locale.ROOT));
	}

	/**
	 * Tells whether a key appears in a place that an endpoint would see, plain,
	 * percent-encoded or with JSON escapes.
	 * @param key the caller's key
	 * @param path the path
	 * @param query the query; null where there is none
	 * @param headers the headers
	 * @param body the body
	 * @return whether the request must be refused
	 */
	public static boolean exposes(String key, String path, @Nullable String query, Map<String, String> headers,
			byte[] body) {
		if (key.length() < MIN_KEY_LENGTH) {
			return false;
		}
		if (inText(key, path) || (query != null && inText(key, query))) {
			return true;
		}
		if (toEndpoint(headers).values().stream().anyMatch((value) -> inText(key, value))) {
			return true;
		}
		return body.length >= key.length() && inBody(key, body);
	}

	/**
	 * Tells whether a path has segments that an endpoint might resolve to another path,
	 * and so escape from an open prefix.
	 * @param path the path
	 * @return whether the path is not plain
	 */
	public static boolean isAmbiguous(String path) {
		if (!path.startsWith("/") || path.indexOf('\\') >= 0) {
			return true;
		}
		for (String segment : List.of(path.substring(1).split("/", -1))) {
			String decoded = decode(segment);
			if (decoded == null || ".".equals(decoded) || "..".equals(decoded) || decoded.indexOf('/') >= 0
					|| decoded.indexOf('\\') >= 0 || decoded.chars().anyMatch((character) -> character < ' ')
					|| decoded.startsWith("..;")) {
				return true;
			}
		}
		return false;
	}

	private static boolean inText(String key, String text) {
		if (text.contains(key)) {
			return true;
		}
		if (text.indexOf('%') < 0 && text.indexOf('+') < 0) {
			return false;
		}
		String decoded = decode(text);
		return decoded != null && decoded.contains(key);
	}

	private static boolean inBody(String key, byte[] body) {
		// Bytes are read as Latin-1, so that every byte is one character.
		String latinKey = new String(key.getBytes(StandardCharsets.UTF_8), StandardCharsets.ISO_8859_1);
		String text = new String(body, StandardCharsets.ISO_8859_1);
		if (text.contains(latinKey) || (text.indexOf('%') >= 0 && inPercentEncoded(latinKey, text))) {
			return true;
		}
		return text.indexOf('\\') >= 0 && unescape(text).contains(latinKey);
	}

	private static boolean inPercentEncoded(String key, String text) {
		StringBuilder decoded = new StringBuilder(text.length());
		for (int i = 0; i < text.length(); i++) {
			char character = text.charAt(i);
			int value = (character == '%' && i + 2 < text.length()) ? hex(text, i + 1, i + 3) : -1;
			if (value >= 0) {
				decoded.append((char) value);
				i += 2;
			}
			else {
				decoded.append(character);
			}
		}
		return decoded.indexOf(key) >= 0;
	}

	private static String unescape(String text) {
		StringBuilder plain = new StringBuilder(text.length());
		for (int i = 0; i < text.length(); i++) {
			char character = text.charAt(i);
			if (character != '\\' || i + 1 >= text.length()) {
				plain.append(character);
				continue;
			}
			int value = (text.charAt(i + 1) == 'u' && i + UNICODE_ESCAPE_LENGTH <= text.length())
					? hex(text, i + 2, i + UNICODE_ESCAPE_LENGTH) : -1;
			if (value >= 0) {
				plain.append((char) value);
				i += UNICODE_ESCAPE_LENGTH - 1;
			}
			else {
				plain.append(text.charAt(i + 1));
				i++;
			}
		}
		return plain.toString();
	}

	private static int hex(String text, int from, int to) {
		int value = 0;
		for (int i = from; i < to; i++) {
			int digit = Character.digit(text.charAt(i), HEX);
			if (digit < 0) {
				return -1;
			}
			value = value * HEX + digit;
		}
		return value;
	}

	private static @Nullable String decode(String text) {
		try {
			return URLDecoder.decode(text, StandardCharsets.UTF_8);
		}
		catch (IllegalArgumentException ex) {
			return null;
		}
	}

}
