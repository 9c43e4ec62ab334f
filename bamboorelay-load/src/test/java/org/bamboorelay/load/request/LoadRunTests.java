package org.bamboorelay.load.request;

import java.io.ByteArrayInputStream;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.CountDownLatch;

import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Guards against latencies that omit the time a request waits behind a stalled one
 * (coordinated omission), and against failed requests counted as served.
 */
class LoadRunTests {

	@Test
	void openLoopWhenRequestStallsMeasuresLatencyFromPlannedArrival() {
		CountDownLatch stall = new CountDownLatch(1);
		// With one thread, the second request is due while the first is still stalled.
		LoadRun.Result result = new LoadRun(1, (index) -> {
			if (index == 0) {
				awaitNanos(stall, 50_000_000L);
			}
			return 1;
		}).runOpenLoop(1_000, 7, 0.02);
		assertThat(result.units()).isEqualTo(20);
		assertThat(result.millisAt(25)).isGreaterThan(10);
	}

	@Test
	void failedRequestsAreCountedSeparatelyAndHaveNoLatency() {
		LoadRun.Result result = new LoadRun(2, (index) -> (index % 2 == 0) ? 1 : -1).runOpenLoop(10_000, 7, 0.01);
		assertThat(result.units()).isEqualTo(50);
		assertThat(result.failed()).isEqualTo(50);
		assertThat(result.histogram().getTotalCount()).isEqualTo(50);
	}

	@Test
	void arrivalsAreEqualForEqualSeedsAndDifferForOthers() {
		assertThat(LoadRun.planArrivals(100, 3, 2)).isEqualTo(LoadRun.planArrivals(100, 3, 2)).isSorted().hasSize(200);
		assertThat(LoadRun.planArrivals(100, 3, 2)).isNotEqualTo(LoadRun.planArrivals(100, 4, 2));
	}

	@Test
	void countEventsIgnoresIncompleteEvent() throws IOException {
		assertThat(Bench.countEvents(
				new ByteArrayInputStream("data: a\n\ndata: b\n\ndata: [DO".getBytes(StandardCharsets.US_ASCII))))
			.isEqualTo(2);
	}

	private static void awaitNanos(CountDownLatch latch, long nanos) {
		try {
			latch.await(nanos, java.util.concurrent.TimeUnit.NANOSECONDS);
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
		}
	}

}
