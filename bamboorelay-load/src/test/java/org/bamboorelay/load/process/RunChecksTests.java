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
 * Guards against checks that never fail: each check must report its violation, and
 * nothing for a correct run.
 */
class RunChecksTests {

	@Test
	void duplicateOrLostSampleIsReported() {
		assertThat(RunChecks.checkSamples(Map.of("t/1", List.of("a", "b")), Map.of(), Map.of("t/1", 2))).isEmpty();
		assertThat(RunChecks.checkSamples(Map.of("t/1", List.of("a", "a")), Map.of(), Map.of("t/1", 2))).singleElement()
			.asString()
			.startsWith("sample-twice");
		assertThat(RunChecks.checkSamples(Map.of("t/1", List.of("a")), Map.of(), Map.of("t/1", 2))).singleElement()
			.asString()
			.startsWith("sample-lost");
		assertThat(RunChecks.checkSamples(Map.of("t/1", List.of("a")), Map.of("t/1", 1), Map.of("t/1", 2))).isEmpty();
	}

	@Test
	void labelWithoutMatchingEngineTokensIsReported() {
		Set<String> loaded = Set.of("cartas@0", "cartas@2");
		Map<String, Map<String, Long>> generated = Map.of("sample-cartas-1-1-1", Map.of("cartas@0", 3L),
				"sample-cartas-1-1-2", Map.of("cartas@0", 1L, "cartas@2", 4L), "sample-cartas-10-1-1",
				Map.of("cartas@2", 9L));
		assertThat(RunChecks.checkLabels(Map.of("cartas/1", Map.of("cartas@0", 4L, "cartas@2", 4L)), loaded, generated))
			.isEmpty();
		assertThat(RunChecks.checkLabels(Map.of("cartas/1", Map.of("cartas@3", 1L)), loaded, generated)).singleElement()
			.asString()
			.contains("no engine ever loaded cartas@3");
		assertThat(RunChecks.checkLabels(Map.of("cartas/1", Map.of("cartas@0", 1L)), Set.of("cartas@2"), generated))
			.singleElement()
			.asString()
			.contains("no engine ever loaded cartas@0");
		// One token was generated with version 0 but labelled with version 2.
		assertThat(RunChecks.checkLabels(Map.of("cartas/1", Map.of("cartas@0", 3L, "cartas@2", 5L)), loaded, generated))
			.singleElement()
			.asString()
			.contains("5 tokens labelled cartas@2, engines made 4");
	}

	@Test
	void recordWithDroppedLinesIsReported() {
		assertThat(RunChecks.checkRecordsComplete(Map.of("e", 0L))).isEmpty();
		assertThat(RunChecks.checkRecordsComplete(Map.of("e", 1L))).singleElement()
			.asString()
			.startsWith("record-incomplete");
	}

	@Test
	void unaccountedArrivalIsReported() {
		assertThat(RunChecks.checkArrivals(Map.of("plain/a", 0L))).isEmpty();
		assertThat(RunChecks.checkArrivals(Map.of("plain/a", 1L))).singleElement()
			.asString()
			.startsWith("arrivals-open");
	}

	@Test
	void nonRepeatableCallExecutedOnTwoServersIsReported() {
		assertThat(RunChecks.checkExecutions(List.of(Map.of("GET /a x", 2), Map.of("POST /balances/1 x", 2)),
				List.of("/balances/")))
			.isEmpty();
		assertThat(RunChecks.checkExecutions(List.of(Map.of("POST /payments/1 x", 1), Map.of("POST /payments/1 x", 1)),
				List.of("/balances/")))
			.singleElement()
			.asString()
			.startsWith("run-twice");
	}

	@Test
	void callerKeyInEndpointRecordIsReported() {
		assertThat(RunChecks.checkKeys(Map.of("e", "{\"headers\":{}}"), List.of("secret"))).isEmpty();
		assertThat(RunChecks.checkKeys(Map.of("e", "{\"path\":\"/x?k=secret\"}"), List.of("secret"))).singleElement()
			.asString()
			.startsWith("key-seen");
		assertThat(RunChecks.checkKeys(Map.of("e", "{\"path\":\"/x\",\"body\":\"{\\\"prompt\\\":\\\"secret\\\"}\"}"),
				List.of("secret")))
			.singleElement()
			.asString()
			.startsWith("key-seen");
	}

	@Test
	void ordersOfTwoLeaseHoldersAreReportedAcrossReceivers() {
		List<RunChecks.FencedWrite> leases = List.of(order("object-api", "d", "a", 1, 0),
				order("object-api", "d", "a", 1, 5), order("object-api", "d", "b", 2, 10),
				order("object-api", "e", "c", 9, 0));
		assertThat(RunChecks.checkOrders(List.of(order("ordering", "d", "a", 1, 6), order("engine", "d", "b", 2, 12),
				order("ordering", "d", "b", 2, 11), order("engine-2", "e", "c", 9, 1)), leases))
			.isEmpty();
		// The ordering interface accepts an order of the new holder, then an engine one
		// of the old holder.
		assertThat(RunChecks.checkOrders(List.of(order("ordering", "d", "b", 2, 11), order("engine", "d", "a", 1, 12)),
				leases))
			.singleElement()
			.asString()
			.contains("with fencing 1 after ordering took one with 2");
		// Two processes use the same fencing number, each with another receiver.
		assertThat(RunChecks.checkOrders(List.of(order("ordering", "d", "b", 2, 11), order("engine", "d", "x", 2, 12)),
				leases))
			.singleElement()
			.asString()
			.contains("order of x, but lease d#2 was held by b");
		assertThat(RunChecks.checkOrders(List.of(),
				List.of(order("object-api", "d", "a", 1, 0), order("object-api", "d", "b", 1, 1))))
			.singleElement()
			.asString()
			.contains("a and b wrote lease d#1");
	}

	@Test
	void usageWindowWithChangedFiguresOrSharedFencingNumberIsReported() {
		JsonNode first = report(1, "a", 1, 5);
		assertThat(RunChecks.checkReports(List.of(first, report(1, "a", 1, 5), report(2, "b", 2, 7)))).isEmpty();
		assertThat(RunChecks.checkReports(List.of(first, report(1, "a", 1, 6)))).singleElement()
			.asString()
			.startsWith("figure-changed");
		assertThat(RunChecks.checkReports(List.of(first, report(2, "b", 1, 5)))).singleElement()
			.asString()
			.startsWith("two-holders");
	}

	private static RunChecks.FencedWrite order(String receiver, String domain, String holder, long fencing, long at) {
		return new RunChecks.FencedWrite(receiver, domain, "order", holder, fencing, at);
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
