package org.bamboorelay.runtime.request;

import java.io.IOException;
import java.nio.charset.StandardCharsets;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import io.vavr.control.Either;
import org.bamboorelay.core.version.CoreJson;

/**
 * JSON mapping of bodies exchanged between processes and with callers: property names in
 * snake case, map entries sorted by key. Unknown properties are rejected.
 * <p>
 * Stateless and thread-safe.
 */
public final class Json {

	/** The shared mapper. */
	public static final ObjectMapper MAPPER = CoreJson.mapper();

	private Json() {
	}

	/**
	 * Serializes a value.
	 * @param value the value
	 * @return the JSON text in UTF-8
	 */
	public static byte[] bytes(Object value) {
		return CoreJson.bytes(value);
	}

	/**
	 * Serializes a value to a single line.
	 * @param value the value
	 * @return the JSON text
	 */
	public static String text(Object value) {
		return new String(bytes(value), StandardCharsets.UTF_8);
	}

	/**
	 * Parses a value.
	 * @param <T> the type of the value
	 * @param body the JSON text in UTF-8
	 * @param type the type
	 * @return the value, or a failure that describes the error in the body
	 */
	public static <T> Either<JsonFailure, T> read(byte[] body, Class<T> type) {
		try {
			T value = MAPPER.readValue(body, type);
			if (value == null) {
				return Either.left(new JsonFailure("the value is null"));
			}
			return Either.right(value);
		}
		catch (JsonProcessingException ex) {
			return Either.left(new JsonFailure(ex.getOriginalMessage()));
		}
		catch (IOException ex) {
			return Either.left(new JsonFailure(String.valueOf(ex.getMessage())));
		}
	}

	/**
	 * Parses a tree.
	 * @param body the JSON text in UTF-8
	 * @return the tree, or a failure that describes the error in the body
	 */
	public static Either<JsonFailure, JsonNode> tree(byte[] body) {
		return read(body, JsonNode.class);
	}

}
