package org.bamboorelay.slopes.process;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.atomic.AtomicInteger;

import io.vavr.control.Either;
import org.bamboorelay.core.failure.Refusal;
import org.bamboorelay.core.request.AdmissionQueue;
import org.bamboorelay.core.time.ManualClock;
import org.bamboorelay.core.version.KeyHash;
import org.bamboorelay.core.version.LiveConfiguration;
import org.bamboorelay.entry.request.IdempotencyRecords;
import org.bamboorelay.entry.request.PlainResponse;
import org.bamboorelay.runtime.process.Counters;

/**
 * Costs of a single request by the number of keys, workspaces, queued requests and
 * idempotency records.
 * <p>
 * Stateless.
 */
final class RequestSlopes {

	private static final int WORKSPACES = 200;

	private RequestSlopes() {
	}

	static List<Slope> measure() {
		List<Slope> slopes = new ArrayList<>();
		slopes.add(Slope.measure("front.authenticate", "us", "keys", new int[] { 16, 500, 2_000, 8_000 }, (keys) -> {
			LiveConfiguration live = ready(WORKSPACES, keys);
			return CostMeter.cpuMicros(() -> requireSuccess(live.authenticate(KeyHash.ofKey("key-7"))));
		}));
		slopes.add(Slope.measure("front.authorize", "us", "workspaces", new int[] { 8, 64, 200, 800 }, (workspaces) -> {
			LiveConfiguration live = ready(workspaces, 16);
			return CostMeter.cpuMicros(
					() -> requireSuccess(live.authorize(SampleData.workspace(workspaces - 1), SampleData.service(1))));
		}));
		slopes.add(Slope.measure("admission.offer-poll", "us", "queued", new int[] { 100, 1_000, 10_000 },
				RequestSlopes::offerAndPoll));
		int[] calls = { 100, 400, 1_600 };
		slopes.add(Slope.measure("store.idempotency-writes", "writes", "keyed calls", calls,
				(count) -> idempotency(count).writes()));
		slopes.add(Slope.measure("store.idempotency-reads", "reads", "keyed calls", calls,
				(count) -> idempotency(count).reads()));
		return slopes;
	}

	private static LiveConfiguration ready(int workspaces, int keys) {
		ManualClock clock = ManualClock.of(0);
		LiveConfiguration live = LiveConfiguration.of(clock, (domains) -> true);
		live.accept(SampleData.configuration(1, 6, workspaces, keys), 0);
		live.recordContact();
		live.recordPeersQueried();
		clock.advance(1_000);
		live.tick();
		return live;
	}

	private static double offerAndPoll(int queued) {
		AdmissionQueue queue = AdmissionQueue.of(new AdmissionQueue.Limits(2 * queued, 1_000_000_000, 1_000_000_000));
		AtomicInteger next = new AtomicInteger();
		Runnable offer = () -> requireSuccess(queue
			.offer(new AdmissionQueue.Request(SampleData.workspace(next.getAndIncrement() % WORKSPACES).value(), 1,
					next.get() % 2 == 0, 400, ""), 0));
		for (int i = 0; i < queued; i++) {
			offer.run();
		}
		return CostMeter.cpuMicros(() -> {
			AdmissionQueue.Ticket ticket = queue.poll((demand) -> true, 0);
			if (ticket == null) {
				throw new IllegalStateException("no queued request to poll");
			}
			queue.correctCost(ticket, 400);
			offer.run();
		});
	}

	private static CountingStore.CallCounts idempotency(int calls) {
		CountingStore store = new CountingStore();
		IdempotencyRecords records = IdempotencyRecords.of(store, Counters.create());
		for (int i = 0; i < calls; i++) {
			requireSuccess(
					records.executeOnce(new IdempotencyRecords.Call("idempotency/workspace-1/" + i, "fingerprint"),
							() -> Either.right(new PlainResponse(200, List.of(), new byte[200], false))));
		}
		return store.calls().get("idempotency");
	}

	private static void requireSuccess(Either<?, ?> result) {
		if (result.isLeft()) {
			throw new IllegalStateException("refused: "
					+ ((result.getLeft() instanceof Refusal refusal) ? refusal.reason() : result.getLeft()));
		}
	}

}
