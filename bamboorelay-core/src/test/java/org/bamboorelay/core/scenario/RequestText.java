package org.bamboorelay.core.scenario;

import java.nio.charset.StandardCharsets;
import java.util.Collection;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.TreeMap;

import org.bamboorelay.core.request.KeyHiding;
import org.jspecify.annotations.Nullable;

/**
 * What a caller sends, with its key in the authorization header and now and then in a
 * place that an endpoint would see.
 */
final class RequestText {

	private static final String HEX = "%02x";

	private final String key;

	private final Map<String, String> headers = new TreeMap<>();

	private String path = "/v1/completions";

	private @Nullable String query;

	private String body = "{\"prompt\":\"cuota\"}";

	private final boolean exposed;

	RequestText(String key, Random random) {
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
				this.query = "key=" + percent(key);
			}
			case 2 -> this.headers.put("User-Agent", "client " + key);
			case 3 -> {
				this.body = "{\"prompt\":\"" + key + "\"}";
			}
			case 4 -> {
				this.body = "{\"prompt\":\"" + escaped(key) + "\"}";
			}
			case 5 -> {
				this.body = "prompt=" + percent(key);
			}
			default -> {
				this.query = null;
			}
		}
	}

	/** Tells whether the key is in a place that an endpoint would see. */
	boolean isExposed() {
		return this.exposed;
	}

	/** Returns all that the endpoint sees, or nothing where the request is refused. */
	List<String> toEndpoint(Variant variant) {
		if (KeyHiding.exposes(this.key, this.path, this.query, this.headers,
				this.body.getBytes(StandardCharsets.UTF_8))) {
			return List.of();
		}
		Collection<String> seen = ((variant == Variant.ALL_HEADERS) ? this.headers : KeyHiding.toEndpoint(this.headers))
			.values();
		return List.of(this.path, String.valueOf(this.query), this.body, String.join("\n", seen));
	}

	/** Tells whether a text holds the key in any of the forms that are sent here. */
	boolean isIn(String text) {
		return text.contains(this.key) || text.contains(percent(this.key)) || text.contains(escaped(this.key));
	}

	private static String percent(String text) {
		StringBuilder encoded = new StringBuilder();
		text.chars().forEach((character) -> encoded.append('%').append(String.format(HEX, character)));
		return encoded.toString();
	}

	private static String escaped(String text) {
		StringBuilder encoded = new StringBuilder();
		text.chars().forEach((character) -> encoded.append("\\u00").append(String.format(HEX, character)));
		return encoded.toString();
	}

}
