package org.bamboorelay.core.process;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.concurrent.atomic.AtomicLong;

import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests of {@link MemoryAccount}.
 */
class MemoryAccountTests {

	private static final long MAX_BYTES = 1_000_000;

	private static final int WORKSPACES = 3;

	private final AtomicLong now = new AtomicLong();

	private final MemoryAccount account = MemoryAccount.of(MAX_BYTES, 2 * MAX_BYTES, this.now::get);

	@Property(tries = 300)
	void accountIsNeverExceededAndReservationsAreReleasedOnce(@ForAll long seed,
			@ForAll @IntRange(max = 200) int steps) {
		// Guards against bytes that are counted twice or lost, and against a workspace
		// within its share that is refused in favour of one that exceeds its own.
		Random random = new Random(seed);
		List<Held> open = new ArrayList<>();
		for (int step = 0; step < steps; step++) {
			this.now.addAndGet(random.nextInt(100));
			if (open.isEmpty() || random.nextInt(3) == 0) {
				open.add(new Held("w" + random.nextInt(WORKSPACES), "a" + random.nextInt(2)));
			}
			Held held = open.get(random.nextInt(open.size()));
			switch (random.nextInt(5)) {
				case 0 -> {
					held.close();
					open.remove(held);
				}
				case 1 -> held.finish();
				default -> reserve(open, held, random.nextInt(250_000), random.nextBoolean());
			}
			assertThat(this.account.heldBytes()).isBetween(0L, MAX_BYTES)
				.isEqualTo(open.stream().mapToLong(Held::bytes).sum());
		}
		open.forEach(Held::close);
		open.forEach(Held::close);
		assertThat(this.account.heldBytes()).isZero();
		assertThat(this.account.heldBytes(MemoryOrigin.CALLER_REQUESTS)).isZero();
	}

	private void reserve(List<Held> open, Held held, long bytes, boolean discardable) {
		boolean wasShed = held.shed;
		boolean granted = discardable ? held.reservation.reserveDiscardable(bytes) : held.reservation.reserve(bytes);
		if (granted) {
			held.fixed += discardable ? 0 : bytes;
			held.discardable += discardable ? bytes : 0;
			return;
		}
		if (wasShed || held.bytes() + bytes > MAX_BYTES / 2) {
			return;
		}
		Map<String, Long> totals = new HashMap<>();
		open.forEach((other) -> totals.merge(other.workspace, other.bytes(), Long::sum));
		long share = MAX_BYTES / Math.max(1, totals.size());
		boolean pending = open.stream().anyMatch((other) -> other.shed && other.bytes() > 0);
		if (totals.get(held.workspace) + bytes <= share && !pending) {
			assertThat(open).noneMatch((other) -> !other.shed && !other.finished
					&& totals.get(other.workspace) > totals.get(held.workspace) + bytes);
		}
	}

	@Test
	void newestUnfinishedBodyOfTheLargestWorkspaceIsShed() {
		Held oldest = new Held("large", "a");
		Held newest = new Held("large", "a");
		Held finished = new Held("large", "a");
		Held other = new Held("small", "b");
		oldest.reservation.reserveDiscardable(300_000);
		newest.reservation.reserveDiscardable(200_000);
		finished.reservation.reserveDiscardable(300_000);
		finished.finish();
		assertThat(other.reservation.reserveDiscardable(200_000)).isTrue();
		assertThat(newest.shed).isTrue();
		assertThat(oldest.shed || finished.shed).isFalse();
		assertThat(newest.reservation.finish()).isFalse();
		assertThat(this.account.isRefusing()).isTrue();
		this.now.addAndGet(5_000);
		assertThat(this.account.isRefusing()).isFalse();
	}

	@Test
	void ordinaryRequestFindsRoomBesideStalledBodiesOfItsWorkspace() {
		for (int body = 0; body < 20; body++) {
			new Held("w", "a").reservation.reserveDiscardable(100_000);
		}
		assertThat(new Held("w", "a").reservation.reserve(2_000)).isTrue();
	}

	@Test
	void bytesOfAShedHeadStayCountedUntilItsThreadReleasesThem() {
		Held head = new Held("", "a");
		head.reservation.reserve(800_000);
		Held other = new Held("w", "b");
		assertThat(other.reservation.reserve(200_000)).isFalse();
		assertThat(head.shed).isTrue();
		head.close();
		assertThat(other.reservation.reserve(200_000)).isTrue();
	}

	@Test
	void unfinishedRequestsMakeRoomForBytesOfOtherOrigins() {
		AtomicLong texts = new AtomicLong();
		this.account.countElsewhere(MemoryOrigin.ITEM_TEXTS, texts::get);
		Held finished = new Held("w", "a");
		Held unfinished = new Held("w", "a");
		finished.reservation.reserveDiscardable(300_000);
		finished.finish();
		unfinished.reservation.reserveDiscardable(300_000);
		this.account.trim();
		assertThat(unfinished.shed).isFalse();
		texts.set(MAX_BYTES + 600_000);
		this.account.trim();
		assertThat(unfinished.shed).isTrue();
		assertThat(finished.shed).isFalse();
	}

	@Test
	void retryDelayFollowsTheRateOfReleases() {
		this.now.set(10_000);
		Held stalled = new Held("w", "a");
		stalled.reservation.reserveDiscardable(875_000);
		Held refused = new Held("w", "a");
		assertThat(refused.reservation.reserveDiscardable(100_000)).isFalse();
		refused.close();
		assertThat(this.account.retryAfterMillis(100_000, 15_000)).isEqualTo(15_000);
		stalled.reservation.release(100_000);
		Held served = new Held("w", "a");
		served.reservation.reserveDiscardable(50_000);
		served.close();
		stalled.reservation.reserveDiscardable(50_000);
		assertThat(this.account.retryAfterMillis(100_000, 15_000)).isEqualTo(1_000);
	}

	private final class Held {

		private final String workspace;

		private final MemoryAccount.Reservation reservation;

		private long fixed;

		private long discardable;

		private boolean shed;

		private boolean finished;

		private Held(String workspace, String address) {
			this.workspace = workspace;
			this.reservation = MemoryAccountTests.this.account.open(MemoryOrigin.CALLER_REQUESTS, address, () -> {
				this.shed = true;
				this.discardable = 0;
			});
			this.reservation.assign(workspace);
		}

		private long bytes() {
			return this.fixed + this.discardable;
		}

		private void finish() {
			this.finished = this.reservation.finish();
		}

		private void close() {
			this.reservation.close();
			this.reservation.close();
		}

	}

}
