package org.bamboorelay.standins.process;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;

import org.bamboorelay.core.time.ManualClock;
import org.bamboorelay.runtime.request.Json;
import org.bamboorelay.standins.connection.RequestRecord;
import org.bamboorelay.standins.connection.StandinRequest;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Guards against an order that starts two endpoints, a host list without delay, a weight
 * store without rate limit, and a trainer that misses duplicate samples.
 */
class PlatformTests {

	private final ManualClock clock = ManualClock.of(0);

	private final HostTable hosts = new HostTable(this.clock, 1_000);

	private final List<String> sentActions = new ArrayList<>();

	private final EndpointPool endpointPool = new EndpointPool(
			(address, action) -> this.sentActions.add(action + " " + address), this.hosts);

	@Test
	void repeatedOrderStartsOneEndpoint() {
		register("e1", "a");
		register("e2", "a");
		EndpointPool.OrderResult first = this.endpointPool.order(start("o1", 1, "a"), true, true);
		assertThat(this.endpointPool.order(start("o1", 1, "a"), true, true)).isEqualTo(first);
		assertThat(this.sentActions).containsExactly("start 127.0.0.1:1");
		assertThat(this.endpointPool.endpoints("a")).extracting(HostEntry::endpoint).containsExactly("e1");
	}

	@Test
	void outdatedFencingIsRefusedInItsDomainOnly() {
		register("e1", "a");
		register("e2", "b");
		register("e3", "a");
		this.endpointPool.order(start("o1", 5, "a"), true, true);
		assertThat(this.endpointPool.order(start("o2", 4, "a"), true, true).status()).isEqualTo(409);
		assertThat(this.endpointPool.order(start("o3", 4, "b"), true, true).status()).isEqualTo(200);
		assertThat(this.endpointPool.order(start("o4", 4, "a"), false, true).status()).isEqualTo(200);
	}

	@Test
	void unavailableOrderCanBeRetried() {
		register("e1", "a");
		assertThat(this.endpointPool.order(start("o1", 1, "a"), true, false).status()).isEqualTo(503);
		assertThat(this.endpointPool.order(start("o1", 1, "a"), true, true).status()).isEqualTo(200);
	}

	@Test
	void hostListLagsBehindOrders() {
		register("e1", "a");
		this.endpointPool.order(start("o1", 1, "a"), true, true);
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
	void duplicateAndStaleSamplesAreCounted() {
		RequestRecord record = new RequestRecord(10);
		BatchVerifier verifier = new BatchVerifier(record, 1);
		accept(verifier, 0, "{'samples':[{'id':'a','spans':[{'weight_version':'l@5'},{'weight_version':'l@7'}]}]}");
		accept(verifier, 0, "{'samples':[{'id':'a','spans':[{'weight_version':'l@6'}]}]}");
		accept(verifier, 1, "{'samples':[{'id':'a','spans':[{'weight_version':'l@6'}]}]}");
		assertThat(record.counters()).containsEntry("samples", 1L)
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
		this.endpointPool.register(new HostEntry(endpoint, "127.0.0.1:1", domain, "s", "steady", "live"));
	}

	private static EndpointPool.Order start(String id, long fencing, String domain) {
		return new EndpointPool.Order(id, fencing, "start", "s", domain, "steady", "");
	}

	private static void accept(BatchVerifier verifier, long seq, String batch) {
		verifier.accept("s", seq, Json.tree(batch.replace('\'', '"').getBytes(StandardCharsets.UTF_8)).get(), 7);
	}

}
