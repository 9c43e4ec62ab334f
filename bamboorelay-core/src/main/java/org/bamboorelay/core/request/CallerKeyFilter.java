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
 * Prevents callers' API keys from reaching endpoints: only headers of an allow list are
 * forwarded, and a request that contains the key anywhere else has to be refused.
 * <p>
 * Stateless and thread-safe.
 */
public final class CallerKeyFilter {

	/** Request headers that are forwarded to endpoints, in lower case. */
	public static final Set<String> ENDPOINT_HEADERS = Set.of("accept", "accept-charset", "accept-encoding",
			"accept-language", "content-encoding", "content-language", "content-type", "if-match", "if-modified-since",
			"if-none-match", "idempotency-key", "if-unmodified-since", "range", "user-agent");

	/** Response headers that are not returned to callers, in lower case. */
	private static final Set<String> HIDDEN_FROM_CALLER = Set.of("connection", "content-length", "date", "keep-alive",
			"proxy-authenticate", "server", "set-cookie", "set-cookie2", "te", "trailer", "transfer-encoding",
			"upgrade", "x-not-run", "x-request-id");

	/** Shorter values cannot be API keys and are not searched for. */
	private static final int MIN_KEY_LENGTH = 6;

	private static final int UNICODE_ESCAPE_LENGTH = 6;

	private static final int HEX_RADIX = 16;

	private CallerKeyFilter() {
	}

	/**
	 * Selects the headers that are forwarded to an endpoint.
	 * @param headers the caller's headers
	 * @return the headers that are on the allow list
	 */
	public static Map<String, String> endpointHeaders(Map<String, String> headers) {
		Map<String, String> allowed = new TreeMap<>(String.CASE_INSENSITIVE_ORDER);
		headers.forEach((name, value) -> {
			if (ENDPOINT_HEADERS.contains(name.toLowerCase(Locale.ROOT))) {
				allowed.put(name, value);
			}
		});
		return allowed;
	}

	/**
	 * Returns whether a response header is returned to the caller.
	 * @param name the name of the header, in any case
	 * @return whether the header is returned
	 */
	public static boolean isReturnedToCaller(String name) {
		return !HIDDEN_FROM_CALLER.contains(name.toLowerCase(Locale.ROOT));
	}

	/**
	 * Returns whether a key appears in a part of a request that would be forwarded to an
	 * endpoint, in plain form, percent-encoded or with JSON escapes.
	 * @param key the caller's API key
	 * @param path the path
	 * @param query the query; null if there is none
	 * @param headers the headers
	 * @param body the body
	 * @return whether the request must be refused
	 */
	public static boolean exposesKey(String key, String path, @Nullable String query, Map<String, String> headers,
			byte[] body) {
		if (key.length() < MIN_KEY_LENGTH) {
			return false;
		}
		if (textContains(key, path) || (query != null && textContains(key, query))) {
			return true;
		}
		if (endpointHeaders(headers).values().stream().anyMatch((value) -> textContains(key, value))) {
			return true;
		}
		return body.length >= key.length() && bodyContains(key, body);
	}

	/**
	 * Returns whether a path has segments that an endpoint might resolve to another path,
	 * which would let a request leave an open path prefix.
	 * @param path the path
	 * @return whether the path has such segments or does not start with a slash
	 */
	public static boolean isAmbiguousPath(String path) {
		if (!path.startsWith("/") || path.indexOf('\\') >= 0) {
			return true;
		}
		for (String segment : List.of(path.substring(1).split("/", -1))) {
			String decoded = urlDecode(segment);
			if (decoded == null || ".".equals(decoded) || "..".equals(decoded) || decoded.indexOf('/') >= 0
					|| decoded.indexOf('\\') >= 0 || decoded.chars().anyMatch((character) -> character < ' ')
					|| decoded.startsWith("..;")) {
				return true;
			}
		}
		return false;
	}

	private static boolean textContains(String key, String text) {
		if (text.contains(key)) {
			return true;
		}
		if (text.indexOf('%') < 0 && text.indexOf('+') < 0) {
			return false;
		}
		String decoded = urlDecode(text);
		return decoded != null && decoded.contains(key);
	}

	private static boolean bodyContains(String key, byte[] body) {
		// Latin-1 maps each byte to one character.
		String latinKey = new String(key.getBytes(StandardCharsets.UTF_8), StandardCharsets.ISO_8859_1);
		String text = new String(body, StandardCharsets.ISO_8859_1);
		if (text.contains(latinKey) || (text.indexOf('%') >= 0 && decodedTextContains(latinKey, text))) {
			return true;
		}
		return text.indexOf('\\') >= 0 && unescapeJson(text).contains(latinKey);
	}

	private static boolean decodedTextContains(String key, String text) {
		StringBuilder decoded = new StringBuilder(text.length());
		for (int i = 0; i < text.length(); i++) {
			char character = text.charAt(i);
			int value = (character == '%' && i + 2 < text.length()) ? parseHex(text, i + 1, i + 3) : -1;
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

	private static String unescapeJson(String text) {
		StringBuilder unescaped = new StringBuilder(text.length());
		for (int i = 0; i < text.length(); i++) {
			char character = text.charAt(i);
			if (character != '\\' || i + 1 >= text.length()) {
				unescaped.append(character);
				continue;
			}
			int value = (text.charAt(i + 1) == 'u' && i + UNICODE_ESCAPE_LENGTH <= text.length())
					? parseHex(text, i + 2, i + UNICODE_ESCAPE_LENGTH) : -1;
			if (value >= 0) {
				unescaped.append((char) value);
				i += UNICODE_ESCAPE_LENGTH - 1;
			}
			else {
				unescaped.append(text.charAt(i + 1));
				i++;
			}
		}
		return unescaped.toString();
	}

	private static int parseHex(String text, int from, int to) {
		int value = 0;
		for (int i = from; i < to; i++) {
			int digit = Character.digit(text.charAt(i), HEX_RADIX);
			if (digit < 0) {
				return -1;
			}
			value = value * HEX_RADIX + digit;
		}
		return value;
	}

	private static @Nullable String urlDecode(String text) {
		try {
			return URLDecoder.decode(text, StandardCharsets.UTF_8);
		}
		catch (IllegalArgumentException ex) {
			return null;
		}
	}

}
