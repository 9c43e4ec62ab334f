package org.bamboorelay.host.process;

import org.bamboorelay.core.request.HedgingSettings;
import org.bamboorelay.runtime.version.SettingsFailure;
import org.bamboorelay.runtime.version.SettingsReader;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests of {@link HostOptions}: a wrong value must prevent the start with the field, the
 * value and the bound, and an absent table must leave its part off.
 */
class HostOptionsTests {

	@Test
	void requestsAreNotHedgedWithoutATable() {
		assertThat(SettingsReader.parse("f", "", HostOptions.class).get()).isEqualTo(HostOptions.DEFAULTS);
	}

	@Test
	void allButTheBudgetHasDefaults() {
		HedgingSettings hedging = SettingsReader.parse("f", "[hedging]\nbudget = 0.05\n", HostOptions.class)
			.get()
			.hedging();
		assertThat(hedging).hasToString("HedgingSettings[budget=0.05, quantile=0.95, minDelayMillis=10, routes=[]]");
		assertThat(SettingsReader
			.parse("f", "[hedging]\nbudget = 1\nquantile = 0.9\nmin_delay = \"30ms\"\nroutes = [\"a\"]\n",
					HostOptions.class)
			.get()
			.hedging()).hasToString("HedgingSettings[budget=1.0, quantile=0.9, minDelayMillis=30, routes=[a]]");
	}

	@ParameterizedTest
	@CsvSource(delimiter = '|', value = { "budget = -0.1 | hedging.budget must be at least 0 and at most 1: -0.1",
			"budget = 1.5 | hedging.budget must be at least 0 and at most 1: 1.5",
			"budget = 1 ; quantile = 1 | hedging.quantile must be at least 0.5 and at most 0.999: 1.0",
			"budget = 1 ; min_delay = \"0ms\" | hedging.min_delay must be at least 1 ms and at most 60000 ms: 0",
			"quantile = 0.9 | hedging.budget: found \"nothing\"" })
	void valueOutsideOfItsBoundsIsNamed(String lines, String expected) {
		SettingsFailure failure = SettingsReader
			.parse("f", "[hedging]\n" + lines.replace(" ; ", "\n") + "\n", HostOptions.class)
			.getLeft()
			.get(0);
		assertThat(failure.detail()).contains(expected);
		assertThat(failure.key()).startsWith("hedging.");
	}

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
