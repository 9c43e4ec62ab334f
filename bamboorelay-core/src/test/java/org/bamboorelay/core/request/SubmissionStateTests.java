package org.bamboorelay.core.request;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import org.bamboorelay.core.process.MemoryBudget;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests of {@link SubmissionState} and {@link ItemOrder}.
 */
class SubmissionStateTests {

	@Test
	void interruptedRunResumesAfterTheLastEvent() {
		// A restart from the beginning would lose the seconds already spent on a long
		// text.
		SubmissionState plan = plan(1, items(1), 3);
		plan.startNext(0);
		plan.onEvent("i0", 1, "a", 1);
		plan.onEvent("i0", 2, "b", 1);
		plan.onInterrupted("i0", false, 0);
		assertThat(plan.counts(DueTime.NONE, 0)).isEqualTo(new SubmissionState.Counts(1, 1, 0, true));
		assertThat(plan.startNext(1_000).after()).isEqualTo(2);
		assertThat(plan.onEvent("i0", 3, "c", 2)).isEqualTo(SubmissionState.EventOutcome.APPENDED);
		plan.onGenerated("i0");
		plan.onScored("i0", "seal");
		assertThat(plan.unlistedResults())
			.containsExactly(new ItemResult("i0", true, "a\nb\nc", List.of(1L, 2L), "seal"));
	}

	/**
	 * Guards against groups that are begun but not completed, and against slots that go
	 * to groups that cannot be read by the due time.
	 */
	@Test
	void begunGroupsThatCanBeInTimeStartFirst() {
		List<SubmissionItem> items = new ArrayList<>();
		for (String id : List.of("late-0", "new-0", "begun-0", "begun-1")) {
			items.add(new SubmissionItem(id, "/i", Map.of(), new byte[0], 1, id.substring(0, id.indexOf('-')),
					id.startsWith("late") ? 100 : 10, null));
		}
		SubmissionState plan = plan(1, items, 3);
		plan.onListed(List.of(new ItemResult("begun-0", true, "", List.of(), null)));
		DueTime due = DueTime.of(0, 1_000, 50);
		assertThat(List.of(start(plan, due), start(plan, due), start(plan, due))).containsExactly("begun-1", "new-0",
				"late-0");
	}

	private static String start(SubmissionState plan, DueTime due) {
		return plan.startNext(due, 0).item().id();
	}

	@Test
	void itemIsNotStartedTwiceWhileAnEndpointIsChosenForIt() {
		SubmissionState plan = plan(1, items(2), 3);
		SubmissionState.Run next = plan.next(DueTime.NONE, 0);
		assertThat(plan.isLastWaitingOfGroup(next.item().id())).isFalse();
		assertThat(plan.start(next)).isTrue();
		assertThat(plan.start(next)).isFalse();
		assertThat(plan.isLastWaitingOfGroup(plan.next(DueTime.NONE, 0).item().id())).isTrue();
	}

	@Test
	void eventIsRejectedWhenItIsNotTheNextOne() {
		// A missing or duplicate event would produce a sample that no engine generated.
		SubmissionState plan = plan(1, items(1), 3);
		plan.startNext(0);
		assertThat(plan.onEvent("i0", 2, "b", 1)).isEqualTo(SubmissionState.EventOutcome.NOT_NEXT);
		assertThat(plan.onEvent("i0", 1, "a", 1)).isEqualTo(SubmissionState.EventOutcome.APPENDED);
		assertThat(plan.onEvent("i0", 1, "a", 1)).isEqualTo(SubmissionState.EventOutcome.NOT_NEXT);
	}

	@Test
	void textIsNotListedWhenItsWeightsAreTooOld() {
		SubmissionState plan = plan(4, items(1), 3);
		plan.startNext(0);
		plan.onEvent("i0", 1, "a", 3);
		assertThat(plan.onGenerated("i0")).isFalse();
		assertThat(plan.unlistedResults()).isEmpty();
		assertThat(plan.startNext(0).after()).isZero();
	}

