package org.bamboorelay.core.request;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * The order in which the items of a submission start while there are fewer free slots
 * than items.
 */
@FunctionalInterface
public interface ItemOrder {

	/** Baseline policy: the order of submission. */
	ItemOrder AS_SUBMITTED = (submission, resubmittedIds) -> {
		List<Integer> order = new ArrayList<>();
		for (int index = 0; index < submission.items().size(); index++) {
			order.add(index);
		}
		return order;
	};

	/**
	 * Longest expected item first, because the last item to finish determines when a
	 * group is complete. Groups that the trainer does not wait for, those with the
	 * longest items, start last. Groups that were submitted before start first, because
	 * the trainer always waits for them.
	 */
	ItemOrder LONGEST_WANTED_FIRST = (submission, resubmittedIds) -> {
		List<SubmissionItem> items = submission.items();
		Map<String, Long> longestByGroup = new HashMap<>();
		Set<String> resubmittedGroups = new HashSet<>();
		for (SubmissionItem item : items) {
			longestByGroup.merge(item.group(), item.expectedUnits(), Math::max);
			if (resubmittedIds.contains(item.id())) {
				resubmittedGroups.add(item.group());
			}
		}
		List<String> groups = new ArrayList<>(longestByGroup.keySet());
		groups.sort(Comparator.<String, Boolean>comparing((group) -> !resubmittedGroups.contains(group))
			.thenComparing(longestByGroup::get)
			.thenComparing(Comparator.naturalOrder()));
		int wantedCount = (submission.wantedGroups() > 0) ? Math.min(submission.wantedGroups(), groups.size())
				: groups.size();
		Set<String> awaitedGroups = Set.copyOf(groups.subList(0, wantedCount));
		List<Integer> order = AS_SUBMITTED.startOrder(submission, resubmittedIds);
		order.sort(
				Comparator.<Integer, Boolean>comparing((index) -> !resubmittedGroups.contains(items.get(index).group()))
					.thenComparing((index) -> !awaitedGroups.contains(items.get(index).group()))
					.thenComparing((index) -> -items.get(index).expectedUnits())
					.thenComparing(Comparator.naturalOrder()));
		return order;
	};

	/**
	 * Orders the items.
	 * @param submission the submission
	 * @param resubmittedIds the ids of items that an earlier submission contained too
	 * @return the indexes of all items in the order in which they start
	 */
	List<Integer> startOrder(Submission submission, Set<String> resubmittedIds);

}
