package org.bamboorelay.standins.process;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;

import org.bamboorelay.core.time.ManualClock;
import org.bamboorelay.runtime.request.Json;
import org.bamboorelay.standins.connection.CallRecord;
import org.bamboorelay.standins.connection.StandinRequest;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Guards against orders that start two endpoints, a list without its lag, a weight store
 * without its rate, and a trainer that overlooks duplicates.
 */
class PlatformTests {

	private final ManualClock clock = ManualClock.of(0);

	private final HostTable hosts = new HostTable(this.clock, 1_000);

	private final List<String> told = new ArrayList<>();

	private final OrderingTable table = new OrderingTable((address, action) -> this.told.add(action + " " + address),
			this.hosts);

	@Test
	void repeatedOrderStartsOneEndpoint() {
		register("e1", "a");
		register("e2", "a");
		OrderingTable.Answer first = this.table.order(start("o1", 1, "a"), true, true);
		assertThat(this.table.order(start("o1", 1, "a"), true, true)).isEqualTo(first);
		assertThat(this.told).containsExactly("start 127.0.0.1:1");
		assertThat(this.table.endpoints("a")).extracting(HostEntry::endpoint).containsExactly("e1");
	}

	@Test
	void oldFencingIsRefusedInItsDomainOnly() {
		register("e1", "a");
		register("e2", "b");
		register("e3", "a");
		this.table.order(start("o1", 5, "a"), true, true);
		assertThat(this.table.order(start("o2", 4, "a"), true, true).status()).isEqualTo(409);
		assertThat(this.table.order(start("o3", 4, "b"), true, true).status()).isEqualTo(200);
		assertThat(this.table.order(start("o4", 4, "a"), false, true).status()).isEqualTo(200);
	}

	@Test
	void unavailableOrderCanBeRepeated() {
		register("e1", "a");
		assertThat(this.table.order(start("o1", 1, "a"), true, false).status()).isEqualTo(503);
		assertThat(this.table.order(start("o1", 1, "a"), true, true).status()).isEqualTo(200);
	}

	@Test
	void hostListLagsBehindOrders() {
		register("e1", "a");
		this.table.order(start("o1", 1, "a"), true, true);
		this.clock.advance(999);
		assertThat(this.hosts.entries()).isEmpty();
		this.clock.advance(1);
		assertThat(this.hosts.entries()).extracting(HostEntry::endpoint).containsExactly("e1");
	}

	@Test
	void weightStoreRefusesAboveItsRate() {
		WeightStoreService store = new WeightStoreService(this.clock, 2, 10);
		StandinRequest request = StandinRequest.of("GET", "/weights/cartas/3", new byte[0]);
		assertThat(List.of(store.serve(request).status(), store.serve(request).status(), store.serve(request).status()))
			.containsExactly(200, 200, 429);
		this.clock.advance(500);
		assertThat(store.serve(request).status()).isEqualTo(200);
	}

	@Test
	void trainerSeesDuplicateAndStaleSamples() {
		CallRecord record = new CallRecord(10);
		BatchLedger ledger = new BatchLedger(record, 1);
		accept(ledger, 0, "{'samples':[{'id':'a','spans':[{'weight_version':'l@5'},{'weight_version':'l@7'}]}]}");
		accept(ledger, 0, "{'samples':[{'id':'a','spans':[{'weight_version':'l@6'}]}]}");
		accept(ledger, 1, "{'samples':[{'id':'a','spans':[{'weight_version':'l@6'}]}]}");
		assertThat(record.counts()).containsEntry("samples", 1L)
			.containsEntry("samples_stale", 1L)
			.containsEntry("samples_duplicate", 1L)
			.containsEntry("batches_again", 1L);
	}

	@Test
	void unknownOptionIsRefused() {
		assertThat(StandinOptions.parse("--kind", "ordering", "--por", "1").isLeft()).isTrue();
		assertThat(StandinOptions.parse("--port", "1").isLeft()).isTrue();
	}

	private void register(String endpoint, String domain) {
		this.table.register(new HostEntry(endpoint, "127.0.0.1:1", domain, "s", "steady", "live"));
	}

	private static OrderingTable.Order start(String id, long fencing, String domain) {
		return new OrderingTable.Order(id, fencing, "start", "s", domain, "steady", "");
	}

	private static void accept(BatchLedger ledger, long seq, String batch) {
		ledger.accept("s", seq, Json.tree(batch.replace('\'', '"').getBytes(StandardCharsets.UTF_8)).get(), 7);
	}

}
