package org.bamboorelay.standins.process;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;

/**
 * Bounded prefix cache of an engine with LRU eviction. Prompts are split into blocks of
 * words; a block is identified by the hash of the salt and all words up to its end. Cache
 * events become visible after a delay, and some are lost.
 * <p>
 * Not thread-safe; guarded by the lock of its {@link SimulatedEngine}.
 */
final class PrefixCache {

	static final int BLOCK_WORDS = 16;

	/** Maximum number of retained events; bounds the memory if no client reads them. */
	private static final int MAX_EVENTS = 10_000;

	private final LinkedHashMap<Integer, Boolean> blocks = new LinkedHashMap<>(16, 0.75f, true);

	private final Deque<Event> events = new ArrayDeque<>();

	private final int maxBlocks;

	private final long eventLagMillis;

	private final int eventLossInterval;

	private long sequence;

	PrefixCache(int maxBlocks, long eventLagMillis, int eventLossInterval) {
		this.maxBlocks = maxBlocks;
		this.eventLagMillis = eventLagMillis;
		this.eventLossInterval = eventLossInterval;
	}

	/**
	 * Looks up a prompt and stores the missing blocks.
	 * @param salt the salt
	 * @param words the words of the prompt
	 * @param nowMillis the time
	 * @return the number of leading words that were in the cache
	 */
	int lookUpAndStore(String salt, String[] words, long nowMillis) {
		int hash = salt.hashCode();
		int cachedWords = 0;
		boolean inCache = true;
		for (int i = 0; i < words.length; i++) {
			hash = Objects.hash(hash, words[i]);
			if ((i + 1) % BLOCK_WORDS == 0) {
				inCache &= this.blocks.get(hash) != null;
				if (inCache) {
					cachedWords = i + 1;
				}
				else {
					store(hash, nowMillis);
				}
			}
		}
		return cachedWords;
	}

	void clear(long nowMillis) {
		this.blocks.clear();
		addEvent("cleared", 0, nowMillis);
	}

	List<Map<String, Object>> eventsAfter(long after, long nowMillis) {
		List<Map<String, Object>> visible = new ArrayList<>();
		for (Event event : this.events) {
			if (event.sequence() > after && event.atMillis() + this.eventLagMillis <= nowMillis) {
				visible.add(Map.of("seq", event.sequence(), "event", event.name(), "block", event.block(), "at_ms",
						event.atMillis()));
			}
		}
		return visible;
	}

	private void store(int block, long nowMillis) {
		this.blocks.put(block, true);
		addEvent("stored", block, nowMillis);
		if (this.blocks.size() > this.maxBlocks) {
			Iterator<Integer> oldest = this.blocks.keySet().iterator();
			int removed = oldest.next();
			oldest.remove();
			addEvent("removed", removed, nowMillis);
		}
	}

	private void addEvent(String name, int block, long nowMillis) {
		this.sequence++;
		if (this.eventLossInterval > 0 && this.sequence % this.eventLossInterval == 0) {
			return;
		}
		this.events.addLast(new Event(this.sequence, name, block, nowMillis));
		if (this.events.size() > MAX_EVENTS) {
			this.events.removeFirst();
		}
	}

	private record Event(long sequence, String name, int block, long atMillis) {
	}

}
