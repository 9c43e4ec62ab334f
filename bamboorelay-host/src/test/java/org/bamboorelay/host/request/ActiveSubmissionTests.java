package org.bamboorelay.host.request;

import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.atomic.AtomicInteger;

import io.vavr.control.Option;
import org.bamboorelay.core.process.EndpointTable;
import org.bamboorelay.core.process.ItemWork;
import org.bamboorelay.core.process.MemoryBudget;
import org.bamboorelay.core.request.ItemOrder;
import org.bamboorelay.core.request.LengthEstimate;
import org.bamboorelay.core.request.ResultLog;
import org.bamboorelay.core.request.Submission;
import org.bamboorelay.core.request.SubmissionItem;
import org.bamboorelay.core.request.SubmissionState;
import org.bamboorelay.host.version.SubmissionStore;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests of {@link ActiveSubmission}.
 */
class ActiveSubmissionTests {

	private static final int LONG_TEXT_EVENTS = 120;

	private final SubmissionStore store = SubmissionStore.of(new InMemoryStore());

	private static final ItemWork WORK = new ItemWork(0, 0, 0, 0, "", false);

	@Test
	void longTextContinuesAfterTheLossOfAllHosts() {
		// After all hosts had lost power, the longest text of a training step started
		// from
		// its first event, and the trainer fell seconds behind.
		ActiveSubmission lost = active(0);
		generate(lost, 1, LONG_TEXT_EVENTS);
		assertThat(lost.storeTexts(this.store)).isEmpty();

		SubmissionStore.VersionedTexts stored = this.store.texts("s1").get();
		ActiveSubmission resumed = active(stored.version());
		resumed.state().preload(stored.texts());
		assertThat(resumed.state().startNext(0).after()).isEqualTo(LONG_TEXT_EVENTS);
	}

	@Test
	void textsAreStoredOnlyAfterTheyHaveGrown() {
		ActiveSubmission running = active(0);
		assertThat(running.storeTexts(this.store)).isEmpty();
		assertThat(this.store.texts("s1").get().version()).as("without long texts").isZero();
		generate(running, 1, LONG_TEXT_EVENTS);
		running.storeTexts(this.store);
		long version = this.store.texts("s1").get().version();
		running.storeTexts(this.store);
		assertThat(this.store.texts("s1").get().version()).isEqualTo(version);
		running.state().onEvent("i0", LONG_TEXT_EVENTS + 1, "x", 1);
		running.storeTexts(this.store);
		assertThat(this.store.texts("s1").get().version()).isGreaterThan(version);
	}

	@Test
	void textsAreStoredAgainAfterAnotherHostWroteThem() {
		ActiveSubmission running = active(0);
		generate(running, 1, LONG_TEXT_EVENTS);
		this.store.writeTexts("s1", List.of(), 0);
		assertThat(running.storeTexts(this.store)).isNotEmpty();
		assertThat(running.storeTexts(this.store)).isEmpty();
		assertThat(this.store.texts("s1").get().texts()).hasSize(1);
	}

	@Test
	void runLeavesAReclaimedEndpointUnlessItCompletesThere() {
		// The item has 10 events left of 50 ms. Work that stays until the endpoint ends
		// is interrupted without a place to resume.
		ActiveSubmission running = active(0, 40);
		generate(running, 1, 30);
		AtomicInteger aborts = new AtomicInteger();
		running.onRunStarted("i0", "e", WORK, aborts::incrementAndGet);
		LengthEstimate lengths = new LengthEstimate();
		for (int completed = 0; completed < 16; completed++) {
			lengths.onCompleted(40, 40);
		}
		assertThat(running.moveReclaimedRuns(Map.of("other", reclaimed(0, 50)), lengths)).isZero();
		assertThat(running.moveReclaimedRuns(Map.of("e", reclaimed(2_000, 50)), lengths)).isZero();
		assertThat(running.moveReclaimedRuns(Map.of("e", reclaimed(2_000, 200)), lengths)).isOne();
		assertThat(running.moveReclaimedRuns(Map.of("e", reclaimed(1_900, 200)), lengths)).isZero();
		assertThat(aborts).hasValue(1);
		running.onRunEnded("i0");
		running.onRunStarted("i0", "e", WORK, aborts::incrementAndGet);
		assertThat(running.moveReclaimedRuns(Map.of("e", reclaimed(400, 1)), lengths)).isOne();
		running.onRunEnded("i0");
		running.onRunStarted("i0", "e", WORK, aborts::incrementAndGet);
		assertThat(running.moveReclaimedRuns(Map.of("e", reclaimed(60_000, 0)), lengths)).isOne();
	}

	private static EndpointTable.ReclaimedEndpoint reclaimed(long noticeMillis, double unitMillis) {
		return new EndpointTable.ReclaimedEndpoint(noticeMillis, unitMillis);
	}

	private static void generate(ActiveSubmission running, int first, int last) {
		running.state().startNext(0);
		for (int event = first; event <= last; event++) {
			running.state().onEvent("i0", event, "x", 1);
		}
	}

	private static ActiveSubmission active(long storedTextsVersion) {
		return active(storedTextsVersion, 1);
	}

	private static ActiveSubmission active(long storedTextsVersion, long expectedUnits) {
		Submission submission = new Submission("s1", "w", "example", "/in/s1", "m", 0, 1, 1,
				List.of(new SubmissionItem("i0", "/i", Map.of(), new byte[0], 1, "g", expectedUnits, null)));
		SubmissionState state = SubmissionState.of(submission, 3, false, 0, Long.MAX_VALUE, ItemOrder.AS_SUBMITTED,
				Set.of(), MemoryBudget.unlimited());
		return new ActiveSubmission(state, new ResultLog(), () -> Option.some("engines"), Long.MAX_VALUE, 8_000,
				storedTextsVersion, 0);
	}

}
