package org.bamboorelay.runtime.version;

import java.lang.reflect.ParameterizedType;
import java.lang.reflect.RecordComponent;
import java.lang.reflect.Type;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.HashSet;
import java.util.List;
import java.util.Locale;
import java.util.Optional;
import java.util.Set;
import java.util.regex.Pattern;

import com.fasterxml.jackson.annotation.JsonProperty;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.LongNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import com.fasterxml.jackson.databind.node.TextNode;
import org.jspecify.annotations.Nullable;

/**
 * Validates a TOML tree against a record type and collects all errors with their paths.
 * <p>
 * A component whose name ends in {@code Millis} is read from the key without that suffix,
 * as a duration with a unit. A component with a {@link JsonProperty} is read from the key
 * that the annotation names, because some keys are reserved words in Java. Lists are
 * optional and empty by default; other components are required unless they are
 * {@code @Nullable}. Enum constants are written in lower case with hyphens.
 * <p>
 * Not thread-safe.
 */
final class TomlRecordChecker {

	private static final String MILLIS_SUFFIX = "Millis";

	/** Paths of keys that contain an address or a list of addresses. */
	private static final Pattern ADDRESS_PATH = Pattern.compile("address(es\\[\\d+])?$");

	private final ObjectMapper mapper;

	private final String file;

	private final TomlLineIndex lines;

	private final List<SettingsFailure> failures = new ArrayList<>();

	TomlRecordChecker(ObjectMapper mapper, String file, TomlLineIndex lines) {
		this.mapper = mapper;
		this.file = file;
		this.lines = lines;
	}

	/**
	 * Returns the errors found so far.
	 * @return the errors, in the order of the record components
	 */
	List<SettingsFailure> failures() {
		return this.failures;
	}

	/**
	 * Validates a table against a record type.
	 * @param table the table
	 * @param type the record type
	 * @param path path of the table; empty for the root table
	 * @return the table with the property names and units of the JSON form of the record
	 */
	ObjectNode check(JsonNode table, Class<?> type, String path) {
		ObjectNode result = JsonNodeFactory.instance.objectNode();
		if (!table.isObject()) {
			addFailure(path, table.toString(), "a table");
			return result;
		}
		Set<String> knownKeys = new HashSet<>();
		for (RecordComponent component : type.getRecordComponents()) {
			String key = key(component);
			knownKeys.add(key);
			checkComponent(table, component, key, path, result);
		}
		table.fieldNames().forEachRemaining((name) -> {
			if (!knownKeys.contains(name)) {
				addFailure(join(path, name), table.get(name).toString(), "one of the keys " + sorted(knownKeys));
			}
		});
		return result;
	}

	private void checkComponent(JsonNode table, RecordComponent component, String key, String path, ObjectNode result) {
		JsonNode value = table.get(key);
		String valuePath = join(path, key);
		String property = (named(component) != null) ? key : toSnakeCase(component.getName());
		if (value != null) {
			JsonNode checked = isDuration(component) ? duration(value, valuePath)
					: checkValue(value, component.getGenericType(), valuePath);
			result.set(property, checked);
		}
		else if (List.class.equals(component.getType())) {
			result.set(property, JsonNodeFactory.instance.arrayNode());
		}
		else if (!component.getAnnotatedType().isAnnotationPresent(Nullable.class)) {
			addFailure(valuePath, "nothing", "a value, because this key is required");
		}
	}

	private JsonNode checkValue(JsonNode value, Type type, String path) {
		if (type instanceof ParameterizedType list) {
			return checkList(value, list.getActualTypeArguments()[0], path);
		}
		Class<?> raw = (Class<?>) type;
		if (raw.isRecord() && value.isObject()) {
			return check(value, raw, path);
		}
		if (raw.isEnum()) {
			return checkEnum(value, raw, path);
		}
		if (raw == int.class || raw == long.class) {
			return expect(value, value.canConvertToExactIntegral() && value.canConvertToLong(), path, "a whole number");
		}
		if (raw == double.class || raw == Double.class) {
			return expect(value, value.isNumber(), path, "a number");
		}
		if (raw == boolean.class) {
			return expect(value, value.isBoolean(), path, "true or false");
		}
		return checkText(value, raw, path);
	}

