package org.bamboorelay.runtime.version;

import java.util.List;

import org.bamboorelay.core.version.Inventory;
import org.bamboorelay.core.version.Rules;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.tuple;

/**
 * Guards against settings that are accepted although they contain errors. Each error must
 * state the file, the line, the key, the value found and the allowed values.
 */
class SettingsReaderTests {

	private static final String RULES = """
			[admission]
			max_queued = 100
			max_wait_interactive = "2s"
			max_wait_rollout = "5min"

			[usage]
			window = "1h"
			grace = "500ms"

			[isolation]
			when_isolated = "refuse"
			max_view_age = "4s"

			[policies]
			admission = "fair"
			routing = "affinity"
			ramp = "ramp"
			scaling = "demand"
			weights = "waves"
			stragglers = "resume"
			""";

	@Test
	void durationsWithUnitsAreParsed() {
		Rules rules = SettingsReader.parse("rules.toml", RULES, Rules.class).get();
		assertThat(rules.usage().windowMillis()).isEqualTo(3_600_000);
		assertThat(rules.usage().graceMillis()).isEqualTo(500);
		assertThat(rules.isolation().whenIsolated()).isEqualTo(Rules.WhenIsolated.REFUSE);
	}

	@Test
	void unknownKeyIsReportedWithLine() {
		assertThat(failures(RULES.replace("grace =", "grase ="), Rules.class)).anySatisfy((failure) -> {
			assertThat(failure.line()).isEqualTo(8);
			assertThat(failure.key()).isEqualTo("usage.grase");
			assertThat(failure.found()).contains("500ms");
			assertThat(failure.allowed()).contains("grace");
		});
	}

	@Test
	void invalidUnitIsReported() {
		SettingsFailure failure = failures(RULES.replace("\"4s\"", "\"4 seconds\""), Rules.class).get(0);
		assertThat(failure.detail()).isEqualTo("rules.toml:12: isolation.max_view_age: found \"4 seconds\", allowed: "
				+ "a whole number and a unit: ms, s, min or h");
	}

	@Test
	void numberWithoutUnitIsReported() {
		assertThat(failures(RULES.replace("\"1h\"", "3600"), Rules.class).get(0).found()).isEqualTo("3600");
	}

	@Test
	void missingTableIsReported() {
		SettingsFailure failure = failures(RULES.substring(0, RULES.indexOf("[policies]")), Rules.class).get(0);
		assertThat(failure.key()).isEqualTo("policies");
	}

	@Test
	void allErrorsOfFileAreReported() {
		String text = """
				deployment = "sample"
				[[failure_domains]]
				name = "A Domain"
				region = "r"
				[[hosts]]
				name = "h1"
				failure_domain = "a"
				http_address = "localhost:1"
				peer_address = "127.0.0.1:99999"
				""";
		assertThat(failures(text, Inventory.class)).extracting(SettingsFailure::line, SettingsFailure::key)
			.containsExactly(tuple(3, "failure_domains[0].name"), tuple(8, "hosts[0].http_address"),
					tuple(9, "hosts[0].peer_address"));
	}

	@Test
	void syntaxErrorIsReportedWithLine() {
		SettingsFailure failure = failures("deployment = \"x\"\nhosts = [\n", Inventory.class).get(0);
		assertThat(failure.allowed()).isEqualTo("valid TOML");
		assertThat(failure.found()).as("contains the invalid line").contains("in the line \"");
		assertThat(failure.line()).isGreaterThan(1);
	}

	private static List<SettingsFailure> failures(String text, Class<?> type) {
		return SettingsReader.parse("rules.toml", text, type).getLeft();
	}

}