	@Test
	void itemIsGivenUpOnlyAfterFailuresReportedByEndpoints() {
		// An item may be given up only after as many failures reported by endpoints as
		// its route allows. Broken connections do not count.
		SubmissionState plan = plan(1, items(1), 2);
		for (int attempt = 0; attempt < 10; attempt++) {
			plan.startNext(attempt * 1_000L);
			plan.onInterrupted("i0", false, attempt * 1_000L);
		}
		assertThat(plan.unlistedResults()).isEmpty();
		for (int attempt = 10; attempt < 12; attempt++) {
			plan.startNext(attempt * 1_000L);
			plan.onInterrupted("i0", true, attempt * 1_000L);
		}
		assertThat(plan.unlistedResults()).containsExactly(ItemResult.givenUp("i0"));
	}

	@Test
	void noItemStartsWhenTheSubmissionHasEnded() {
		SubmissionState plan = plan(1, items(3), 3);
		plan.end();
		assertThat(plan.startNext(0)).isNull();
		assertThat(plan.isWaiting(0)).isFalse();
	}

	@Test
	void itemIsNotRunWhenItsResultIsListed() {
		SubmissionState plan = plan(1, items(2), 3);
		plan.onListed(List.of(ItemResult.givenUp("i0")));
		assertThat(plan.startNext(0).item().id()).isEqualTo("i1");
		assertThat(plan.startNext(0)).isNull();
	}

	@Test
	void anotherHostResumesFromCopiedTexts() {
		// Without the copies, each host that leaves loses seconds of generated text.
		SubmissionState first = plan(1, items(2), 3);
		first.startNext(0);
		first.onEvent("i0", 1, "a", 1);
		Map<String, Long> copied = new HashMap<>();
		ReplicatedTexts copies = ReplicatedTexts.of(1_000_000);
		copies.add("s", first.partsMissingFrom(copied, Long.MAX_VALUE));
		first.onEvent("i0", 2, "b", 1);
		copies.add("s", first.partsMissingFrom(copied, Long.MAX_VALUE));
		assertThat(first.partsMissingFrom(copied, Long.MAX_VALUE)).isEmpty();
		SubmissionState second = plan(1, items(2), 3);
		second.preload(copies.textsOf("s", Long.MAX_VALUE));
		assertThat(second.startNext(0)).isEqualTo(new SubmissionState.Run(items(2).get(0), 2, true));
	}

	@Test
	void textWithoutEndIsDiscarded() {
		// A host kept all events of an endpoint that sent them without end, until it ran
		// out of memory.
		SubmissionState plan = plan(1, items(1), 3);
		plan.startNext(0);
		String data = "x".repeat(1_000);
		long events = ItemText.MAX_CHARACTERS / data.length();
		for (long number = 1; number <= events; number++) {
			assertThat(plan.onEvent("i0", number, data, 1)).isEqualTo(SubmissionState.EventOutcome.APPENDED);
		}
		assertThat(plan.onEvent("i0", events + 1, data, 1)).isEqualTo(SubmissionState.EventOutcome.TOO_LARGE);
		plan.onInterrupted("i0", false, 0);
		assertThat(plan.startNext(1_000)).isEqualTo(new SubmissionState.Run(items(1).get(0), 0, true));
	}

	@Test
	void waitingTextsAreDiscardedWhenTheMemoryForTextsIsExhausted() {
		MemoryBudget memory = MemoryBudget.of(4 * ItemText.sizeBytes("x".repeat(1_000)));
		SubmissionState plan = plan(1, items(2), 3, memory);
		plan.startNext(0);
		plan.startNext(0);
		for (int number = 1; number <= 3; number++) {
			plan.onEvent("i0", number, "x".repeat(1_000), 1);
		}
		plan.onInterrupted("i0", false, 0);
		for (int number = 1; number <= 4; number++) {
			assertThat(plan.onEvent("i1", number, "x".repeat(1_000), 1)).as("event %s", number)
				.isEqualTo(SubmissionState.EventOutcome.APPENDED);
		}
		assertThat(plan.startNext(1_000).after()).isZero();
		assertThat(plan.onEvent("i1", 5, "x".repeat(1_000), 1)).isEqualTo(SubmissionState.EventOutcome.TOO_LARGE);
		assertThat(plan.eventCount("i1")).isZero();
		assertThat(memory.reservedBytes()).isZero();
	}