	private JsonNode checkList(JsonNode value, Type element, String path) {
		ArrayNode result = JsonNodeFactory.instance.arrayNode();
		if (!value.isArray()) {
			return expect(value, false, path, "a list");
		}
		for (int i = 0; i < value.size(); i++) {
			result.add(checkValue(value.get(i), element, path + "[" + i + "]"));
		}
		return result;
	}

	private JsonNode checkEnum(JsonNode value, Class<?> type, String path) {
		List<String> allowed = Arrays.stream(type.getEnumConstants())
			.map((constant) -> ((Enum<?>) constant).name().toLowerCase(Locale.ROOT).replace('_', '-'))
			.toList();
		if (!value.isTextual() || !allowed.contains(value.asText())) {
			return expect(value, false, path, "one of " + allowed);
		}
		return TextNode.valueOf(value.asText().toUpperCase(Locale.ROOT).replace('-', '_'));
	}

	private JsonNode checkText(JsonNode value, Class<?> type, String path) {
		if (!value.isTextual()) {
			return expect(value, false, path, "a quoted string");
		}
		if (ADDRESS_PATH.matcher(path).find() && !isAddress(value.asText())) {
			return expect(value, false, path, "an IPv4 address and a port, such as 127.0.0.1:8080");
		}
		try {
			this.mapper.convertValue(value, type);
		}
		catch (IllegalArgumentException ex) {
			Throwable cause = (ex.getCause() != null && ex.getCause().getCause() != null) ? ex.getCause().getCause()
					: ex;
			addFailure(path, value.asText(), String.valueOf(cause.getMessage()));
		}
		return value;
	}

	private JsonNode duration(JsonNode value, String path) {
		Optional<Long> millis = value.isTextual() ? DurationText.parseMillis(value.asText()) : Optional.empty();
		if (millis.isEmpty()) {
			return expect(value, false, path, DurationText.ALLOWED);
		}
		return LongNode.valueOf(millis.get());
	}

	private JsonNode expect(JsonNode value, boolean ok, String path, String allowed) {
		if (!ok) {
			addFailure(path, value.isTextual() ? value.asText() : value.toString(), allowed);
		}
		return value;
	}

	private void addFailure(String path, String found, String allowed) {
		this.failures.add(new SettingsFailure(this.file, this.lines.line(path), path, found, allowed));
	}

	private static boolean isAddress(String text) {
		if (!text.matches("\\d{1,3}(\\.\\d{1,3}){3}:\\d{1,5}")) {
			return false;
		}
		String[] parts = text.split("[.:]");
		return Arrays.stream(parts, 0, 4).allMatch((part) -> Integer.parseInt(part) <= 255)
				&& Integer.parseInt(parts[4]) <= 65_535;
	}

	private static boolean isDuration(RecordComponent component) {
		return component.getName().endsWith(MILLIS_SUFFIX);
	}

	private static String key(RecordComponent component) {
		String name = component.getName();
		JsonProperty named = named(component);
		if (named != null) {
			return named.value();
		}
		return toSnakeCase(isDuration(component) ? name.substring(0, name.length() - MILLIS_SUFFIX.length()) : name);
	}

	private static @Nullable JsonProperty named(RecordComponent component) {
		return component.getAccessor().getAnnotation(JsonProperty.class);
	}

	private static String toSnakeCase(String name) {
		return name.replaceAll("([A-Z])", "_$1").toLowerCase(Locale.ROOT);
	}

	private static String join(String path, String key) {
		return path.isEmpty() ? key : path + "." + key;
	}

	private static List<String> sorted(Set<String> names) {
		return names.stream().sorted().toList();
	}

}
