package org.bamboorelay.core.request;

import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Guards against retries that multiply the load of a failing service.
 */
class RetryBudgetTests {

	@Test
	void retriesAreATenthOfTheRequests() {
		RetryBudget budget = RetryBudget.of(10);
		int retries = 0;
		for (int i = 0; i < 1_000; i++) {
			budget.requested();
			retries += budget.tryRetry() ? 1 : 0;
		}
		assertThat(retries).isBetween(99, 110);
	}

}
