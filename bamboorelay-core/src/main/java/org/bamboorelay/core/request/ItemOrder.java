package org.bamboorelay.core.request;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * Order in which the items of a submission start while there are fewer free slots than
 * items.
 */
@FunctionalInterface
public interface ItemOrder {

	/** The items as they were submitted: the baseline. */
	ItemOrder AS_SUBMITTED = (submission, carried) -> {
		List<Integer> order = new ArrayList<>();
		for (int index = 0; index < submission.items().size(); index++) {
			order.add(index);
		}
		return order;
	};

	/**
	 * Longest expected item first, as the last item to end decides when a group is whole;
	 * but the groups of the longest items that the trainer does not wait for come last,
	 * and groups that come again, which it always waits for, come first.
	 */
	ItemOrder LONGEST_WANTED_FIRST = (submission, carried) -> {
		List<SubmissionItem> items = submission.items();
		Map<String, Long> longest = new HashMap<>();
		Set<String> again = new HashSet<>();
		for (SubmissionItem item : items) {
			longest.merge(item.group(), item.expectedUnits(), Math::max);
			if (carried.contains(item.id())) {
				again.add(item.group());
			}
		}
		List<String> groups = new ArrayList<>(longest.keySet());
		groups.sort(Comparator.<String, Boolean>comparing((group) -> !again.contains(group))
			.thenComparing(longest::get)
			.thenComparing(Comparator.naturalOrder()));
		int wanted = (submission.wantedGroups() > 0) ? Math.min(submission.wantedGroups(), groups.size())
				: groups.size();
		Set<String> first = Set.copyOf(groups.subList(0, wanted));
		List<Integer> order = AS_SUBMITTED.of(submission, carried);
		order.sort(Comparator.<Integer, Boolean>comparing((index) -> !again.contains(items.get(index).group()))
			.thenComparing((index) -> !first.contains(items.get(index).group()))
			.thenComparing((index) -> -items.get(index).expectedUnits())
			.thenComparing(Comparator.naturalOrder()));
		return order;
	};

	/**
	 * Orders the items.
	 * @param submission the submission
	 * @param carried items that an earlier submission had too
	 * @return the indexes of all items, first to start first
	 */
	List<Integer> of(Submission submission, Set<String> carried);

}