	@Property(tries = 200)
	void reservedMemoryIsThatOfTheTexts(@ForAll List<@IntRange(min = 0, max = 17) Integer> steps) {
		MemoryBudget memory = MemoryBudget.of(10 * ItemText.sizeBytes("text"));
		SubmissionState plan = plan(2, items(3), 2, memory);
		for (int step : steps) {
			String id = "i" + step % 3;
			switch (step / 3) {
				case 0 -> plan.startNext(Long.MAX_VALUE);
				case 1 -> plan.onEvent(id, plan.eventCount(id) + 1, "text", 2);
				case 2 -> plan.onInterrupted(id, step % 2 == 0, 0);
				case 3 -> plan.onGenerated(id);
				case 4 -> plan.onScored(id, "seal");
				default -> plan.onListed(plan.unlistedResults());
			}
			long events = plan.eventCount("i0") + plan.eventCount("i1") + plan.eventCount("i2");
			assertThat(memory.reservedBytes()).isEqualTo(events * ItemText.sizeBytes("text"));
		}
		plan.end();
		plan.onListed(plan.unlistedResults());
		plan.end();
		assertThat(memory.reservedBytes()).isZero();
	}

	@Test
	void replicatedTextsOccupyLimitedMemory() {
		ReplicatedTexts copies = ReplicatedTexts.of(3 * ItemText.sizeBytes("text"));
		copies.add("s1", List.of(new TextPart("i0", 0, List.of("text", "text"), List.of(1L, 1L))));
		copies.add("s2", List.of(new TextPart("i0", 0, List.of("text", "text"), List.of(1L, 1L))));
		assertThat(copies.textsOf("s1", Long.MAX_VALUE)).isEmpty();
		assertThat(copies.textsOf("s2", Long.MAX_VALUE)).hasSize(1);
		copies.add("s3", List.of(new TextPart("i0", 0, List.of("text".repeat(100)), List.of(1L))));
		assertThat(copies.textsOf("s2", Long.MAX_VALUE)).isEmpty();
		assertThat(copies.textsOf("s3", Long.MAX_VALUE)).isEmpty();
	}

	@Test
	void textsAreCopiedInPartsOfLimitedSize() {
		SubmissionState plan = plan(1, items(3), 3);
		for (int index = 0; index < 3; index++) {
			plan.startNext(0);
			plan.onEvent("i" + index, 1, "text", 1);
		}
		Map<String, Long> copied = new HashMap<>();
		long event = ItemText.sizeBytes("text");
		ReplicatedTexts copies = ReplicatedTexts.of(3 * event);
		copies.add("s", plan.partsMissingFrom(copied, 2 * event));
		assertThat(copies.textsOf("s", Long.MAX_VALUE)).hasSize(2);
		copies.add("s", plan.partsMissingFrom(copied, event - 1));
		assertThat(plan.partsMissingFrom(copied, 2 * event)).isEmpty();
		assertThat(copies.textsOf("s", Long.MAX_VALUE)).hasSize(3);
		assertThat(copies.textsOf("s", 2 * event)).hasSize(2);
		assertThat(copies.textsOf("s", event - 1)).hasSize(1);
	}

	@Test
	void itemsAreGivenUpAtTheMaximumAge() {
		SubmissionState plan = SubmissionState.of(submission(1, items(1)), 3, false, 1_000, 500, ItemOrder.AS_SUBMITTED,
				Set.of(), MemoryBudget.unlimited());
		plan.expire(1_499);
		assertThat(plan.unlistedResults()).isEmpty();
		plan.expire(1_500);
		assertThat(plan.unlistedResults()).containsExactly(ItemResult.givenUp("i0"));
	}

