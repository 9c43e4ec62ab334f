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
 * A request that was read whole.
 * <p>
 * Immutable and thread-safe; the body is not copied.
 *
 * @param method the method
 * @param path the decoded path without its query
 * @param query the decoded query
 * @param headers all header fields by lower-case name
 * @param body the body, empty where there is none
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
		int mark = target.indexOf('?');
		String path = (mark < 0) ? target : target.substring(0, mark);
		// A plus sign stands for a blank in a query only.
		String decoded = URLDecoder.decode(path.replace("+", "%2B"), StandardCharsets.UTF_8);
		return new StandinRequest(method, decoded, query((mark < 0) ? "" : target.substring(mark + 1)), Map.of(), body);
	}

	static StandinRequest read(ClassicHttpRequest request) throws IOException {
		StandinRequest plain = of(request.getMethod(), request.getRequestUri(), body(request));
		Map<String, List<String>> headers = new TreeMap<>();
		for (Header header : request.getHeaders()) {
			headers.computeIfAbsent(header.getName().toLowerCase(Locale.ROOT), (unused) -> new ArrayList<>())
				.add(header.getValue());
		}
		return new StandinRequest(plain.method, plain.path, plain.query, headers, plain.body);
	}

	/**
	 * Returns the first value of a header field.
	 * @param name the name in lower case
	 * @return the value, empty where the field is absent
	 */
	public String header(String name) {
		return this.headers.getOrDefault(name, List.of("")).get(0);
	}

	/**
	 * Returns a request with one more header field.
	 * @param name the name in lower case
	 * @param value the value
	 * @return the new request
	 */
	public StandinRequest withHeader(String name, String value) {
		Map<String, List<String>> more = new TreeMap<>(this.headers);
		more.put(name, List.of(value));
		return new StandinRequest(this.method, this.path, this.query, more, this.body);
	}

	/**
	 * Returns what the prefix of a fault is compared with: the object key, the prefix of
	 * a list or watch, or else the path.
	 * @return the key
	 */
	public String key() {
		if (this.path.startsWith(OBJECTS)) {
			return this.path.substring(OBJECTS.length());
		}
		return this.query.getOrDefault("prefix", this.path);
	}

	/**
	 * Returns the part of the path after a prefix.
	 * @param prefix the prefix
	 * @return the rest, empty where the path does not begin with the prefix
	 */
	public String after(String prefix) {
		return this.path.startsWith(prefix) ? this.path.substring(prefix.length()) : "";
	}

	/**
	 * Tells whether the method and path are these.
	 * @param wantedMethod the method
	 * @param wantedPath the path
	 * @return whether they are
	 */
	public boolean is(String wantedMethod, String wantedPath) {
		return this.method.equals(wantedMethod) && this.path.equals(wantedPath);
	}

	/**
	 * Tells whether the request can have an effect.
	 * @return whether the method is none of GET, HEAD and OPTIONS
	 */
	public boolean isWrite() {
		return !List.of("GET", "HEAD", "OPTIONS").contains(this.method);
	}

	/**
	 * Returns the body as JSON.
	 * @return the tree, a missing node where the body is not JSON
	 */
	public JsonNode json() {
		return Json.tree(this.body).getOrElse(MissingNode.getInstance());
	}

	/**
	 * Returns the digest of the body.
	 * @return the SHA-256 digest in hexadecimal digits
	 */
	public String digest() {
		try {
			return HexFormat.of().formatHex(MessageDigest.getInstance("SHA-256").digest(this.body));
		}
		catch (NoSuchAlgorithmException ex) {
			throw new IllegalStateException("SHA-256 is missing", ex);
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
