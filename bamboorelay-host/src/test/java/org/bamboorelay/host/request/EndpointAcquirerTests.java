package org.bamboorelay.host.request;

import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.TimeUnit;

import io.vavr.control.Either;
import org.bamboorelay.core.process.EndpointEntry;
import org.bamboorelay.core.process.EndpointRequirements;
import org.bamboorelay.core.process.EndpointTable;
import org.bamboorelay.core.request.RequestOrigin;
import org.bamboorelay.core.time.Clock;
import org.bamboorelay.host.connection.HostMesh;
import org.bamboorelay.host.process.EventLog;
import org.bamboorelay.runtime.process.Counters;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests of {@link EndpointAcquirer}: a released slot must reach the first waiting request
 * and no other, and must not be lost.
 */
@Timeout(20)
class EndpointAcquirerTests {

	private static final long DEADLINE_MILLIS = 10_000;

	private final ExecutorService executor = Executors.newCachedThreadPool();

	private final EndpointTable table = EndpointTable.create(Clock.monotonic());

	private final Counters counters = Counters.create();

	private final EndpointAcquirer acquirer = acquirer();

	@AfterEach
	void stop() {
		this.executor.shutdownNow();
	}

	/** Guards against slots that stay free, or are granted twice, while requests wait. */
	@Test
	void releasedSlotsReachWaitersOnce() throws Exception {
		List<EndpointTable.Grant> grants = occupy();
		CompletableFuture<Either<CallResult.NotRun, EndpointTable.Grant>> score = acquire(RequestOrigin.SCORE);
		awaitQueued(1);
		CompletableFuture<Either<CallResult.NotRun, EndpointTable.Grant>> caller = acquire(RequestOrigin.CALLER);
		awaitQueued(2);
		this.table.release(grants.get(0), EndpointTable.Outcome.SERVED);
		assertThat(caller.get(5, TimeUnit.SECONDS).isRight()).isTrue();
		assertThat(score.isDone()).as("the score call waits behind the caller").isFalse();
		assertThat(this.table.runningCount("s")).isEqualTo(2);
		this.table.release(grants.get(1), EndpointTable.Outcome.SERVED);
		assertThat(score.get(5, TimeUnit.SECONDS).isRight()).isTrue();
		assertThat(this.counters.text()).contains("queue_waits_total{service=\"s\"} 2");
	}

	/**
	 * Guards against a waiting request that misses capacity which no release announced.
	 */
	@Test
	void newEndpointServesWaiters() throws Exception {
		occupy();
		CompletableFuture<Either<CallResult.NotRun, EndpointTable.Grant>> caller = acquire(RequestOrigin.CALLER);
		awaitQueued(1);
		put("e2");
		assertThat(caller.get(5, TimeUnit.SECONDS).get().id()).isEqualTo("e2");
	}

	/** Guards against requests that are held although they cannot be served in time. */
	@Test
	void refusesWithExpectedWait() throws Exception {
		List<EndpointTable.Grant> grants = occupy();
		assertThat(this.acquirer.acquire(request(RequestOrigin.CALLER, 400), Set.of(), 0).getLeft().retryAfterMillis())
			.as("nothing is known about the wait")
			.isBetween(200L, 250L);
		TimeUnit.MILLISECONDS.sleep(1_000);
		this.table.release(grants.get(0), EndpointTable.Outcome.SERVED);
		this.table.acquire(EndpointRequirements.plain(RequestOrigin.CALLER, "s", Set.of()));
		long start = System.nanoTime();
		CallResult.NotRun refused = this.acquirer.acquire(request(RequestOrigin.CALLER, 400), Set.of(), 0).getLeft();
		assertThat(refused.retryAfterMillis()).isBetween(400L, 5_000L);
		assertThat(TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - start)).isLessThan(400);
		assertThat(this.counters.text()).contains("queue_refusals_total{service=\"s\",reason=\"expected-wait\"} 1");
	}

	/**
	 * Guards against one workspace that gets all slots because its deadlines are earlier.
	 */
	@Test
	void secondSlotGoesToOtherWorkspace() throws Exception {
		List<EndpointTable.Grant> grants = occupy();
		for (int i = 0; i < 3; i++) {
			acquire(RequestOrigin.CALLER);
			awaitQueued(i + 1);
		}
		ServiceRequest other = request(RequestOrigin.CALLER, 2 * DEADLINE_MILLIS, "other");
		CompletableFuture<Either<CallResult.NotRun, EndpointTable.Grant>> granted = CompletableFuture.supplyAsync(
				() -> this.acquirer.acquire(other, Set.of(), this.acquirer.waitDeadline(other.deadlineMillis())),
				this.executor);
		awaitQueued(4);
		this.table.release(grants.get(0), EndpointTable.Outcome.SERVED);
		this.table.release(grants.get(1), EndpointTable.Outcome.SERVED);
		assertThat(granted.get(5, TimeUnit.SECONDS).isRight()).as("second slot").isTrue();
	}

	private EndpointAcquirer acquirer() {
		EventLog log = new EventLog();
		HostMesh mesh = HostMesh.of("host-a", "domain-a", 1, "1", Clock.monotonic(), this.executor, log);
		RateSlots slots = new RateSlots("host-a", this.table, mesh, Clock.monotonic(), this.counters, log);
		return new EndpointAcquirer(this.table, slots, () -> null, new SplittableRandom(1), Clock.monotonic(),
				this.counters, log);
	}

	// Adds an endpoint with a slot and a place in its queue, and takes both.
	private List<EndpointTable.Grant> occupy() {
		put("e1");
		List<EndpointTable.Grant> grants = new ArrayList<>();
		for (int i = 0; i < 2; i++) {
			grants.add(this.acquirer.acquire(request(RequestOrigin.CALLER, DEADLINE_MILLIS), Set.of(), 0).get());
		}
		return grants;
	}

	private void put(String id) {
		this.table.put(new EndpointEntry(id, "s", "127.0.0.1:1", "domain-a", 1, false, 0, 0, Map.of()));
	}

	private CompletableFuture<Either<CallResult.NotRun, EndpointTable.Grant>> acquire(RequestOrigin origin) {
		ServiceRequest request = request(origin, DEADLINE_MILLIS);
		return CompletableFuture.supplyAsync(
				() -> this.acquirer.acquire(request, Set.of(), this.acquirer.waitDeadline(request.deadlineMillis())),
				this.executor);
	}

	private void awaitQueued(int count) throws InterruptedException {
		while (!this.counters.text().contains("queued_requests{service=\"s\"} " + count)) {
			TimeUnit.MILLISECONDS.sleep(1);
		}
	}

	private static ServiceRequest request(RequestOrigin origin, long deadlineMillis) {
		return request(origin, deadlineMillis, "w");
	}

	private static ServiceRequest request(RequestOrigin origin, long deadlineMillis, String workspace) {
		return new ServiceRequest(origin, "r", "GET", "example", "/", List.of(), ByteBuffer.allocate(0), workspace,
				"route", "s", true, 1, 1, Clock.monotonic().millis() + deadlineMillis, (abort) -> {
				}, () -> {
				});
	}

}
