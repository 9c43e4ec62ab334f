package org.bamboorelay.core.process;

import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.Map;

/**
 * The engines to which this host recently sent items of each group, and which therefore
 * have prefilled the shared part of their prompts.
 * <p>
 * Not thread-safe; guarded by the lock of {@link EndpointTable}.
 */
final class SharedPrompts {

	/**
	 * Time after which a shared part counts as evicted, in milliseconds. Items of a group
	 * are rarely sent later than that.
	 */
	private static final long MAX_AGE_MILLIS = 15_000;

	/** Maximum number of groups; the one used longest ago is removed. */
	private static final int MAX_GROUPS = 1_024;

	private final Map<String, Map<String, Long>> sentMillis = new LinkedHashMap<>(16, 0.75f, true) {

		@Override
		protected boolean removeEldestEntry(Map.Entry<String, Map<String, Long>> eldest) {
			return size() > MAX_GROUPS;
		}

	};

	/**
	 * Records that an item was sent.
	 * @param group its group; empty for none
	 * @param endpoint the engine
	 * @param nowMillis the time, in milliseconds
	 */
	void put(String group, String endpoint, long nowMillis) {
		if (!group.isEmpty()) {
			this.sentMillis.computeIfAbsent(group, (key) -> new HashMap<>()).put(endpoint, nowMillis);
		}
	}

	/**
	 * Returns the engines that have prefilled the shared part of a group.
	 * @param group the group
	 * @param nowMillis the time, in milliseconds
	 * @return the time of the last item, by engine
	 */
	Map<String, Long> holders(String group, long nowMillis) {
		Map<String, Long> holders = this.sentMillis.get(group);
		if (holders == null) {
			return Map.of();
		}
		holders.values().removeIf((sent) -> nowMillis - sent >= MAX_AGE_MILLIS);
		return holders;
	}

}
