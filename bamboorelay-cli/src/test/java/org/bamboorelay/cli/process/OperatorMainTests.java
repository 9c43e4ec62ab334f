package org.bamboorelay.cli.process;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests the exit codes and messages on which scripts and operators rely.
 */
class OperatorMainTests {

	private static final Path SAMPLE = Path.of("..", "config", "parcela-viva");

	private final ByteArrayOutputStream out = new ByteArrayOutputStream();

	private final ByteArrayOutputStream err = new ByteArrayOutputStream();

	@Test
	void checkAcceptsSampleDeployment() {
		assertThat(run("check", SAMPLE.resolve("inventory.toml").toString(), SAMPLE.resolve("rules.toml").toString()))
			.isEqualTo(ExitCode.OK);
	}

	@Test
	void unknownServiceOfWorkspaceIsReportedWithLineNumber(@TempDir Path folder) throws IOException {
		Path inventory = folder.resolve("inventory.toml");
		String text = Files.readString(SAMPLE.resolve("inventory.toml"));
		Files.writeString(inventory, text.replaceFirst("services = \\[\"cuotas-app\"]", "services = [\"cuotas\"]"));
		assertThat(run("check", inventory.toString(), SAMPLE.resolve("rules.toml").toString()))
			.isEqualTo(ExitCode.INVALID);
		int line = (int) Files.readString(inventory)
			.lines()
			.takeWhile((present) -> !present.contains("\"cuotas\""))
			.count() + 1;
		assertThat(this.err.toString(StandardCharsets.UTF_8)).isEqualToIgnoringNewLines(inventory + ":" + line
				+ ": workspaces.services: found \"cuotas\", allowed: one of [modelo-huerto, cuotas-app]");
	}

	@Test
	void eachInvalidPriorityIsReportedWithLineNumber(@TempDir Path folder) throws IOException {
		Path rules = folder.resolve("rules.toml");
		String sample = Files.readString(SAMPLE.resolve("rules.toml"));
		Files.writeString(rules, sample.substring(sample.indexOf("[[staleness]]")) + """

				[[priorities]]
				workspace = "huertos-peten"
				service = "cuotas"
				level = 10
				[[priorities]]
				workspace = "huertos-norte"
				level = 4
				[[priorities]]
				workspace = "huertos-peten"
				class = "rollout"
				level = 4
				""");
		String inventory = SAMPLE.resolve("inventory.toml").toString();
		assertThat(run("check", inventory, rules.toString())).isEqualTo(ExitCode.INVALID);
		int line = (int) Files.readString(rules).lines().count();
		String peten = "priorities[2]: found \"huertos-peten\", allowed: one rule for the same requests; priorities[0]";
		assertThat(this.err.toString(StandardCharsets.UTF_8)).containsSubsequence(
				(line - 8) + ": priorities[0].service: found \"cuotas\", allowed: one of [modelo-huerto, cuotas-app]",
				(line - 7) + ": priorities[0].level: found \"10\", allowed: a whole number from 0 to 9",
				(line - 5) + ": priorities[1].workspace: found \"huertos-norte\"", (line - 3) + ": " + peten);
		Files.writeString(rules, Files.readString(rules).replace("\"rollout\"", "\"batch\""));
		run("check", inventory, rules.toString());
		assertThat(this.err.toString(StandardCharsets.UTF_8))
			.contains((line - 1) + ": priorities[2].class: found \"batch\", allowed: one of [interactive, rollout]");
	}

	@Test
	void unknownCommandIsInvalid(@TempDir Path folder) throws IOException {
		Path settings = folder.resolve("operator.toml");
		Files.writeString(settings, """
				object_api_address = "127.0.0.1:1"
				entry_addresses = []
				operator_token = "operator"
				""");
		assertThat(run("--settings", settings.toString(), "remove")).isEqualTo(ExitCode.INVALID);
		assertThat(this.err.toString(StandardCharsets.UTF_8)).contains("\"remove\"");
	}

	@Test
	void unreachableStoreIsFailure(@TempDir Path folder) throws IOException {
		Path settings = folder.resolve("operator.toml");
		Files.writeString(settings, """
				object_api_address = "127.0.0.1:1"
				entry_addresses = []
				operator_token = "operator"
				""");
		assertThat(run("--settings", settings.toString(), "--json", "show")).isEqualTo(ExitCode.FAILED);
		assertThat(this.out.toString(StandardCharsets.UTF_8)).contains("\"error\":\"store-unavailable\"");
	}

	private ExitCode run(String... args) {
		return OperatorMain.run(args, new PrintStream(this.out, true, StandardCharsets.UTF_8),
				new PrintStream(this.err, true, StandardCharsets.UTF_8));
	}

}
