package org.bamboorelay.core.request;

import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests of {@link RetryBudget}: retries must not multiply the load on a failing service.
 */
class RetryBudgetTests {

	@Test
	void retriesAreLimitedToTenPercentOfRequests() {
		RetryBudget budget = RetryBudget.of(10);
		int retries = 0;
		for (int i = 0; i < 1_000; i++) {
			budget.recordRequest();
			retries += budget.tryAcquire() ? 1 : 0;
		}
		assertThat(retries).isBetween(99, 110);
	}

}
