package org.bamboorelay.core.scenario;

import java.nio.charset.StandardCharsets;
import java.util.Collection;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.TreeMap;

import org.bamboorelay.core.request.CallerKeyFilter;
import org.jspecify.annotations.Nullable;

/**
 * The text of a caller's request, with the key in its authorization headers and sometimes
 * also in a part that is forwarded to endpoints.
 */
final class SimulatedRequest {

	private static final String HEX = "%02x";

	private final String key;

	private final Map<String, String> headers = new TreeMap<>();

	private String path = "/v1/completions";

	private @Nullable String query;

	private String body = "{\"prompt\":\"cuota\"}";

	private final boolean exposed;

	SimulatedRequest(String key, Random random) {
		this.key = key;
		this.headers.put("Authorization", "Bearer " + key);
		this.headers.put("X-Api-Key", key);
		this.headers.put("Cookie", "session=" + key);
		this.headers.put("Content-Type", "application/json");
		int place = random.nextInt(24);
		this.exposed = place < 6;
		switch (place) {
			case 0 -> {
				this.path = "/v1/" + key;
			}
			case 1 -> {
				this.query = "key=" + percentEncoded(key);
			}
			case 2 -> this.headers.put("User-Agent", "client " + key);
			case 3 -> {
				this.body = "{\"prompt\":\"" + key + "\"}";
			}
			case 4 -> {
				this.body = "{\"prompt\":\"" + unicodeEscaped(key) + "\"}";
			}
			case 5 -> {
				this.body = "prompt=" + percentEncoded(key);
			}
			default -> {
				this.query = null;
			}
		}
	}

	/** Returns whether the key is also in a part that is forwarded to endpoints. */
	boolean isExposed() {
		return this.exposed;
	}

	/**
	 * Returns the texts that are forwarded to an endpoint; empty if the request is
	 * refused.
	 */
	List<String> textsForEndpoint(Mutation mutation) {
		if (CallerKeyFilter.exposesKey(this.key, this.path, this.query, this.headers,
				this.body.getBytes(StandardCharsets.UTF_8))) {
			return List.of();
		}
		Collection<String> seen = ((mutation == Mutation.UNFILTERED_HEADERS) ? this.headers
				: CallerKeyFilter.endpointHeaders(this.headers))
			.values();
		return List.of(this.path, String.valueOf(this.query), this.body, String.join("\n", seen));
	}

	/**
	 * Returns whether a text contains the key, plain, percent-encoded or escaped.
	 */
	boolean revealsKey(String text) {
		return text.contains(this.key) || text.contains(percentEncoded(this.key))
				|| text.contains(unicodeEscaped(this.key));
	}

	private static String percentEncoded(String text) {
		StringBuilder encoded = new StringBuilder();
		text.chars().forEach((character) -> encoded.append('%').append(String.format(HEX, character)));
		return encoded.toString();
	}

	private static String unicodeEscaped(String text) {
		StringBuilder encoded = new StringBuilder();
		text.chars().forEach((character) -> encoded.append("\\u00").append(String.format(HEX, character)));
		return encoded.toString();
	}

}
