package org.bamboorelay.core.process;

import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests of {@link NamedRates}.
 */
class NamedRatesTests {

	private static final double NONE = Double.POSITIVE_INFINITY;

	private final NamedRates rates = new NamedRates();

	@Test
	void rateEndsWithAResponseThatNamesNone() {
		assertThat(this.rates.onResponse("a", 1, 2.5, 100, 150)).isTrue();
		assertThat(this.rates.onResponse("a", 1, 2.5, 200, 250)).as("repeated").isFalse();
		assertThat(this.rates.rate("a", 1)).isEqualTo(2.5);
		assertThat(this.rates.onResponse("a", 1, NONE, 300, 350)).isTrue();
		assertThat(this.rates.rate("a", 1)).isEqualTo(NONE);
	}

	@Test
	void responseToAnEarlierRequestDoesNotEndTheRate() {
		this.rates.onResponse("a", 1, 2.5, 100, 150);
		assertThat(this.rates.onResponse("a", 1, NONE, 120, 180)).isFalse();
		assertThat(this.rates.rate("a", 1)).isEqualTo(2.5);
	}

	@Test
	void rateEndsWithTheEndpointThatNamedIt() {
		this.rates.onResponse("a", 1, 2.5, 100, 150);
		assertThat(this.rates.rate("a", 2)).isEqualTo(NONE);
		this.rates.onResponse("a", 2, 1, 200, 250);
		assertThat(this.rates.onResponse("a", 1, 9, 200, 260)).as("late response of the earlier start").isFalse();
		assertThat(this.rates.rate("a", 2)).isEqualTo(1);
	}

	@Test
	void rateIsLearntFromAPeer() {
		this.rates.onNamedToPeer("a", 1, 2.5, 100);
		assertThat(this.rates.rate("a", 1)).isEqualTo(2.5);
		this.rates.onResponse("a", 1, NONE, 120, 150);
		assertThat(this.rates.rate("a", 1)).isEqualTo(NONE);
	}

}
