package org.bamboorelay.load.process;

import java.io.IOException;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;

import org.apache.hc.core5.http.message.BasicClassicHttpResponse;
import org.bamboorelay.load.connection.CallerClient;
import org.bamboorelay.load.connection.LoadBalancer;
import org.bamboorelay.runtime.connection.HttpListener;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Guards against slow responses to one group of callers delaying another group, and
 * against arrivals that are dropped without being counted.
 */
class CallerLoadTests {

	@Test
	void groupWithSlowResponsesDoesNotDelayOtherGroup() throws IOException, InterruptedException {
		CountDownLatch otherGroupRequests = new CountDownLatch(10);
		// The flooding group gets responses only after ten requests of the other group.
		try (HttpListener listener = HttpListener.open("127.0.0.1", 0, (request, responder) -> {
			if (request.getRequestUri().contains("/balances/")) {
				otherGroupRequests.countDown();
			}
			else if (request.getRequestUri().contains("/payments/")) {
				await(otherGroupRequests);
			}
			responder.send(new BasicClassicHttpResponse(200));
		}, (ex) -> {
		}); CallerClient client = new CallerClient()) {
			CallerLoad load = load(listener, client, 60_000, callers("flood", 1, 400, 2), callers("small", 0, 100, 2));
			load.warmUp();
			load.run(System.nanoTime());
			assertThat(otherGroupRequests.getCount()).isZero();
			assertThat(load.tallies().get("plain/flood").lateArrivals()).isPositive();
			load.tallies().values().forEach((tally) -> {
				assertThat(tally.requests()).isEqualTo(tally.arrivals());
				assertThat(tally.unaccountedArrivals()).isZero();
			});
		}
	}

	@Test
	void unsentArrivalsAreCountedByReason() throws IOException, InterruptedException {
		try (HttpListener listener = HttpListener.open("127.0.0.1", 0,
				(request, responder) -> responder.send(new BasicClassicHttpResponse(200)), (ex) -> {
				}); CallerClient client = new CallerClient()) {
			CallerLoad load = load(listener, client, 3, callers("a", 0, 100, 4));
			// The start time is 11 s in the past, so that arrivals exceed the send delay
			// limit of 10 s.
			load.warmUp();
			load.run(System.nanoTime() - 11_000_000_000L);
			CallerTally tally = load.tallies().get("plain/a");
			assertThat(tally.unsentArrivals()).containsEntry("no-free-sender", 3L)
				.containsEntry("above-max-requests", tally.arrivals() - 3);
			assertThat(tally.demand()).isEqualTo(tally.arrivals());
			assertThat(tally.unaccountedArrivals()).isZero();
		}
	}

	private static void await(CountDownLatch latch) {
		try {
			assertThat(latch.await(30, TimeUnit.SECONDS)).isTrue();
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
		}
	}

	private static Scenario.Callers callers(String workspace, double writeShare, double rate, int maxOpen) {
		return new Scenario.Callers(workspace, "plain", rate, 0, 500, writeShare, 0, maxOpen);
	}

	private static CallerLoad load(HttpListener listener, CallerClient client, int maxRequests,
			Scenario.Callers... callers) {
		Scenario scenario = new Scenario("test", "none", 7, 1, maxRequests, 0, 0, 1, false, List.of(), List.of(callers),
				List.of(), List.of(), List.of());
		String address = "127.0.0.1:" + listener.port();
		RunSettings settings = new RunSettings(List.of(address), "", "", "", "", "", "model", "plain", List.of(), 1, 1,
				List.of(), List.of());
		return new CallerLoad(scenario, settings, "test", client, LoadBalancer.of(List.of(address), client),
				Map.of("flood", "f", "small", "s", "a", "a"));
	}

}
