package org.bamboorelay.standins.connection;

import java.util.Map;
import java.util.Objects;
import java.util.TreeMap;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.IntNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.vavr.control.Option;

/**
 * The active faults of a stand-in, by name. The value of a fault is any JSON value. An
 * object may have a field {@code match}, which restricts the fault to keys with this
 * prefix.
 * <p>
 * Thread-safe.
 */
public final class Faults {

	private final Map<String, JsonNode> values = new TreeMap<>();

	/**
	 * Activates a fault, or changes its value.
	 * @param name the name
	 * @param value the value
	 */
	public synchronized void activate(String name, JsonNode value) {
		this.values.put(Objects.requireNonNull(name, "name"), Objects.requireNonNull(value, "value"));
	}

	/**
	 * Deactivates a fault.
	 * @param name the name
	 * @return whether the fault was active
	 */
	public synchronized boolean deactivate(String name) {
		return this.values.remove(name) != null;
	}

	/**
	 * Returns the active faults.
	 * @return a copy
	 */
	public synchronized Map<String, JsonNode> activeFaults() {
		return new TreeMap<>(this.values);
	}

	/**
	 * Returns the value of a fault.
	 * @param name the name
	 * @param key the key of the request
	 * @return the value, or none if the fault is inactive or does not match the key
	 */
	public synchronized Option<JsonNode> value(String name, String key) {
		JsonNode value = this.values.get(name);
		if (value == null || isFalse(value) || !key.startsWith(value.path("match").asText(""))) {
			return Option.none();
		}
		return Option.of(value);
	}

	/**
	 * Tells whether a fault is active, regardless of the request key.
	 * @param name the name
	 * @return whether the fault is active
	 */
	public synchronized boolean isActive(String name) {
		JsonNode value = this.values.get(name);
		return value != null && !isFalse(value);
	}

	/**
	 * Consumes one occurrence of a counted fault. The last occurrence deactivates the
	 * fault.
	 * @param name the name; its value is a number, an object with the number in
	 * {@code n}, or true for a fault without a limit
	 * @param key the key of the request
	 * @return whether the fault applies to this request
	 */
	public synchronized boolean consume(String name, String key) {
		Option<JsonNode> value = value(name, key);
		if (value.isEmpty()) {
			return false;
		}
		if (value.get().isBoolean()) {
			return true;
		}
		long remaining = numberOf(value.get(), "n", 1) - 1;
		if (remaining <= 0) {
			this.values.remove(name);
		}
		else if (value.get() instanceof ObjectNode object) {
			this.values.put(name, object.deepCopy().put("n", remaining));
		}
		else {
			this.values.put(name, IntNode.valueOf((int) remaining));
		}
		return true;
	}

	/**
	 * Reads the numeric parameter of a fault.
	 * @param value the value of the fault: a number, or an object
	 * @param field the field of the object that holds the number
	 * @param defaultValue the number if the value holds none
	 * @return the number
	 */
	public static long numberOf(JsonNode value, String field, long defaultValue) {
		return value.isObject() ? value.path(field).asLong(defaultValue) : value.asLong(defaultValue);
	}

	private static boolean isFalse(JsonNode value) {
		return value.isBoolean() && !value.booleanValue();
	}

}
