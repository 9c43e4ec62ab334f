package org.bamboorelay.runtime.version;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.dataformat.toml.TomlMapper;
import io.vavr.control.Either;
import org.bamboorelay.core.version.ConfigurationFault;
import org.bamboorelay.runtime.request.Json;

/**
 * Reads TOML files into records; see {@link TomlRecordChecker} for the mapping of keys
 * and values to record components. All errors of a file are reported together.
 * <p>
 * Stateless and thread-safe.
 */
public final class SettingsReader {

	/** Maximum size of a file, in bytes. */
	public static final long MAX_FILE_BYTES = 1_048_576;

	private static final TomlMapper TOML = new TomlMapper();

	private SettingsReader() {
	}

	/**
	 * Reads a file and reports the first error.
	 * @param <T> the type of the settings
	 * @param file the file
	 * @param type a record type whose constructor validates its values
	 * @return the settings, or the first error of the file
	 */
	public static <T> Either<SettingsFailure, T> read(Path file, Class<T> type) {
		return readAll(file, type).mapLeft((failures) -> failures.get(0));
	}

	/**
	 * Reads a file and reports all errors.
	 * @param <T> the type of the settings
	 * @param file the file
	 * @param type a record type whose constructor validates its values
	 * @return the settings, or all errors of the file
	 */
	public static <T> Either<List<SettingsFailure>, T> readAll(Path file, Class<T> type) {
		try {
			if (Files.size(file) > MAX_FILE_BYTES) {
				return failure(file, 1, "", Files.size(file) + " bytes", "at most " + MAX_FILE_BYTES + " bytes");
			}
			return parse(file.toString(), Files.readString(file, StandardCharsets.UTF_8), type);
		}
		catch (IOException ex) {
			return failure(file, 0, "", "no readable file", "a readable file in UTF-8");
		}
	}

	/**
	 * Parses a text.
	 * @param <T> the type of the settings
	 * @param name name of the text, for error messages
	 * @param text the TOML text
	 * @param type a record type whose constructor validates its values
	 * @return the settings, or all errors of the text
	 */
	public static <T> Either<List<SettingsFailure>, T> parse(String name, String text, Class<T> type) {
		JsonNode tree;
		try {
			tree = TOML.readTree(text);
		}
		catch (JsonProcessingException ex) {
			int line = (ex.getLocation() != null) ? ex.getLocation().getLineNr() : 0;
			String fault = text.lines().skip(Math.max(0, line - 1)).findFirst().map(String::strip).orElse("");
			return Either.left(List.of(new SettingsFailure(name, line, "",
					ex.getOriginalMessage() + " in the line \"" + fault + "\"", "valid TOML")));
		}
		TomlLineIndex lines = TomlLineIndex.of(text);
		TomlRecordChecker checker = new TomlRecordChecker(Json.MAPPER, name, lines);
		JsonNode checked = checker.check(tree, type, "");
		if (!checker.failures().isEmpty()) {
			return Either.left(List.copyOf(checker.failures()));
		}
		try {
			return Either.right(Json.MAPPER.treeToValue(checked, type));
		}
		catch (JsonProcessingException ex) {
			return Either.left(List.of(rejected(name, lines, message(ex))));
		}
	}

	/**
	 * Adds the position in a file to a fault that was detected after the file had been
	 * read.
	 * @param file the file
	 * @param fault the fault; its key may omit the indexes of tables
	 * @return the fault with its file and line
	 */
	public static SettingsFailure locate(Path file, ConfigurationFault fault) {
		int line = 0;
		try {
			TomlLineIndex lines = TomlLineIndex.of(Files.readString(file, StandardCharsets.UTF_8));
			line = fault.key().contains("[") ? lines.line(fault.key()) : lines.line(fault.key(), fault.found());
		}
		catch (IOException ex) {
			// The file was removed after it had been read; the fault is reported without
			// its line.
		}
		return new SettingsFailure(file.toString(), line, fault.key(), fault.found(), fault.allowed());
	}

	// Messages of record constructors start with the key to which they refer.
	private static SettingsFailure rejected(String name, TomlLineIndex lines, String message) {
		String key = message.split("[ :]", 2)[0];
		return new SettingsFailure(name, lines.line(key), key, "an invalid value", message);
	}

	private static String message(JsonProcessingException ex) {
		Throwable cause = (ex.getCause() != null) ? ex.getCause() : ex;
		return String.valueOf(cause.getMessage());
	}

	private static <T> Either<List<SettingsFailure>, T> failure(Path file, int line, String key, String found,
			String allowed) {
		return Either.left(List.of(new SettingsFailure(file.toString(), line, key, found, allowed)));
	}

}
