package org.bamboorelay.host.request;

import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;

import org.apache.hc.core5.http.ClassicHttpRequest;
import org.apache.hc.core5.http.ClassicHttpResponse;
import org.bamboorelay.core.process.EndpointTable;
import org.bamboorelay.core.process.PoisonRequestDetector;
import org.bamboorelay.core.request.ItemOrder;
import org.bamboorelay.core.request.Submission;
import org.bamboorelay.core.request.SubmissionItem;
import org.bamboorelay.core.time.Clock;
import org.bamboorelay.core.version.CallerLimits;
import org.bamboorelay.core.version.CoreJson;
import org.bamboorelay.core.version.RouteKind;
import org.bamboorelay.core.version.RouteRule;
import org.bamboorelay.core.version.RoutingTable;
import org.bamboorelay.host.connection.EndpointProtocol;
import org.bamboorelay.host.connection.EndpointRequest;
import org.bamboorelay.host.connection.EndpointResponse;
import org.bamboorelay.host.connection.HostMesh;
import org.bamboorelay.host.process.EventLog;
import org.bamboorelay.host.version.SubmissionRecord;
import org.bamboorelay.host.version.SubmissionStore;
import org.bamboorelay.runtime.connection.HttpConnectionPool;
import org.bamboorelay.runtime.process.Counters;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests for {@link SubmissionDirectory} with an in-memory store.
 */
class SubmissionDirectoryTests {

	private static final SubmissionRecord RECORD = new SubmissionRecord("w", "host-a", 0, 1, "example", "/in/s1", "m",
			false);

	private final ExecutorService executor = Executors.newCachedThreadPool();

	private final EventLog log = new EventLog();

	private final InMemoryStore inMemoryStore = new InMemoryStore();

	private volatile RoutingTable routes = RoutingTable.of(1, List
		.of(RouteRule.builder("in", "example", "/in/").kind(RouteKind.SUBMISSION, false).share("engines", 1).build()),
			List.of(), Map.of(), true, new CallerLimits(1_000, 1_000, 1_000, 1_000));

	private final AtomicInteger routeReads = new AtomicInteger();

	private final SubmissionRunner runner = runner();

	private final SubmissionDirectory directory = new SubmissionDirectory("host-a",
			SubmissionStore.of(this.inMemoryStore), this.runner, mesh(), this.log);

	@AfterEach
	void stop() throws InterruptedException {
		this.executor.shutdown();
		assertThat(this.executor.awaitTermination(10, TimeUnit.SECONDS)).isTrue();
		this.runner.close();
	}

	@Test
	void outdatedRecordDoesNotStartSubmission() throws InterruptedException {
		// After a network partition, an outdated record made a host run a submission that
		// had been ended in the meantime.
		this.inMemoryStore.put("submissions/s1", RECORD.asEnded(), 9);
		this.inMemoryStore.put("submission-bodies/s1", submission(), 1);
		this.directory.update("s1", new SubmissionStore.VersionedRecord(RECORD, 3));
		stop();
		assertThat(this.runner.runningSubmissions()).isEmpty();
	}

	@Test
	void recordOwnedByThisHostStartsSubmission() throws InterruptedException {
		this.inMemoryStore.put("submissions/s1", RECORD, 3);
		this.inMemoryStore.put("submission-bodies/s1", submission(), 1);
		this.directory.update("s1", new SubmissionStore.VersionedRecord(RECORD, 3));
		stop();
		assertThat(this.runner.runningSubmissions()).containsExactly("s1");
		this.directory.update("s1", new SubmissionStore.VersionedRecord(RECORD.withOwner("host-b"), 4));
		assertThat(this.runner.runningSubmissions()).as("after another host took it over").isEmpty();
		this.directory.update("s1", new SubmissionStore.VersionedRecord(RECORD, 3));
		assertThat(this.runner.runningSubmissions()).as("after an older record").isEmpty();
	}

