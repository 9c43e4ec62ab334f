package org.bamboorelay.core.process;

import java.util.Collection;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

import org.bamboorelay.core.connection.PeerMessage.UsageCount;
import org.bamboorelay.core.version.ServiceId;
import org.bamboorelay.core.version.WorkspaceId;

/**
 * Arithmetic on usage counts, and value types that usage reports contain.
 * <p>
 * Stateless and thread-safe.
 */
public final class UsageFigures {

	private UsageFigures() {
	}

	/**
	 * Subtracts cumulative counts of one incarnation.
	 * @param later the later counts
	 * @param earlier the earlier counts of the same incarnation
	 * @return the differences, without those that are zero
	 */
	public static List<UsageCount> subtract(List<UsageCount> later, List<UsageCount> earlier) {
		Map<UsageKey, UsageCount> earlierByKey = new TreeMap<>(UsageKey.ORDER);
		earlier.forEach((count) -> earlierByKey.put(UsageKey.of(count), count));
		return later.stream().map((count) -> {
			UsageCount earlierCount = earlierByKey.get(UsageKey.of(count));
			return (earlierCount != null) ? new UsageCount(count.workspace(), count.service(),
					count.requests() - earlierCount.requests(), count.tokens() - earlierCount.tokens()) : count;
		}).filter((count) -> count.requests() != 0 || count.tokens() != 0).toList();
	}

	/**
	 * Sums counts by workspace and service.
	 * @param countLists the lists of counts
	 * @return the sums, ordered by workspace and service
	 */
	public static List<UsageCount> sum(Collection<List<UsageCount>> countLists) {
		Map<UsageKey, UsageCount> sums = new TreeMap<>(UsageKey.ORDER);
		countLists.forEach((countList) -> countList
			.forEach((count) -> sums.merge(UsageKey.of(count), count, (a, b) -> new UsageCount(a.workspace(),
					a.service(), a.requests() + b.requests(), a.tokens() + b.tokens()))));
		return List.copyOf(sums.values());
	}

	/**
	 * Counts that arrived late and belong to an earlier window.
	 *
	 * @param source the incarnation or {@code domain:<name>} whose counts were late
	 * @param window the start of the first window that the counts can belong to, in
	 * milliseconds since the epoch
	 * @param counts the counts
	 */
	public record Correction(String source, long window, List<UsageCount> counts) {

		public Correction {
			counts = List.copyOf(counts);
		}

	}

	/**
	 * Counters that were never read.
	 *
	 * @param source the incarnation or {@code domain:<name>} that was not read
	 * @param window the start of the window that lacks the counts, in milliseconds since
	 * the epoch
	 * @param lastReadMillis when the source was last read, in milliseconds since the
	 * epoch; 0 for never
	 */
	public record Gap(String source, long window, long lastReadMillis) {
	}

	private record UsageKey(WorkspaceId workspace, ServiceId service) {

		private static final Comparator<UsageKey> ORDER = Comparator
			.comparing((UsageKey key) -> key.workspace().value())
			.thenComparing((key) -> key.service().value());

		private static UsageKey of(UsageCount count) {
			return new UsageKey(count.workspace(), count.service());
		}

	}

}
