package org.bamboorelay.host.request;

import java.util.List;
import java.util.Map;
import java.util.Set;

import io.vavr.control.Option;
import org.bamboorelay.core.process.MemoryBudget;
import org.bamboorelay.core.request.ItemOrder;
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

	private static void generate(ActiveSubmission running, int first, int last) {
		running.state().startNext(0);
		for (int event = first; event <= last; event++) {
			running.state().onEvent("i0", event, "x", 1);
		}
	}

	private static ActiveSubmission active(long storedTextsVersion) {
		Submission submission = new Submission("s1", "w", "example", "/in/s1", "m", 0, 1, 1,
				List.of(new SubmissionItem("i0", "/i", Map.of(), new byte[0], 1, "g", 1, null)));
		SubmissionState state = SubmissionState.of(submission, 3, false, 0, Long.MAX_VALUE, ItemOrder.AS_SUBMITTED,
				Set.of(), MemoryBudget.unlimited());
		return new ActiveSubmission(state, new ResultLog(), () -> Option.some("engines"), Long.MAX_VALUE, 8_000,
				storedTextsVersion, 0);
	}

}
