package org.bamboorelay.core.version;

import java.io.IOException;
import java.io.UncheckedIOException;

import com.fasterxml.jackson.annotation.JsonInclude;
import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.core.util.JsonRecyclerPools;
import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.PropertyNamingStrategies;
import com.fasterxml.jackson.databind.SerializationFeature;
import com.fasterxml.jackson.databind.json.JsonMapper;
import io.vavr.control.Option;

/**
 * JSON mapping of the values that are kept in the object store: property names in snake
 * case, map entries sorted by key.
 * <p>
 * Stateless and thread-safe.
 */
public final class CoreJson {

	/**
	 * Maximum number of unused sets of buffers that the mapper keeps. By default each
	 * thread keeps one, with blocks of up to 128 kB after large values, which exhausted
	 * the heap of hosts with several hundred threads.
	 */
	private static final int MAX_UNUSED_BUFFERS = 16;

	private static final ObjectMapper MAPPER = JsonMapper
		.builder(JsonFactory.builder().recyclerPool(JsonRecyclerPools.newBoundedPool(MAX_UNUSED_BUFFERS)).build())
		.propertyNamingStrategy(PropertyNamingStrategies.SNAKE_CASE)
		.enable(DeserializationFeature.FAIL_ON_NULL_FOR_PRIMITIVES)
		.enable(SerializationFeature.ORDER_MAP_ENTRIES_BY_KEYS)
		.defaultPropertyInclusion(
				JsonInclude.Value.construct(JsonInclude.Include.NON_NULL, JsonInclude.Include.NON_NULL))
		.build();

	private CoreJson() {
	}

	/**
	 * Returns the mapper, for readers that need its full interface. It rejects unknown
	 * properties.
	 * @return the shared mapper, which must not be reconfigured
	 */
	public static ObjectMapper mapper() {
		return MAPPER;
	}

	/**
	 * Serializes a value.
	 * @param value the value
	 * @return the JSON text in UTF-8
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
	 * Parses a value.
	 * @param <T> the type of the value
	 * @param body the JSON text in UTF-8
	 * @param type the type
	 * @return the value, or none if the body is not a valid value of the type
	 */
	public static <T> Option<T> read(byte[] body, Class<T> type) {
		try {
			return Option.of(MAPPER.readValue(body, type));
		}
		catch (IOException | IllegalArgumentException ex) {
			return Option.none();
		}
	}

}
