package org.bamboorelay.standins.connection;

import java.util.Map;
import java.util.Objects;
import java.util.TreeMap;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.IntNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.vavr.control.Option;

/**
 * Faults that are switched on, by name. The value of a fault is any JSON value. An object
 * may have a field {@code match}, which limits the fault to keys with this prefix.
 * <p>
 * Thread-safe.
 */
public final class Faults {

	private final Map<String, JsonNode> values = new TreeMap<>();

	/**
	 * Switches a fault on, or changes its value.
	 * @param name the name
	 * @param value the value
	 */
	public synchronized void put(String name, JsonNode value) {
		this.values.put(Objects.requireNonNull(name, "name"), Objects.requireNonNull(value, "value"));
	}

	/**
	 * Switches a fault off.
	 * @param name the name
	 * @return whether it was on
	 */
	public synchronized boolean remove(String name) {
		return this.values.remove(name) != null;
	}

	/**
	 * Returns the faults that are on.
	 * @return a copy
	 */
	public synchronized Map<String, JsonNode> all() {
		return new TreeMap<>(this.values);
	}

	/**
	 * Returns the value of a fault.
	 * @param name the name
	 * @param key the key of the request
	 * @return the value, none where the fault is off or does not match the key
	 */
	public synchronized Option<JsonNode> value(String name, String key) {
		JsonNode value = this.values.get(name);
		if (value == null || isFalse(value) || !key.startsWith(value.path("match").asText(""))) {
			return Option.none();
		}
		return Option.of(value);
	}

	/**
	 * Tells whether a fault that knows no key is on.
	 * @param name the name
	 * @return whether it is on
	 */
	public synchronized boolean isOn(String name) {
		JsonNode value = this.values.get(name);
		return value != null && !isFalse(value);
	}

	/**
	 * Takes one occurrence of a counted fault. The fault goes off with the last one.
	 * @param name the name; its value is a number, an object with the number in
	 * {@code n}, or true for a fault that stays on
	 * @param key the key of the request
	 * @return whether the fault happens now
	 */
	public synchronized boolean takeOne(String name, String key) {
		Option<JsonNode> value = value(name, key);
		if (value.isEmpty()) {
			return false;
		}
		if (value.get().isBoolean()) {
			return true;
		}
		long left = number(value.get(), "n", 1) - 1;
		if (left <= 0) {
			this.values.remove(name);
		}
		else if (value.get() instanceof ObjectNode object) {
			this.values.put(name, object.deepCopy().put("n", left));
		}
		else {
			this.values.put(name, IntNode.valueOf((int) left));
		}
		return true;
	}

	/**
	 * Reads the number of a fault.
	 * @param value a number, or an object
	 * @param field the field of the object that holds the number
	 * @param otherwise returned where there is no number
	 * @return the number
	 */
	public static long number(JsonNode value, String field, long otherwise) {
		return value.isObject() ? value.path(field).asLong(otherwise) : value.asLong(otherwise);
	}

	private static boolean isFalse(JsonNode value) {
		return value.isBoolean() && !value.booleanValue();
	}

}