	@Test
	@Timeout(30)
	void submissionStartsOnceItsRouteIsAdded() throws InterruptedException {
		// A host that resumed a submission while its route was removed never ran it, even
		// after the route had been added again.
		RoutingTable withRoute = this.routes;
		this.routes = RoutingTable.of(2, List.of(), List.of(), Map.of(), true, withRoute.limits());
		this.inMemoryStore.put("submissions/s1", RECORD, 3);
		this.inMemoryStore.put("submission-bodies/s1", submission(), 1);
		this.directory.update("s1", new SubmissionStore.VersionedRecord(RECORD, 3));
		while (this.routeReads.get() == 0) {
			Thread.onSpinWait();
		}
		assertThat(this.runner.runningSubmissions()).isEmpty();
		this.routes = withRoute;
		stop();
		assertThat(this.runner.runningSubmissions()).containsExactly("s1");
	}

	@Test
	void endSucceedsOnceStoreConfirmsIt() {
		this.inMemoryStore.put("submissions/s1", RECORD, 3);
		this.directory.update("s1", new SubmissionStore.VersionedRecord(RECORD.withOwner("host-b"), 2));
		assertThat(this.directory.end("s1").get().ended()).as("after a conflict with a newer record").isTrue();
		assertThat(CoreJson.read(this.inMemoryStore.read("submissions/s1").get().get().body(), SubmissionRecord.class)
			.get()
			.ended()).isTrue();
		assertThat(this.directory.end("s1").isRight()).as("repeated").isTrue();
	}

	private RoutingTable readRoutes() {
		RoutingTable current = this.routes;
		this.routeReads.incrementAndGet();
		return current;
	}

	private SubmissionRunner runner() {
		EndpointTable table = EndpointTable.create(Clock.monotonic());
		Counters counters = Counters.create();
		HttpConnectionPool pool = new HttpConnectionPool();
		UnusedEndpointProtocol protocol = new UnusedEndpointProtocol();
		PoisonRequestDetector poisonRequests = PoisonRequestDetector.create(Clock.monotonic());
		EndpointNotices notices = new EndpointNotices(table, poisonRequests, true, (message) -> {
		}, this.log);
		EndpointExchanges exchanges = new EndpointExchanges(protocol, pool, notices, counters);
		PoisonGuard guard = new PoisonGuard(poisonRequests, table, (message) -> {
		}, counters, this.log);
		HostMesh mesh = mesh();
		RateSlots slots = new RateSlots("host-a", table, mesh, Clock.monotonic(), counters, this.log);
		EndpointAcquirer acquirer = new EndpointAcquirer(table, slots, () -> this.routes, new SplittableRandom(1),
				Clock.monotonic(), counters, this.log);
		EndpointClient caller = EndpointClient.of(table, acquirer, guard, exchanges, Clock.monotonic(), counters,
				this.log, null);
		ItemRunner items = new ItemRunner(table, protocol, exchanges, caller, () -> this.routes, Clock.monotonic(),
				counters, this.log);
		return new SubmissionRunner("host-a", SubmissionStore.of(this.inMemoryStore), table, slots, items,
				this::readRoutes, ItemOrder.AS_SUBMITTED, true, mesh, this.executor, this.log);
	}

	private HostMesh mesh() {
		return HostMesh.of("host-a", "domain-a", 1, "1", Clock.monotonic(), this.executor, this.log);
	}

	private static Submission submission() {
		return new Submission("s1", "w", "example", "/in/s1", "m", 0, 1, 1,
				List.of(new SubmissionItem("i0", "/i", Map.of(), new byte[0], 1, "g", 1, null)));
	}

	/**
	 * Protocol that is never called, as there are no endpoints.
	 */
	private static final class UnusedEndpointProtocol implements EndpointProtocol {

		@Override
		public ClassicHttpRequest encodeRequest(EndpointRequest call) {
			throw new UnsupportedOperationException(call.id());
		}

		@Override
		public EndpointResponse decodeHead(ClassicHttpResponse response) {
			throw new UnsupportedOperationException(response.toString());
		}

		@Override
		public long parseVersionLine(String line) {
			return 0;
		}

		@Override
		public long maxOutputTokens(Map<String, String> headers) {
			throw new UnsupportedOperationException();
		}

	}

}
