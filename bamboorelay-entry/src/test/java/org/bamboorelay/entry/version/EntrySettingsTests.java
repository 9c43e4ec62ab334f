package org.bamboorelay.entry.version;

import java.util.List;

import io.vavr.control.Either;
import org.bamboorelay.runtime.version.SettingsFailure;
import org.bamboorelay.runtime.version.SettingsReader;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Guards against a process that starts with invalid settings, and against an operator
 * token disclosed in an error message.
 */
class EntrySettingsTests {

	private static final String VALID = """
			deployment = "huerto"
			host = "gt-a-1"
			failure_domain = "gt-centro-a"
			http_address = "127.0.0.1:8080"
			peer_address = "127.0.0.1:9000"
			object_api_address = "127.0.0.1:9001"
			operator_token = "operator-secret"
			leave_delay = "0ms"
			peer_addresses = ["127.0.0.1:9002"]
			""";

	@Test
	void validSettingsAreAccepted() {
		assertThat(read(VALID).isRight()).isTrue();
	}

	@Test
	void eachInvalidSettingIsReportedWithLineKeyAndValue() {
		String invalid = VALID.replace("gt-a-1", "Bad Host")
			.replace("127.0.0.1:8080", "localhost:80")
			.replace("\"0ms\"", "-1")
			.replace("127.0.0.1:9002", "127.0.0.1:70000");
		assertThat(read(invalid).getLeft()).extracting(SettingsFailure::detail)
			.hasSize(4)
			.anyMatch((detail) -> detail.startsWith("entry.toml:2: host: found \"Bad Host\""))
			.anyMatch((detail) -> detail.startsWith("entry.toml:4: http_address: found \"localhost:80\""))
			.anyMatch((detail) -> detail.startsWith("entry.toml:8: leave_delay: found \"-1\""))
			.anyMatch((detail) -> detail.startsWith("entry.toml:9: peer_addresses[0]: found \"127.0.0.1:70000\""));
	}

	@Test
	void shortTokenIsReportedByLineWithoutItsValue() {
		assertThat(read(VALID.replace("operator-secret", "short")).getLeft()).extracting(SettingsFailure::detail)
			.singleElement()
			.asString()
			.startsWith("entry.toml:7: operator_token:")
			.contains("at least 8 characters")
			.doesNotContain("short");
	}

	private static Either<List<SettingsFailure>, EntrySettings> read(String text) {
		return SettingsReader.parse("entry.toml", text, EntrySettings.class);
	}

}
