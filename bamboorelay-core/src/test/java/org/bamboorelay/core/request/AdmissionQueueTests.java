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
 * Guards against a workspace that floods the service and starves the others, against
 * rollout samples ahead of users, and against waits that cannot end in time.
 */
class AdmissionQueueTests {

	private static final AdmissionQueue.Limits WIDE = new AdmissionQueue.Limits(200, 60_000, 60_000);

	@Property(tries = 60)
	void worstServedWorkspaceGetsItsShareWhileAnotherFloods(@ForAll long seed,
			@ForAll @IntRange(min = 2, max = 8) int workspaces) {
		assertThat(worstShare(true, seed, workspaces)).as("fair").isGreaterThanOrEqualTo(0.95);
		assertThat(worstShare(false, seed, workspaces)).as("first-come").isLessThan(0.95);
	}

	@Property(tries = 200)
	void noRolloutSampleIsServedWhileAnInteractiveRequestWaits(@ForAll long seed) {
		Random random = new Random(seed);
		AdmissionQueue queue = AdmissionQueue.of(WIDE);
		int interactive = 0;
		for (int step = 0; step < 300; step++) {
			if (random.nextInt(3) > 0) {
				boolean user = random.nextBoolean();
				boolean taken = queue.offer(demand("w" + random.nextInt(3), 1, user, 10), step).isRight();
				interactive += (user && taken) ? 1 : 0;
				continue;
			}
			AdmissionQueue.Ticket ticket = queue.poll((demand) -> true, step);
			if (ticket != null && ticket.demand().interactive()) {
				interactive--;
			}
			else if (ticket != null) {
				assertThat(interactive).as("interactive requests that wait").isZero();
			}
		}
	}

	@Test
	void workspaceThatWasIdleGetsNoCreditForIt() {
		AdmissionQueue queue = AdmissionQueue.of(WIDE);
		for (int i = 0; i < 50; i++) {
			queue.offer(demand("busy", 1, true, 10), 0);
		}
		for (int i = 0; i < 20; i++) {
			queue.poll((demand) -> true, 0);
		}
		for (int i = 0; i < 20; i++) {
			queue.offer(demand("idle", 1, true, 10), 0);
		}
		int idle = 0;
		for (int i = 0; i < 20; i++) {
			idle += queue.poll((demand) -> true, 0).demand().workspace().equals("idle") ? 1 : 0;
		}
		assertThat(idle).isBetween(9, 11);
	}

	@Test
	void requestThatCannotBeServedInTimeIsRefusedAtOnce() {
		AdmissionQueue queue = AdmissionQueue.of(new AdmissionQueue.Limits(1_000, 2_000, 2_000));
		int accepted = 0;
		long now = 0;
		// 10 requests/s are served, 20 requests/s arrive.
		for (int i = 0; i < 400; i++) {
			now += 50;
			accepted += queue.offer(demand("w", 1, true, 10), now).isRight() ? 1 : 0;
			if (i % 2 == 0) {
				queue.poll((demand) -> true, now);
			}
		}
		assertThat(queue.size()).as("2 s at 10 requests/s").isBetween(15, 25);
		AdmissionQueue.Overload overload = null;
		while (overload == null) {
			overload = queue.offer(demand("w", 1, true, 10), now).fold((left) -> left, (right) -> null);
		}
		assertThat(overload.retryAfterMillis()).isBetween(1_000L, 3_000L);
		assertThat(queue.retryAfterMillis()).as("the queue drains in about 2 s").isBetween(1_500L, 2_500L);
		assertThat(accepted).isLessThan(300);
	}

	@Test
	void requestThatIsPutBackKeepsItsPlaceAndCost() {
		AdmissionQueue queue = AdmissionQueue.of(WIDE);
		queue.offer(demand("w", 1, true, 10), 0);
		queue.offer(demand("w", 1, true, 20), 0);
		AdmissionQueue.Ticket first = queue.poll((demand) -> true, 1);
		queue.putBack(first);
		assertThat(queue.size()).isEqualTo(2);
		assertThat(queue.poll((demand) -> true, 2)).isSameAs(first);
	}

	@Property(tries = 100)
	void atMostATenthIsRetried(@ForAll long seed) {
		Random random = new Random(seed);
		RetryBudget budget = RetryBudget.of(10);
		int retries = 0;
		for (int requests = 1; requests <= 2_000; requests++) {
			budget.requested();
			for (int attempt = random.nextInt(4); attempt > 0 && budget.tryRetry(); attempt--) {
				retries++;
			}
			assertThat(retries).isLessThanOrEqualTo(10 + requests / 10);
		}
		assertThat(retries).isGreaterThan(190);
	}

	/* One workspace offers 20 requests a step, the others keep four waiting. */
	private static double worstShare(boolean fair, long seed, int workspaces) {
		Random random = new Random(seed);
		AdmissionQueue queue = AdmissionQueue.of(WIDE);
		queue.fair(fair);
		int[] weights = random.ints(workspaces, 1, 5).toArray();
		int[] waiting = new int[workspaces];
		long[] served = new long[workspaces];
		List<AdmissionQueue.Ticket> running = new ArrayList<>();
		for (int now = 0; now < 15_000; now += 10) {
			for (int i = 0; i < workspaces; i++) {
				int offers = (i == 0) ? 20 : 4 - waiting[i];
				for (int k = 0; k < offers; k++) {
					queue.offer(demand("w" + i, weights[i], true, 10 + random.nextInt(90)), now).peek((admission) -> {
						waiting[index(admission.ticket())]++;
						if (admission.evicted() != null) {
							waiting[index(admission.evicted())]--;
						}
					});
				}
			}
			AdmissionQueue.Ticket ticket = queue.poll((demand) -> true, now);
			waiting[index(ticket)]--;
			running.add(ticket);
			if (running.size() > 8) {
				AdmissionQueue.Ticket done = running.remove(0);
				// The true cost differs from the expected one by up to half.
				long tokens = Math.max(1, done.demand().expectedTokens() * (50 + random.nextInt(100)) / 100);
				queue.served(done, tokens);
				served[index(done)] += tokens;
			}
		}
		double perWeight = 0;
		int weight = 0;
		for (int i = 0; i < workspaces; i++) {
			perWeight += served[i];
			weight += weights[i];
		}
		perWeight /= weight;
		double worst = 1;
		for (int i = 0; i < workspaces; i++) {
			worst = Math.min(worst, served[i] / (perWeight * weights[i]));
		}
		return worst;
	}

	private static int index(AdmissionQueue.Ticket ticket) {
		return Integer.parseInt(ticket.demand().workspace().substring(1));
	}

	private static AdmissionQueue.Demand demand(String workspace, double weight, boolean interactive, long tokens) {
		return new AdmissionQueue.Demand(workspace, weight, interactive, tokens, workspace);
	}

}
