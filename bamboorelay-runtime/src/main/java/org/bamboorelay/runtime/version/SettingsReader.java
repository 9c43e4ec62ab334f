package org.bamboorelay.runtime.version;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.JsonMappingException;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.PropertyNamingStrategies;
import com.fasterxml.jackson.dataformat.toml.TomlMapper;
import io.vavr.control.Either;

/**
 * Reads TOML settings into a record. Keys are in snake case; an unknown or missing key is
 * a failure.
 * <p>
 * Stateless and thread-safe.
 */
public final class SettingsReader {

	private static final ObjectMapper MAPPER = TomlMapper.builder()
		.propertyNamingStrategy(PropertyNamingStrategies.SNAKE_CASE)
		.enable(DeserializationFeature.FAIL_ON_UNKNOWN_PROPERTIES)
		.enable(DeserializationFeature.FAIL_ON_MISSING_CREATOR_PROPERTIES)
		.enable(DeserializationFeature.FAIL_ON_NULL_FOR_PRIMITIVES)
		.build();

	private SettingsReader() {
	}

	/**
	 * Reads a file.
	 * @param <T> type of the settings
	 * @param file the file
	 * @param type a record whose constructor checks its values
	 * @return the settings, or what is wrong with the file
	 */
	public static <T> Either<SettingsFailure, T> read(Path file, Class<T> type) {
		try {
			return Either.right(MAPPER.readValue(Files.readAllBytes(file), type));
		}
		catch (JsonMappingException ex) {
			return Either
				.left(new SettingsFailure(file.toString(), 0, ex.getPathReference(), "", ex.getOriginalMessage()));
		}
		catch (JsonProcessingException ex) {
			int line = (ex.getLocation() != null) ? ex.getLocation().getLineNr() : 0;
			return Either.left(new SettingsFailure(file.toString(), line, "", "", ex.getOriginalMessage()));
		}
		catch (IOException ex) {
			return Either.left(new SettingsFailure(file.toString(), 0, "", "", "a readable file"));
		}
	}

}
