package org.bamboorelay.host.process;

import org.bamboorelay.runtime.version.SettingsReader;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests of {@link HostOptions}.
 */
class HostOptionsTests {

	@Test
	void absentTablesHaveDefaults() {
		HostOptions read = SettingsReader
			.parse("options", "[memory]\ncaller_share = 0.3\ntotal_share = 0.6\n", HostOptions.class)
			.get();
		assertThat(read.memoryOrDefault()).isEqualTo(new MemoryOptions(0.3, 0.6));
		assertThat(read.connectionsOrDefault()).isEqualTo(HostOptions.DEFAULTS.connectionsOrDefault());
	}

	@ParameterizedTest
	@CsvSource(delimiter = '|',
			textBlock = """
					[memory];caller_share = 0.95;total_share = 0.95 | memory.caller_share must be 0.05 to 0.9: 0.95
					[memory];caller_share = 0.5;total_share = 0.4 | memory.total_share must be caller_share to 0.9: 0.4
					[connections];max_connections = -1;min_body_bytes_per_second = 0;write_timeout = "1s" | connections.max_connections must not be negative: -1
					""")
	void invalidValuesAreNamedWithTheirBound(String text, String error) {
		assertThat(
				SettingsReader.parse("options", text.replace(';', '\n'), HostOptions.class).getLeft().get(0).detail())
			.contains(error);
	}

}
