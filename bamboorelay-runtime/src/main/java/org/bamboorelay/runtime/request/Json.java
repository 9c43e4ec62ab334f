package org.bamboorelay.runtime.request;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.function.Consumer;

import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.core.JsonToken;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
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
		catch (IOException ex) {
			return Either.left(failure(ex));
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

	/**
	 * Parses an object with an array of many elements. The tree of an element may occupy
	 * many times its length in memory, so the elements are parsed one after the other.
	 * @param body the JSON text in UTF-8
	 * @param array the name of the array
	 * @param consumer receives each element of the array
	 * @return the other properties of the object, or a failure that describes the error
	 * in the body; elements before the error have been passed to the consumer
	 */
	public static Either<JsonFailure, JsonNode> forEachElement(byte[] body, String array, Consumer<JsonNode> consumer) {
		ObjectNode others = MAPPER.createObjectNode();
		try (JsonParser parser = MAPPER.createParser(body)) {
			if (parser.nextToken() != JsonToken.START_OBJECT) {
				return Either.left(new JsonFailure("the value is not an object"));
			}
			for (String name = parser.nextFieldName(); name != null; name = parser.nextFieldName()) {
				if (parser.nextToken() == JsonToken.START_ARRAY && name.equals(array)) {
					while (parser.nextToken() != JsonToken.END_ARRAY) {
						consumer.accept(MAPPER.readTree(parser));
					}
				}
				else {
					others.set(name, MAPPER.readTree(parser));
				}
			}
			return Either.right(others);
		}
		catch (IOException ex) {
			return Either.left(failure(ex));
		}
	}

	private static JsonFailure failure(IOException ex) {
		return new JsonFailure((ex instanceof JsonProcessingException processing) ? processing.getOriginalMessage()
				: String.valueOf(ex.getMessage()));
	}

}
