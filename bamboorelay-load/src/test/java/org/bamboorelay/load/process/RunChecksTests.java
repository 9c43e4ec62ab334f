package org.bamboorelay.load.process;

import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Map;
import java.util.Set;

import com.fasterxml.jackson.databind.JsonNode;
import org.bamboorelay.runtime.request.Json;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Guards against checks that cannot fail: each sees its violation, and none without one.
 */
class RunChecksTests {

	@Test
	void namesSamplesThatCameTwiceOrWereLost() {
		assertThat(RunChecks.samples(Map.of("t/1", List.of("a", "b")), Map.of(), Map.of("t/1", 2))).isEmpty();
		assertThat(RunChecks.samples(Map.of("t/1", List.of("a", "a")), Map.of(), Map.of("t/1", 2))).singleElement()
			.asString()
			.startsWith("sample-twice");
		assertThat(RunChecks.samples(Map.of("t/1", List.of("a")), Map.of(), Map.of("t/1", 2))).singleElement()
			.asString()
			.startsWith("sample-lost");
		assertThat(RunChecks.samples(Map.of("t/1", List.of("a")), Map.of("t/1", 1), Map.of("t/1", 2))).isEmpty();
	}

	@Test
	void namesLabelsThatNoEngineLoaded() {
		assertThat(RunChecks.labels(List.of("cartas@0", "cartas@2"), Set.of("cartas@2"))).isEmpty();
		assertThat(RunChecks.labels(List.of("cartas@3"), Set.of("cartas@2"))).singleElement()
			.asString()
			.startsWith("label-untrue");
	}

	@Test
	void namesCallsThatRanTwiceOverAllServers() {
		assertThat(RunChecks.executions(List.of(Map.of("GET /a x", 2), Map.of("POST /balances/1 x", 2)),
				List.of("/balances/")))
			.isEmpty();
		assertThat(RunChecks.executions(List.of(Map.of("POST /payments/1 x", 1), Map.of("POST /payments/1 x", 1)),
				List.of("/balances/")))
			.singleElement()
			.asString()
			.startsWith("run-twice");
	}

	@Test
	void namesEndpointsThatSawAKey() {
		assertThat(RunChecks.keys(Map.of("e", "{\"headers\":{}}"), List.of("secret"))).isEmpty();
		assertThat(RunChecks.keys(Map.of("e", "{\"path\":\"/x?k=secret\"}"), List.of("secret"))).singleElement()
			.asString()
			.startsWith("key-seen");
	}

	@Test
	void namesOrdersOfAnOldHolder() {
		assertThat(RunChecks.orders(List.of(new RunChecks.Order("d", "1", 1), new RunChecks.Order("e", "2", 9),
				new RunChecks.Order("d", "3", 2))))
			.isEmpty();
		assertThat(RunChecks.orders(List.of(new RunChecks.Order("d", "1", 2), new RunChecks.Order("d", "2", 1))))
			.singleElement()
			.asString()
			.startsWith("two-holders");
	}

	@Test
	void namesWindowsWhoseFiguresChanged() {
		JsonNode first = report(1, "a", 1, 5);
		assertThat(RunChecks.reports(List.of(first, report(1, "a", 1, 5), report(2, "b", 2, 7)))).isEmpty();
		assertThat(RunChecks.reports(List.of(first, report(1, "a", 1, 6)))).singleElement()
			.asString()
			.startsWith("figure-changed");
		assertThat(RunChecks.reports(List.of(first, report(2, "b", 1, 5)))).singleElement()
			.asString()
			.startsWith("two-holders");
	}

	private static JsonNode report(long window, String reporter, long fencing, long requests) {
		return Json
			.tree(Json
				.text(Map.of("window", window, "reporter", reporter, "fencing", fencing, "figures",
						List.of(Map.of("requests", requests)), "corrections", List.of()))
				.getBytes(StandardCharsets.UTF_8))
			.get();
	}

}
