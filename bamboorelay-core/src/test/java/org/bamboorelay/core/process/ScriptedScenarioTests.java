package org.bamboorelay.core.process;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.stream.Stream;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatIllegalArgumentException;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

/**
 * Guards against the failures that the scripts describe, and, by comparison of the
 * transcripts with golden files, against any change in what is sent.
 */
class ScriptedScenarioTests {

	private static final Path DIRECTORY = Path.of("src", "test", "resources", "scenarios");

	private static final int CONTROL_COUNT = 2;

	static Stream<Path> scripts() throws IOException {
		try (Stream<Path> files = Files.list(DIRECTORY)) {
			return files.filter((file) -> file.toString().endsWith(".scenario")).sorted().toList().stream();
		}
	}

	@ParameterizedTest
	@MethodSource("scripts")
	void scriptMeetsItsExpectationsAndTranscriptEqualsTheGoldenFile(Path file) throws IOException {
		ScenarioScript script = ScenarioScript.parse(Files.readAllLines(file));
		ScenarioWorld world = new ScenarioWorld(CONTROL_COUNT);
		script.run(world);
		assertThat(world.fact("violations", List.of())).isEqualTo("0");
		Path golden = Path.of(file.toString().replace(".scenario", ".golden.jsonl"));
		if (Boolean.getBoolean("golden.rewrite")) {
			Files.writeString(golden, world.transcript());
		}
		assertThat(golden).as("rewritten by -Dgolden.rewrite=true").exists();
		assertThat(world.transcript().lines()).containsExactlyElementsOf(Files.readAllLines(golden));
	}

	@Test
	void everyGoldenFileHasAScript() throws IOException {
		try (Stream<Path> files = Files.list(DIRECTORY)) {
			assertThat(files.filter((file) -> file.toString().endsWith(".golden.jsonl")))
				.hasSize((int) scripts().count())
				.allMatch((file) -> Files.exists(Path.of(file.toString().replace(".golden.jsonl", ".scenario"))));
		}
	}

	@Test
	void invalidLinesAreReportedWithTheirLineNumber() {
		assertThatIllegalArgumentException().isThrownBy(() -> ScenarioScript.parse(List.of("at 1 do x")))
			.withMessageContaining("line 1");
		assertThatIllegalArgumentException().isThrownBy(() -> ScenarioScript.parse(List.of("# x", "when 1 do x")))
			.withMessageContaining("line 2: when 1 do x");
		assertThatIllegalArgumentException()
			.isThrownBy(() -> ScenarioScript.parse(List.of("# x", "at 5 do x", "at 4 do x")))
			.withMessageContaining("time goes back from 5");
		assertThatIllegalArgumentException()
			.isThrownBy(() -> ScenarioScript.parse(List.of("# x", "at 0 do no-such-verb")).run(new ScenarioWorld(1)))
			.withMessageContaining("no-such-verb");
		assertThatThrownBy(() -> ScenarioScript.parse(List.of("# x", "expect orders 7")).run(new ScenarioWorld(1)))
			.isInstanceOf(AssertionError.class)
			.hasMessage("line 2: expect orders 7: found 0");
	}

}
