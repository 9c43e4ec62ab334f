package org.bamboorelay.standins.process;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.TreeMap;

import io.vavr.control.Option;
import org.bamboorelay.core.store.ObjectStore;
import org.jspecify.annotations.Nullable;

/**
 * Objects of the object API, with one revision for the whole store.
 * <p>
 * Thread-safe.
 */
public final class ObjectTable {

	private final TreeMap<String, Entry> entries = new TreeMap<>();

	private long revision;

	/**
	 * Reads an object.
	 * @param key the key
	 * @return the object, none where it does not exist
	 */
	public synchronized Option<Entry> read(String key) {
		return Option.of(this.entries.get(key)).filter(Entry::exists);
	}

	/**
	 * Writes an object.
	 * @param key the key
	 * @param body the body
	 * @param condition the condition
	 * @return the outcome
	 */
	public synchronized Outcome write(String key, byte[] body, Condition condition) {
		Objects.requireNonNull(body, "body");
		if (body.length > ObjectStore.MAX_VALUE_BYTES) {
			return new Outcome(413, this.revision);
		}
		return change(key, body, condition);
	}

	/**
	 * Deletes an object.
	 * @param key the key
	 * @param condition the condition
	 * @return the outcome
	 */
	public synchronized Outcome delete(String key, Condition condition) {
		if (read(key).isEmpty()) {
			return new Outcome(404, this.revision);
		}
		return change(key, null, condition);
	}

	/**
	 * Lists the objects under a prefix.
	 * @param prefix the prefix
	 * @return the objects by key
	 */
	public synchronized Map<String, Entry> list(String prefix) {
		Map<String, Entry> found = new TreeMap<>();
		this.entries.tailMap(prefix).forEach((key, entry) -> {
			if (key.startsWith(prefix) && entry.exists()) {
				found.put(key, entry);
			}
		});
		return found;
	}

	/**
	 * Returns the keys that changed, deleted ones included.
	 * @param prefix the prefix of the keys
	 * @param after the revision after which a change counts
	 * @return the keys with the present revision
	 */
	public synchronized Changes changes(String prefix, long after) {
		List<String> keys = new ArrayList<>();
		for (Map.Entry<String, Entry> entry : this.entries.tailMap(prefix).entrySet()) {
			if (!entry.getKey().startsWith(prefix)) {
				break;
			}
			if (entry.getValue().version() > after) {
				keys.add(entry.getKey());
			}
		}
		return new Changes(this.revision, keys);
	}

	/**
	 * Waits for a change.
	 * @param prefix the prefix of the keys
	 * @param after the revision after which a change counts
	 * @param waitMillis the longest wait, in milliseconds
	 * @return the keys that changed, none after the longest wait
	 * @throws InterruptedException where the waiting thread is interrupted
	 */
	public synchronized Changes awaitChanges(String prefix, long after, long waitMillis) throws InterruptedException {
		long deadline = System.nanoTime() + waitMillis * 1_000_000L;
		Changes changes = changes(prefix, after);
		while (changes.keys().isEmpty()) {
			long left = (deadline - System.nanoTime()) / 1_000_000L;
			if (left <= 0) {
				return changes;
			}
			wait(left);
			changes = changes(prefix, after);
		}
		return changes;
	}

	private Outcome change(String key, byte @Nullable [] body, Condition condition) {
		long present = read(key).map(Entry::version).getOrElse(0L);
		if (!condition.isMet(present)) {
			return new Outcome(412, present);
		}
		this.revision++;
		this.entries.put(key, new Entry(this.revision, body));
		notifyAll();
		return new Outcome(200, this.revision);
	}

	/**
	 * A version of an object.
	 *
	 * @param version the revision of the store that wrote it
	 * @param body the body, null where this version deleted the object
	 */
	public record Entry(long version, byte @Nullable [] body) {

		/**
		 * Tells whether the object exists.
		 * @return false for a deleted one
		 */
		public boolean exists() {
			return this.body != null;
		}

	}

	/**
	 * Outcome of a write.
	 *
	 * @param status 200, 404, 412 or 413
	 * @param version the new version where the status is 200
	 */
	public record Outcome(int status, long version) {
	}

	/**
	 * Changes under a prefix.
	 *
	 * @param revision the present revision of the store
	 * @param keys the keys that changed
	 */
	public record Changes(long revision, List<String> keys) {
	}

	/**
	 * Condition on the present version of an object, which is 0 where there is none.
	 */
	@FunctionalInterface
	public interface Condition {

		/** Always met. */
		Condition NONE = (present) -> true;

		/** Met where the object does not exist. */
		Condition ABSENT = (present) -> present == 0;

		/**
		 * Returns a condition that is met at one version.
		 * @param version the version
		 * @return the condition
		 */
		static Condition version(long version) {
			return (present) -> present == version;
		}

		/**
		 * Tells whether the condition is met.
		 * @param present the present version
		 * @return whether it is met
		 */
		boolean isMet(long present);

	}

}
