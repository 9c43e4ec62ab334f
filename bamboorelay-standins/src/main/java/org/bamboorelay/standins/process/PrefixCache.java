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
 * Limited prefix cache of an engine. Prompts are cut into blocks of words; a block is
 * known by the hash of the salt and all words up to its end. The oldest used block leaves
 * first. Events appear late, and some never do.
 * <p>
 * Not thread-safe; guarded by the lock of its {@link EngineState}.
 */
final class PrefixCache {

	static final int BLOCK_WORDS = 16;

	/** Bounds the memory of events that nobody reads. */
	private static final int MAX_EVENTS = 10_000;

	private final LinkedHashMap<Integer, Boolean> blocks = new LinkedHashMap<>(16, 0.75f, true);

	private final Deque<Event> events = new ArrayDeque<>();

	private final int limit;

	private final long lagMillis;

	private final int gapEvery;

	private long sequence;

	PrefixCache(int limit, long lagMillis, int gapEvery) {
		this.limit = limit;
		this.lagMillis = lagMillis;
		this.gapEvery = gapEvery;
	}

	/**
	 * Looks a prompt up and stores it.
	 * @param salt the salt
	 * @param words the words of the prompt
	 * @param nowMillis the time
	 * @return how many of the words were in the cache
	 */
	int use(String salt, String[] words, long nowMillis) {
		int hash = salt.hashCode();
		int hit = 0;
		boolean inCache = true;
		for (int i = 0; i < words.length; i++) {
			hash = Objects.hash(hash, words[i]);
			if ((i + 1) % BLOCK_WORDS == 0) {
				inCache &= this.blocks.get(hash) != null;
				if (inCache) {
					hit = i + 1;
				}
				else {
					store(hash, nowMillis);
				}
			}
		}
		return hit;
	}

	void clear(long nowMillis) {
		this.blocks.clear();
		note("cleared", 0, nowMillis);
	}

	List<Map<String, Object>> eventsAfter(long after, long nowMillis) {
		List<Map<String, Object>> found = new ArrayList<>();
		for (Event event : this.events) {
			if (event.sequence() > after && event.atMillis() + this.lagMillis <= nowMillis) {
				found.add(Map.of("seq", event.sequence(), "event", event.name(), "block", event.block(), "at_ms",
						event.atMillis()));
			}
		}
		return found;
	}

	private void store(int block, long nowMillis) {
		this.blocks.put(block, true);
		note("stored", block, nowMillis);
		if (this.blocks.size() > this.limit) {
			Iterator<Integer> oldest = this.blocks.keySet().iterator();
			int removed = oldest.next();
			oldest.remove();
			note("removed", removed, nowMillis);
		}
	}

	private void note(String name, int block, long nowMillis) {
		this.sequence++;
		if (this.gapEvery > 0 && this.sequence % this.gapEvery == 0) {
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