	@Test
	void unwantedGroupsWithTheLongestItemsStartLast() {
		// There are more items than slots, and the trainer waits for two of three groups.
		List<SubmissionItem> items = List.of(item("a1", "a", 10), item("b1", "b", 90), item("c1", "c", 20),
				item("a2", "a", 5), item("b2", "b", 1), item("c2", "c", 30));
		Submission submission = new Submission("s", "w", "h", "/p/1", "m", 0, 1, 2, items);
		assertThat(startedIds(submission, ItemOrder.LONGEST_WANTED_FIRST, Set.of())).containsExactly("c2", "c1", "a1",
				"a2", "b1", "b2");
		assertThat(startedIds(submission, ItemOrder.LONGEST_WANTED_FIRST, Set.of("b1")).subList(0, 2))
			.containsExactly("b1", "b2");
		assertThat(startedIds(submission, ItemOrder.AS_SUBMITTED, Set.of())).containsExactly("a1", "b1", "c1", "a2",
				"b2", "c2");
	}

	@Test
	void resultsAreAwaitedOnceTheWantedGroupsAreComplete() {
		// The trainer waits for one of two groups; the rest of the other one comes later.
		List<SubmissionItem> items = List.of(item("a1", "a", 1), item("b1", "b", 1), item("a2", "a", 1),
				item("b2", "b", 1));
		SubmissionState plan = SubmissionState.of(new Submission("s", "w", "h", "/p/1", "m", 0, 1, 1, items), 3, false,
				0, Long.MAX_VALUE, ItemOrder.AS_SUBMITTED, Set.of(), MemoryBudget.unlimited());
		items.forEach((item) -> plan.startNext(0));
		complete(plan, "a1");
		complete(plan, "b1");
		assertThat(plan.hasAwaitedResults()).isFalse();
		complete(plan, "a2");
		assertThat(plan.hasAwaitedResults()).isTrue();
		plan.onListed(plan.unlistedResults());
		assertThat(plan.hasAwaitedResults()).isFalse();
		complete(plan, "b2");
		assertThat(plan.hasAwaitedResults()).isTrue();
	}

	private static void complete(SubmissionState plan, String item) {
		plan.onEvent(item, 1, "text", 1);
		plan.onGenerated(item);
		plan.onScored(item, "seal");
	}

	@Property(tries = 200)
	void orderContainsEachItemOnce(@ForAll @IntRange(min = 1, max = 40) int count,
			@ForAll @IntRange(min = 0, max = 10) int wanted) {
		List<SubmissionItem> items = new ArrayList<>();
		for (int index = 0; index < count; index++) {
			items.add(item("i" + index, "g" + index % 5, index * 37 % 11));
		}
		Submission submission = new Submission("s", "w", "h", "/p/1", "m", 0, 1, wanted, items);
		assertThat(new HashSet<>(ItemOrder.LONGEST_WANTED_FIRST.startOrder(submission, Set.of()))).hasSize(count);
	}

	private static List<String> startedIds(Submission submission, ItemOrder order, Set<String> resubmittedIds) {
		return order.startOrder(submission, resubmittedIds)
			.stream()
			.map((index) -> submission.items().get(index).id())
			.toList();
	}

	private static SubmissionState plan(long minVersion, List<SubmissionItem> items, int maxAttempts) {
		return plan(minVersion, items, maxAttempts, MemoryBudget.unlimited());
	}

	private static SubmissionState plan(long minVersion, List<SubmissionItem> items, int maxAttempts,
			MemoryBudget textMemory) {
		return SubmissionState.of(submission(minVersion, items), maxAttempts, false, 0, Long.MAX_VALUE,
				ItemOrder.AS_SUBMITTED, Set.of(), textMemory);
	}

	private static Submission submission(long minVersion, List<SubmissionItem> items) {
		return new Submission("s", "w", "h", "/p/1", "m", 0, minVersion, 0, items);
	}

	private static final Map<Integer, List<SubmissionItem>> ITEMS = new HashMap<>();

	private static List<SubmissionItem> items(int count) {
		return ITEMS.computeIfAbsent(count, (size) -> {
			List<SubmissionItem> items = new ArrayList<>();
			for (int index = 0; index < size; index++) {
				items.add(item("i" + index, "g", 1));
			}
			return items;
		});
	}

	private static SubmissionItem item(String id, String group, long units) {
		return new SubmissionItem(id, "/p", Map.of(), new byte[0], 10, group, units,
				new SubmissionItem.ScoreCall(id + "-score", "h", "/score", new byte[0]));
	}

}
