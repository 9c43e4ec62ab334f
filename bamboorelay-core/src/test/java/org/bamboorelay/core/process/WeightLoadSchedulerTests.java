package org.bamboorelay.core.process;

import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeSet;

import org.bamboorelay.core.time.ManualClock;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests of {@link WeightLoadScheduler}.
 */
class WeightLoadSchedulerTests {

	private final ManualClock clock = ManualClock.of(1_000);

	private final EndpointTable table = EndpointTable.create(this.clock);

	private final WeightLoadScheduler swaps = WeightLoadScheduler.of(this.clock);

	@Test
	void enginesAreDividedAmongModelsBeforeTheSecondModelHasAVersion() {
		// If all engines were assigned to the only model that has a version so far, the
		// trainer of the second model would wait for 12 s.
		addEndpoints(6);
		this.swaps.targetVersion("m0", 2);
		this.swaps.nextOrders(this.table)
			.forEach((swap) -> this.table.version(swap.holder().id(), swap.model(), swap.version()));
		assertThat(this.swaps.assignedModels().values()).filteredOn("m0"::equals).hasSize(3);
		this.swaps.targetVersion("m1", 2);
		Set<String> ordered = new TreeSet<>();
		for (int wave = 0; wave < 6; wave++) {
			for (WeightLoadScheduler.Swap swap : this.swaps.nextOrders(this.table)) {
				ordered.add(swap.model());
				this.table.version(swap.holder().id(), swap.model(), swap.version());
			}
		}
		assertThat(ordered).containsExactly("m0", "m1");
	}

	@Test
	void minimumNumberOfEnginesLoadsConcurrentlyInASmallService() {
		addEndpoints(6);
		this.swaps.targetVersion("m0", 2);
		assertThat(this.swaps.nextOrders(this.table)).hasSize(2);
		assertThat(this.swaps.nextOrders(this.table)).isEmpty();
		this.swaps.loading().forEach((id) -> this.table.version(id, "m0", 2));
		assertThat(this.swaps.nextOrders(this.table)).hasSize(1);
	}

	@Test
	void orderWithoutEffectIsRepeatedAfterTheRetryTime() {
		addEndpoints(2);
		this.swaps.targetVersion("m0", 2);
		List<WeightLoadScheduler.Swap> first = this.swaps.nextOrders(this.table);
		assertThat(first).hasSize(1);
		this.clock.advance(3_000);
		assertThat(this.swaps.nextOrders(this.table)).isEqualTo(first);
	}

	@Test
	void removedEngineDoesNotBlockOtherOrders() {
		addEndpoints(6);
		this.swaps.targetVersion("m0", 2);
		this.swaps.nextOrders(this.table).forEach((swap) -> this.table.remove(swap.holder().id()));
		assertThat(this.swaps.nextOrders(this.table)).isNotEmpty();
	}

	@Test
	void shareOfTheEnginesLoadsConcurrentlyInALargeService() {
		// With 34 engines and only two concurrent loads an update would take longer
		// than the interval between two versions.
		addEndpoints(34);
		this.swaps.targetVersion("m0", 2);
		assertThat(this.swaps.nextOrders(this.table)).hasSizeBetween(3, 10);
	}

	private void addEndpoints(int count) {
		for (int index = 0; index < count; index++) {
			this.table.put(new EndpointEntry("e" + index, "s", "10.0.0.1:80", "zone-a", 4, false, 0, 1,
					Map.of("m0", 1L, "m1", 1L)));
		}
	}

}
