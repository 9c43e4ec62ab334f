package org.bamboorelay.core.process;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.List;

import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import net.jqwik.api.constraints.Size;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatIllegalArgumentException;

/**
 * Tests of {@link MemoryBudget}.
 */
class MemoryBudgetTests {

	@Property
	void reservationsNeverExceedTheLimit(@ForAll @Size(max = 100) List<@IntRange(min = -50, max = 50) Integer> steps) {
		MemoryBudget budget = MemoryBudget.of(100);
		Deque<Integer> held = new ArrayDeque<>();
		for (int step : steps) {
			long before = budget.reservedBytes();
			if (step >= 0) {
				boolean permitted = budget.reserve(step);
				assertThat(permitted).isEqualTo(before + step <= 100);
				if (permitted) {
					held.add(step);
				}
			}
			else if (!held.isEmpty()) {
				budget.release(held.remove());
			}
			assertThat(budget.reservedBytes()).isEqualTo(held.stream().mapToLong(Integer::longValue).sum())
				.isLessThanOrEqualTo(100);
		}
	}

	@Test
	void moreThanWasReservedCannotBeReleased() {
		// A second release would let the process exceed its limit unnoticed.
		MemoryBudget budget = MemoryBudget.of(100);
		budget.reserve(10);
		assertThatIllegalArgumentException().isThrownBy(() -> budget.release(11)).withMessageContaining("11");
		assertThat(budget.reservedBytes()).isEqualTo(10);
	}

	@Test
	void largeReservationDoesNotOverflow() {
		MemoryBudget budget = MemoryBudget.of(100);
		budget.reserve(10);
		assertThat(budget.reserve(Long.MAX_VALUE)).isFalse();
		assertThat(MemoryBudget.unlimited().reserve(Long.MAX_VALUE / 2)).isTrue();
	}

}
