package org.bamboorelay.core.process;

import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import java.util.Set;
import java.util.concurrent.atomic.AtomicLong;

import io.vavr.control.Option;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import org.bamboorelay.core.version.EndpointId;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Guards against an endpoint that runs more requests than its concurrency limit, in any
 * order of grants, releases, renewals, expiry and changes of the owner.
 */
class CreditLedgerTests {

	private static final EndpointId ENDPOINT = EndpointId.of("e1");

	private static final int HOLDERS = 6;

	private final AtomicLong ids = new AtomicLong();

	@Property(tries = 300)
	void runningRequestsNeverExceedTheConcurrencyLimit(@ForAll long seed,
			@ForAll @IntRange(min = 1, max = 8) int capacity) {
		Random random = new Random(seed);
		long now = 0;
		CreditLedger owner = owner(false, capacity, now);
		List<RunningRequest> running = new ArrayList<>();
		int granted = 0;
		for (int step = 0; step < 1_200; step++) {
			int holder = random.nextInt(HOLDERS);
			switch (random.nextInt(12)) {
				case 0, 1, 2, 3, 4 -> {
					Option<CreditLedger.GrantedCredit> grantedCredit = owner.grant(query(random.nextBoolean()), now);
					if (grantedCredit.isDefined()) {
						running.add(new RunningRequest(holder, grantedCredit.get().credit()));
						granted++;
					}
				}
				case 5, 6 -> {
					if (!running.isEmpty()) {
						RunningRequest finished = running.remove(random.nextInt(running.size()));
						CreditLedger.Outcome[] outcomes = CreditLedger.Outcome.values();
						owner.release(finished.credit, outcomes[random.nextInt(outcomes.length)], 5, now);
						owner.release(finished.credit, CreditLedger.Outcome.OK, 5, now);
					}
				}
				case 7 -> running.removeIf((request) -> request.holder == holder); // killed
				case 8 -> {
					if (random.nextInt(25) == 0) {
						owner = owner(false, capacity, now);
					}
				}
				default -> {
					// Holders renew their credits once per second, simultaneously in
					// this test, and register with the owner if it does not know a
					// credit.
					long before = now;
					now += random.nextInt(400);
					if (before / 1_000 != now / 1_000) {
						for (RunningRequest request : running) {
							if (!owner.renew(request.credit, now)) {
								request.credit = owner.adopt(ENDPOINT, now).get();
							}
						}
					}
				}
			}
			assertThat(running.size()).as("running at %d ms", now).isLessThanOrEqualTo(capacity);
			assertThat(owner.outstanding(ENDPOINT)).isLessThanOrEqualTo(capacity);
		}
		assertThat(granted).as("granted credits").isPositive();
	}

	@Property(tries = 300)
	void changingConcurrencyLimitIsNeverExceededByGrantedCredits(@ForAll long seed) {
		Random random = new Random(seed);
		CreditLedger ledger = owner(true, 16, 0);
		long now = CreditLedger.CREDIT_LIFETIME_MILLIS;
		List<Long> credits = new ArrayList<>();
		for (int step = 0; step < 300; step++) {
			now += random.nextInt(30);
			if (random.nextInt(3) > 0) {
				ledger.grant(query(true), now).peek((grantedCredit) -> {
					credits.add(grantedCredit.credit());
					assertThat(ledger.outstanding(ENDPOINT)).isLessThanOrEqualTo(ledger.concurrencyLimit(ENDPOINT));
				});
			}
			else if (!credits.isEmpty()) {
				boolean ok = random.nextInt(8) > 0;
				ledger.release(credits.remove(random.nextInt(credits.size())),
						ok ? CreditLedger.Outcome.OK : CreditLedger.Outcome.FAILED, random.nextInt(40), now);
			}
			ledger.onLoadReport(ENDPOINT, "i" + step / 100, random.nextInt(50) > 0, 16, 0, now);
		}
	}

	@Test
	void newOwnerGrantsNothingForOneCreditLifetime() {
		CreditLedger ledger = owner(false, 4, 0);
		assertThat(ledger.grant(query(true), CreditLedger.CREDIT_LIFETIME_MILLIS - 1).isEmpty()).isTrue();
		assertThat(ledger.grant(query(true), CreditLedger.CREDIT_LIFETIME_MILLIS).isDefined()).isTrue();
	}

	@Test
	void pausedOwnerGrantsNothingForOneCreditLifetime() {
		CreditLedger ledger = owner(false, 4, 0);
		ledger.expire(3_000);
		long credit = ledger.grant(query(true), 3_100).get().credit();
		ledger.expire(4_600);
		assertThat(ledger.free(true)).as("not paused").isEqualTo(3);
		// While the owner is paused, its credit expires and another owner grants credits.
		assertThat(ledger.grant(query(true), 14_000).isEmpty()).isTrue();
		assertThat(ledger.renew(credit, 14_100)).isFalse();
		ledger.adopt(ENDPOINT, 14_200);
		for (long now = 15_000; now < 17_000; now += 1_000) {
			assertThat(ledger.grant(query(true), now).isEmpty()).as("at %d ms", now).isTrue();
		}
		ledger.expire(17_000);
		ledger.onLoadReport(ENDPOINT, "one", true, 4, 1, 17_000);
		assertThat(ledger.free(true)).isEqualTo(3);
	}

