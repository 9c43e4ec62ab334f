package org.bamboorelay.load.process;

import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Guards against reading the wrong fields of /proc/pid/stat if the program name contains
 * spaces or parentheses.
 */
class ProcessUsageTests {

	@Test
	void programNameWithSpacesAndParenthesesIsSkipped() {
		ProcessUsage usage = ProcessUsage.parse("42 (a b) c) S 1 42 42 0 -1 0 0 0 0 0 150 50 0 0 20 0",
				"Name:\tx\nVmHWM:\t    2048 kB\nVmRSS:\t    1024 kB\n");
		assertThat(usage).isEqualTo(new ProcessUsage(2_000, 1_048_576, 2_097_152));
	}

}
