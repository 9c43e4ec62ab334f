package org.bamboorelay.standins.connection;

import java.io.IOException;
import java.net.URLDecoder;
import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.ArrayList;
import java.util.HexFormat;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.TreeMap;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.MissingNode;
import org.apache.hc.core5.http.ClassicHttpRequest;
import org.apache.hc.core5.http.Header;
import org.bamboorelay.runtime.connection.HttpLimits;
import org.bamboorelay.runtime.request.Json;

/**
 * An HTTP request with its complete body.
 * <p>
 * Immutable and thread-safe; the body is not copied.
 *
 * @param method the method
 * @param path the decoded path without its query
 * @param query the decoded query
 * @param headers all header fields by lower-case name
 * @param body the body, empty if there is none
 */
public record StandinRequest(String method, String path, Map<String, String> query, Map<String, List<String>> headers,
		byte[] body) {

	private static final String OBJECTS = "/objects/";

	/**
	 * Creates a request without header fields.
	 * @param method the method
	 * @param target the path with its query
	 * @param body the body
	 * @return the request
	 */
	public static StandinRequest of(String method, String target, byte[] body) {
		int queryStart = target.indexOf('?');
		String path = (queryStart < 0) ? target : target.substring(0, queryStart);
		// A plus sign encodes a space only in the query, not in the path.
		String decoded = URLDecoder.decode(path.replace("+", "%2B"), StandardCharsets.UTF_8);
		return new StandinRequest(method, decoded, query((queryStart < 0) ? "" : target.substring(queryStart + 1)),
				Map.of(), body);
	}

	static StandinRequest read(ClassicHttpRequest request) throws IOException {
		StandinRequest withoutHeaders = of(request.getMethod(), request.getRequestUri(), body(request));
		Map<String, List<String>> headers = new TreeMap<>();
		for (Header header : request.getHeaders()) {
			headers.computeIfAbsent(header.getName().toLowerCase(Locale.ROOT), (unused) -> new ArrayList<>())
				.add(header.getValue());
		}
		return new StandinRequest(withoutHeaders.method, withoutHeaders.path, withoutHeaders.query, headers,
				withoutHeaders.body);
	}

	/**
	 * Returns the first value of a header field.
	 * @param name the name in lower case
	 * @return the value, or an empty string if the field is absent
	 */
	public String header(String name) {
		return this.headers.getOrDefault(name, List.of("")).get(0);
	}

	/**
	 * Returns this request with an additional header field.
	 * @param name the name in lower case
	 * @param value the value
	 * @return the new request
	 */
	public StandinRequest withHeader(String name, String value) {
		Map<String, List<String>> extended = new TreeMap<>(this.headers);
		extended.put(name, List.of(value));
		return new StandinRequest(this.method, this.path, this.query, extended, this.body);
	}

	/**
	 * Returns the key that is compared with the {@code match} prefix of a fault: the
	 * object key, the prefix of a list or watch request, or else the path.
	 * @return the key
	 */
	public String faultKey() {
		if (this.path.startsWith(OBJECTS)) {
			return this.path.substring(OBJECTS.length());
		}
		return this.query.getOrDefault("prefix", this.path);
	}

	/**
	 * Returns the part of the path after a prefix.
	 * @param prefix the prefix
	 * @return the rest, or an empty string if the path does not begin with the prefix
	 */
	public String pathAfter(String prefix) {
		return this.path.startsWith(prefix) ? this.path.substring(prefix.length()) : "";
	}

	/**
	 * Tells whether the request has the given method and path.
	 * @param expectedMethod the method
	 * @param expectedPath the path
	 * @return whether both are equal
	 */
	public boolean hasRoute(String expectedMethod, String expectedPath) {
		return this.method.equals(expectedMethod) && this.path.equals(expectedPath);
	}

	/**
	 * Tells whether the request can change state.
	 * @return true for methods other than GET, HEAD and OPTIONS
	 */
	public boolean isWrite() {
		return !List.of("GET", "HEAD", "OPTIONS").contains(this.method);
	}

	/**
	 * Returns the body as JSON.
	 * @return the tree, or a missing node if the body is not JSON
	 */
	public JsonNode json() {
		return Json.tree(this.body).getOrElse(MissingNode.getInstance());
	}

	/**
	 * Returns the digest of the body.
	 * @return the SHA-256 digest in hexadecimal digits
	 */
	public String bodyDigest() {
		try {
			return HexFormat.of().formatHex(MessageDigest.getInstance("SHA-256").digest(this.body));
		}
		catch (NoSuchAlgorithmException ex) {
			throw new IllegalStateException("SHA-256 is not available", ex);
		}
	}

	private static byte[] body(ClassicHttpRequest request) throws IOException {
		return (request.getEntity() != null) ? request.getEntity().getContent().readNBytes(HttpLimits.MAX_REQUEST_BYTES)
				: new byte[0];
	}

	private static Map<String, String> query(String text) {
		Map<String, String> query = new LinkedHashMap<>();
		for (String pair : text.split("&")) {
			int equals = pair.indexOf('=');
			if (equals > 0) {
				query.put(URLDecoder.decode(pair.substring(0, equals), StandardCharsets.UTF_8),
						URLDecoder.decode(pair.substring(equals + 1), StandardCharsets.UTF_8));
			}
		}
		return query;
	}

}
