package org.bamboorelay.runtime.request;

import java.io.IOException;
import java.nio.charset.StandardCharsets;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import io.vavr.control.Either;
import org.bamboorelay.core.version.CoreJson;

/**
 * JSON as written between our programs and towards callers: snake case, sorted map keys.
 * Unknown properties are an error.
 * <p>
 * Stateless and thread-safe.
 */
public final class Json {

	/** The shared mapper. */
	public static final ObjectMapper MAPPER = CoreJson.mapper();

	private Json() {
	}

	/**
	 * Writes a value.
	 * @param value the value
	 * @return bytes in UTF-8
	 */
	public static byte[] bytes(Object value) {
		return CoreJson.bytes(value);
	}

	/**
	 * Writes a value on one line.
	 * @param value the value
	 * @return the text
	 */
	public static String text(Object value) {
		return new String(bytes(value), StandardCharsets.UTF_8);
	}

	/**
	 * Reads a value of a type.
	 * @param <T> type of the value
	 * @param body bytes in UTF-8
	 * @param type the type
	 * @return the value, or what is wrong with the body
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
	 * Reads a tree.
	 * @param body bytes in UTF-8
	 * @return the tree, or what is wrong with the body
	 */
	public static Either<JsonFailure, JsonNode> tree(byte[] body) {
		return read(body, JsonNode.class);
	}

}
