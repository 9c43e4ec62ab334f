package org.bamboorelay.runtime.request;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.charset.StandardCharsets;

import com.fasterxml.jackson.annotation.JsonInclude;
import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.PropertyNamingStrategies;
import com.fasterxml.jackson.databind.SerializationFeature;
import com.fasterxml.jackson.databind.json.JsonMapper;
import io.vavr.control.Either;

/**
 * JSON as written between our programs and towards callers: snake case, sorted map keys.
 * Unknown properties are an error.
 * <p>
 * Stateless and thread-safe.
 */
public final class Json {

	/** The shared mapper. */
	public static final ObjectMapper MAPPER = JsonMapper.builder()
		.propertyNamingStrategy(PropertyNamingStrategies.SNAKE_CASE)
		.enable(DeserializationFeature.FAIL_ON_UNKNOWN_PROPERTIES)
		.enable(DeserializationFeature.FAIL_ON_NULL_FOR_PRIMITIVES)
		.enable(SerializationFeature.ORDER_MAP_ENTRIES_BY_KEYS)
		.defaultPropertyInclusion(
				JsonInclude.Value.construct(JsonInclude.Include.NON_NULL, JsonInclude.Include.NON_NULL))
		.build();

	private Json() {
	}

	/**
	 * Writes a value.
	 * @param value the value
	 * @return bytes in UTF-8
	 */
	public static byte[] bytes(Object value) {
		try {
			return MAPPER.writeValueAsBytes(value);
		}
		catch (JsonProcessingException ex) {
			throw new UncheckedIOException(ex);
		}
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
