package org.bamboorelay.entry.version;

import java.util.List;

import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Guards against a process that starts with settings it cannot use, and against the
 * operator token in a message.
 */
class EntrySettingsTests {

	@Test
	void goodSettingsHaveNoFaults() {
		assertThat(settings("gt-a-1", "127.0.0.1:8080", "operator-secret", 0).faults()).isEmpty();
	}

	@Test
	void eachFaultNamesItsKeyAndValue() {
		assertThat(settings("Bad Host", "localhost:80", "short", -1).faults()).extracting((fault) -> fault.detail())
			.hasSize(4)
			.anyMatch((detail) -> detail.startsWith("host: found \"Bad Host\""))
			.anyMatch((detail) -> detail.startsWith("http_address: found \"localhost:80\""))
			.anyMatch((detail) -> detail.startsWith("leave_delay_ms: found \"-1\""))
			.noneMatch((detail) -> detail.contains("short"));
		assertThat(settings("gt-a-1", "127.0.0.1:70000", "operator-secret", 0).faults()).hasSize(1);
	}

	private static EntrySettings settings(String host, String http, String token, long delay) {
		return new EntrySettings("huerto", host, "gt-centro-a", http, "127.0.0.1:9000", "127.0.0.1:9001", token, delay,
				List.of("127.0.0.1:9002"));
	}

}
