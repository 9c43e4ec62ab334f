package org.bamboorelay.load.request;

import java.io.ByteArrayInputStream;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.CountDownLatch;

import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Guards against latencies that leave out the wait of requests behind a stalled one, and
 * against failed requests that count as served.
 */
class LoadRunTests {

	@Test
	void countsLatencyFromThePlannedArrival() {
		CountDownLatch stall = new CountDownLatch(1);
		// One thread: the second request is due while the first still stalls.
		LoadRun.Result result = new LoadRun(1, (index) -> {
			if (index == 0) {
				awaitNanos(stall, 50_000_000L);
			}
			return 1;
		}).open(1_000, 7, 0.02);
		assertThat(result.units()).isEqualTo(20);
		assertThat(result.millisAt(25)).isGreaterThan(10);
	}

	@Test
	void countsFailedRequestsApart() {
		LoadRun.Result result = new LoadRun(2, (index) -> (index % 2 == 0) ? 1 : -1).open(10_000, 7, 0.01);
		assertThat(result.units()).isEqualTo(50);
		assertThat(result.failed()).isEqualTo(50);
		assertThat(result.histogram().getTotalCount()).isEqualTo(50);
	}

	@Test
	void plansTheSameArrivalsFromTheSameSeed() {
		assertThat(LoadRun.arrivals(100, 3, 2)).isEqualTo(LoadRun.arrivals(100, 3, 2)).isSorted().hasSize(200);
		assertThat(LoadRun.arrivals(100, 3, 2)).isNotEqualTo(LoadRun.arrivals(100, 4, 2));
	}

	@Test
	void countsEvents() throws IOException {
		assertThat(Bench
			.events(new ByteArrayInputStream("data: a\n\ndata: b\n\ndata: [DO".getBytes(StandardCharsets.US_ASCII))))
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
