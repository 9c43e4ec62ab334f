package org.bamboorelay.core.request;

import java.util.ArrayList;
import java.util.List;
import java.util.Random;

import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests of {@link AdmissionQueue}: a workspace that floods the service must not starve
 * the others, rollout samples must not overtake interactive requests, and a request that
 * cannot be served within its maximum wait must be refused immediately.
 */
class AdmissionQueueTests {

	private static final AdmissionQueue.Limits WIDE_LIMITS = new AdmissionQueue.Limits(200, 60_000, 60_000);

	@Property(tries = 60)
	void everyWorkspaceGetsItsFairShareWhenOneFloodsTheQueue(@ForAll long seed,
			@ForAll @IntRange(min = 2, max = 8) int workspaces) {
		assertThat(lowestRelativeShare(true, seed, workspaces)).as("fair").isGreaterThanOrEqualTo(0.95);
		assertThat(lowestRelativeShare(false, seed, workspaces)).as("first-come").isLessThan(0.95);
	}

	@Property(tries = 200)
	void rolloutSampleIsNotServedWhileAnInteractiveRequestWaits(@ForAll long seed) {
		Random random = new Random(seed);
		AdmissionQueue queue = AdmissionQueue.of(WIDE_LIMITS);
		int interactive = 0;
		for (int step = 0; step < 300; step++) {
			if (random.nextInt(3) > 0) {
				boolean interactiveOffer = random.nextBoolean();
				boolean admitted = queue.offer(request("w" + random.nextInt(3), 1, interactiveOffer, 10), step)
					.isRight();
				interactive += (interactiveOffer && admitted) ? 1 : 0;
				continue;
			}
			AdmissionQueue.Ticket ticket = queue.poll((request) -> true, step);
			if (ticket != null && ticket.request().interactive()) {
				interactive--;
			}
			else if (ticket != null) {
				assertThat(interactive).as("waiting interactive requests").isZero();
			}
		}
	}

	@Test
	void idleWorkspaceAccumulatesNoCredit() {
		AdmissionQueue queue = AdmissionQueue.of(WIDE_LIMITS);
		for (int i = 0; i < 50; i++) {
			queue.offer(request("busy", 1, true, 10), 0);
		}
		for (int i = 0; i < 20; i++) {
			queue.poll((request) -> true, 0);
		}
		for (int i = 0; i < 20; i++) {
			queue.offer(request("idle", 1, true, 10), 0);
		}
		int idle = 0;
		for (int i = 0; i < 20; i++) {
			idle += queue.poll((request) -> true, 0).request().workspace().equals("idle") ? 1 : 0;
		}
		assertThat(idle).isBetween(9, 11);
	}

	@Test
	void requestIsRefusedImmediatelyWhenItsExpectedWaitExceedsTheLimit() {
		AdmissionQueue queue = AdmissionQueue.of(new AdmissionQueue.Limits(1_000, 2_000, 2_000));
		int accepted = 0;
		long now = 0;
		// The service drains 10 requests/s while 20 requests/s arrive.
		for (int i = 0; i < 400; i++) {
			now += 50;
			accepted += queue.offer(request("w", 1, true, 10), now).isRight() ? 1 : 0;
			if (i % 2 == 0) {
				queue.poll((request) -> true, now);
			}
		}
		assertThat(queue.size()).as("2 s at 10 requests/s").isBetween(15, 25);
		AdmissionQueue.Overload overload = null;
		while (overload == null) {
			overload = queue.offer(request("w", 1, true, 10), now).fold((left) -> left, (right) -> null);
		}
		assertThat(overload.retryAfterMillis()).isBetween(1_000L, 3_000L);
		assertThat(queue.retryAfterMillis()).as("the queue drains in about 2 s").isBetween(1_500L, 2_500L);
		assertThat(accepted).isLessThan(300);
	}

	@Test
	void requeuedRequestKeepsItsPositionAndCost() {
		AdmissionQueue queue = AdmissionQueue.of(WIDE_LIMITS);
		queue.offer(request("w", 1, true, 10), 0);
		queue.offer(request("w", 1, true, 20), 0);
		AdmissionQueue.Ticket first = queue.poll((request) -> true, 1);
		queue.requeue(first);
		assertThat(queue.size()).isEqualTo(2);
		assertThat(queue.poll((request) -> true, 2)).isSameAs(first);
	}

	@Property(tries = 100)
	void retriesNeverExceedBurstPlusTenPercentOfRequests(@ForAll long seed) {
		Random random = new Random(seed);
		RetryBudget budget = RetryBudget.of(10);
		int retries = 0;
		for (int requests = 1; requests <= 2_000; requests++) {
			budget.recordRequest();
			for (int attempt = random.nextInt(4); attempt > 0 && budget.tryAcquire(); attempt--) {
				retries++;
			}
			assertThat(retries).isLessThanOrEqualTo(10 + requests / 10);
		}
		assertThat(retries).isGreaterThan(190);
	}

	/*
	 * Returns the lowest share of any workspace, relative to its fair share, while one
	 * workspace offers 20 requests in each step and the others keep four waiting.
	 */
	private static double lowestRelativeShare(boolean fair, long seed, int workspaces) {
		Random random = new Random(seed);
		AdmissionQueue queue = AdmissionQueue.of(WIDE_LIMITS);
		queue.fair(fair);
		int[] weights = random.ints(workspaces, 1, 5).toArray();
		int[] waiting = new int[workspaces];
		long[] served = new long[workspaces];
		List<AdmissionQueue.Ticket> running = new ArrayList<>();
		for (int now = 0; now < 15_000; now += 10) {
			for (int i = 0; i < workspaces; i++) {
				int offers = (i == 0) ? 20 : 4 - waiting[i];
				for (int k = 0; k < offers; k++) {
					queue.offer(request("w" + i, weights[i], true, 10 + random.nextInt(90)), now).peek((admission) -> {
						waiting[index(admission.ticket())]++;
						if (admission.evicted() != null) {
							waiting[index(admission.evicted())]--;
						}
					});
				}
			}
			AdmissionQueue.Ticket ticket = queue.poll((request) -> true, now);
			waiting[index(ticket)]--;
			running.add(ticket);
			if (running.size() > 8) {
				AdmissionQueue.Ticket done = running.remove(0);
				// The actual cost differs from the expected one by up to half.
				long tokens = Math.max(1, done.request().expectedTokens() * (50 + random.nextInt(100)) / 100);
				queue.correctCost(done, tokens);
				served[index(done)] += tokens;
			}
		}
		double servedPerWeight = 0;
		int weight = 0;
		for (int i = 0; i < workspaces; i++) {
			servedPerWeight += served[i];
			weight += weights[i];
		}
		servedPerWeight /= weight;
		double lowest = 1;
		for (int i = 0; i < workspaces; i++) {
			lowest = Math.min(lowest, served[i] / (servedPerWeight * weights[i]));
		}
		return lowest;
	}

	private static int index(AdmissionQueue.Ticket ticket) {
		return Integer.parseInt(ticket.request().workspace().substring(1));
	}

	private static AdmissionQueue.Request request(String workspace, double weight, boolean interactive, long tokens) {
		return new AdmissionQueue.Request(workspace, weight, interactive, tokens, workspace);
	}

}