	/**
	 * Guards against overload of an endpoint while the holder of its credits is paused or
	 * disconnected and its requests continue.
	 */
	@Test
	void expiredCreditsCountUntilTheEndpointReportsFewerRequests() {
		CreditLedger ledger = owner(false, 4, 0);
		for (int i = 0; i < 3; i++) {
			assertThat(ledger.grant(query(true), CreditLedger.CREDIT_LIFETIME_MILLIS).isDefined()).isTrue();
		}
		for (long now = 4_000; now <= 7_000; now += 1_000) {
			ledger.expire(now);
			ledger.onLoadReport(ENDPOINT, "one", true, 4, 3, now);
		}
		assertThat(ledger.outstanding(ENDPOINT)).isZero();
		assertThat(ledger.free(true)).isEqualTo(1);
		ledger.onLoadReport(ENDPOINT, "one", true, 4, 1, 7_500);
		assertThat(ledger.free(true)).isEqualTo(3);
		ledger.onLoadReport(ENDPOINT, "one", true, 4, 0, 8_000);
		assertThat(ledger.free(true)).isEqualTo(4);
	}

	@Test
	void newOwnerStartsWithTheNumberOfAdoptedRequestsAsLimit() {
		CreditLedger ledger = owner(true, 16, 0);
		for (int i = 0; i < 8; i++) {
			assertThat(ledger.adopt(ENDPOINT, 100).isDefined()).isTrue();
		}
		assertThat(ledger.concurrencyLimit(ENDPOINT)).isEqualTo(8);
		assertThat(ledger.adopt(EndpointId.of("e2"), 100).isEmpty()).as("not owned").isTrue();
	}

	/**
	 * Guards against an increase of the limit of a cold endpoint when a holder was paused
	 * and registers requests that it sent while the endpoint was warm.
	 */
	@Test
	void responsesToAdoptedRequestsDoNotRaiseTheLimit() {
		CreditLedger ledger = owner(true, 16, 0);
		long credit = ledger.adopt(ENDPOINT, 3_000).get();
		ledger.release(credit, CreditLedger.Outcome.OK, 20, 3_100);
		assertThat(ledger.concurrencyLimit(ENDPOINT)).isEqualTo(1);
		credit = ledger.grant(query(true), 3_200).get().credit();
		ledger.release(credit, CreditLedger.Outcome.OK, 20, 3_300);
		assertThat(ledger.concurrencyLimit(ENDPOINT)).isEqualTo(2);
	}

	@Test
	void endpointThatDoesNotAcceptRequestsGetsNoCredit() {
		CreditLedger ledger = owner(false, 4, 0);
		ledger.accepting(ENDPOINT, false);
		assertThat(ledger.grant(query(true), 5_000).isEmpty()).isTrue();
		ledger.onLoadReport(ENDPOINT, "one", true, 8, 0, 5_000);
		assertThat(ledger.grant(query(true), 5_000).isEmpty()).isTrue();
		assertThat(ledger.free(true)).isZero();
	}

	@Test
	void nonRepeatableRequestGetsNoCheapEndpoint() {
		CreditLedger ledger = ledger();
		ledger.addEndpoint(ENDPOINT, true, 4, 0);
		EndpointSelection.Query nonRepeatable = new EndpointSelection.Query(true, false, 0, 1, Set.of());
		assertThat(ledger.grant(nonRepeatable, 5_000).isEmpty()).isTrue();
		assertThat(ledger.grant(query(true), 5_000).isDefined()).isTrue();
	}

	@Test
	void rolloutSamplesLeaveCreditsForInteractiveRequests() {
		CreditLedger ledger = owner(false, 16, 0);
		while (ledger.grant(query(false), 5_000).isDefined()) {
			assertThat(ledger.outstanding(ENDPOINT)).isLessThanOrEqualTo(14);
		}
		assertThat(ledger.grant(query(true), 5_000).isDefined()).isTrue();
	}

	private CreditLedger owner(boolean ramp, int capacity, long now) {
		CreditLedger ledger = ledger();
		ledger.policies(ramp, true);
		ledger.addEndpoint(ENDPOINT, false, capacity, now);
		return ledger;
	}

	private CreditLedger ledger() {
		CreditLedger ledger = CreditLedger.of(EndpointSelection.of(new Random(1)), this.ids::incrementAndGet);
		ledger.policies(false, true);
		return ledger;
	}

	private static EndpointSelection.Query query(boolean interactive) {
		return new EndpointSelection.Query(interactive, true, 0, 1, Set.of());
	}

	private static final class RunningRequest {

		private final int holder;

		private long credit;

		private RunningRequest(int holder, long credit) {
			this.holder = holder;
			this.credit = credit;
		}

	}

}
