package org.bamboorelay.host.request;

import java.util.List;
import java.util.Random;
import java.util.concurrent.atomic.AtomicInteger;

import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.bamboorelay.host.connection.EndpointResponse;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests of {@link HedgeRace}: of two runs one response at most must be returned, a lost
 * run must be aborted once, and a request that may have run must not be called "not run".
 */
class HedgeRaceTests {

	private final AtomicInteger lingering = new AtomicInteger();

	private final AtomicInteger extraRuns = new AtomicInteger();

	private final HedgeRace race = new HedgeRace(this.lingering::incrementAndGet, this.lingering::decrementAndGet,
			this.extraRuns::incrementAndGet);

	@Property(tries = 500)
	void eachInterleavingHasOneOutcome(@ForAll long seed) {
		Random random = new Random(seed);
		AtomicInteger running = new AtomicInteger();
		AtomicInteger extra = new AtomicInteger();
		HedgeRace current = new HedgeRace(running::incrementAndGet, running::decrementAndGet, extra::incrementAndGet);
		int[] aborts = new int[2];
		CallResult firstResult = random(random);
		CallResult copyResult = random(random);
		current.first().onConnected(() -> aborts[0]++);
		assertThat(current.beginCopy("b")).isTrue();
		current.copy().onConnected(() -> aborts[1]++);
		boolean callerLeft = random.nextInt(4) == 0;
		if (callerLeft) {
			current.cancelAll();
		}
		boolean firstEndsFirst = random.nextBoolean();
		if (firstEndsFirst) {
			current.first().end(firstResult);
		}
		current.copy().end(copyResult);
		if (!firstEndsFirst) {
			current.first().end(firstResult);
		}
		CallResult result = current.await(0);
		assertThat(running).as("cancelled runs that have not ended").hasValue(0);
		assertThat(aborts[0] + aborts[1])
			.isEqualTo(callerLeft ? 2 : (status(firstEndsFirst ? firstResult : copyResult) == 200) ? 1 : 0);
		boolean bothRan = !(firstResult instanceof CallResult.NotRun) && !(copyResult instanceof CallResult.NotRun);
		assertThat(extra).hasValue(bothRan ? 1 : 0);
		assertThat(result).isIn(firstResult, copyResult);
		assertThat(result instanceof CallResult.NotRun)
			.isEqualTo(firstResult instanceof CallResult.NotRun && copyResult instanceof CallResult.NotRun);
		assertThat(status(result) == 200).isEqualTo(status(firstResult) == 200 || status(copyResult) == 200);
	}

	@Test
	void noCopyBeginsAfterTheFirstRunHasEndedOrTheCallerHasLeft() {
		this.race.cancelAll();
		assertThat(this.race.beginCopy("b")).isFalse();
		this.race.first().end(new CallResult.Unknown("cancelled", false));
		assertThat(this.race.await(1_000)).isEqualTo(new CallResult.Unknown("cancelled", false));
		HedgeRace ended = new HedgeRace(() -> {
		}, () -> {
		}, () -> {
		});
		ended.first().end(new CallResult.NotRun("endpoint-refused", 200));
		assertThat(ended.beginCopy("b")).isFalse();
		assertThat(ended.copyEndpoint()).isNull();
	}

	@Test
	void runThatConnectsAfterItLostIsDroppedUnsent() {
		AtomicInteger aborts = new AtomicInteger();
		this.race.beginCopy("b");
		CallResult response = response(200);
		this.race.first().end(response);
		assertThat(this.race.await(0)).as("the copy is not awaited").isSameAs(response);
		assertThat(this.lingering).hasValue(1);
		this.race.copy().onConnected(aborts::incrementAndGet);
		this.race.copy().end(new CallResult.Unknown("cancelled", false));
		assertThat(aborts).hasValue(1);
		assertThat(this.lingering).hasValue(0);
		assertThat(this.extraRuns).as("a request that was not sent did not run").hasValue(0);
	}

	@Test
	void connectionThatWasReadCompletelyIsNotAborted() {
		// The connection may already carry another request.
		AtomicInteger aborts = new AtomicInteger();
		this.race.first().onConnected(aborts::incrementAndGet);
		this.race.first().onResponseRead();
		this.race.cancelAll();
		assertThat(aborts).hasValue(0);
	}

	private static CallResult random(Random random) {
		return switch (random.nextInt(4)) {
			case 0 -> response(200);
			case 1 -> response(500);
			case 2 -> new CallResult.Unknown("endpoint-broke", false);
			default -> new CallResult.NotRun("endpoint-refused", 200);
		};
	}

	private static int status(CallResult result) {
		return (result instanceof CallResult.Responded responded) ? responded.response().status() : 0;
	}

	private static CallResult response(int status) {
		return new CallResult.Responded(new EndpointResponse(status, "id", false, false, false,
				Double.POSITIVE_INFINITY, null, "seal", 0, List.of()), new byte[0]);
	}

}
