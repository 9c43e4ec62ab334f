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
 * In-memory objects of the object API, with one revision counter for the whole store.
 * <p>
 * Thread-safe.
 */
public final class ObjectTable {

	private final TreeMap<String, Entry> entries = new TreeMap<>();

	private long revision;

	/**
	 * Reads an object.
	 * @param key the key
	 * @return the object, or none if it does not exist
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
		return commit(key, body, condition);
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
		return commit(key, null, condition);
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
	 * Returns the keys that changed after a revision, including deleted keys.
	 * @param prefix the prefix of the keys
	 * @param after the revision after which changes are returned
	 * @return the changed keys and the current revision
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
	 * @param after the revision after which changes are returned
	 * @param waitMillis the maximum wait, in milliseconds
	 * @return the changed keys, empty after the maximum wait
	 * @throws InterruptedException if the waiting thread is interrupted
	 */
	public synchronized Changes awaitChanges(String prefix, long after, long waitMillis) throws InterruptedException {
		long deadline = System.nanoTime() + waitMillis * 1_000_000L;
		Changes changes = changes(prefix, after);
		while (changes.keys().isEmpty()) {
			long remainingMillis = (deadline - System.nanoTime()) / 1_000_000L;
			if (remainingMillis <= 0) {
				return changes;
			}
			wait(remainingMillis);
			changes = changes(prefix, after);
		}
		return changes;
	}

	private Outcome commit(String key, byte @Nullable [] body, Condition condition) {
		long current = read(key).map(Entry::version).getOrElse(0L);
		if (!condition.isMet(current)) {
			return new Outcome(412, current);
		}
		this.revision++;
		this.entries.put(key, new Entry(this.revision, body));
		notifyAll();
		return new Outcome(200, this.revision);
	}

	/**
	 * A version of an object.
	 *
	 * @param version the revision of the store at which it was written
	 * @param body the body, null if this version deleted the object
	 */
	public record Entry(long version, byte @Nullable [] body) {

		/**
		 * Tells whether the object exists.
		 * @return false for a deleted object
		 */
		public boolean exists() {
			return this.body != null;
		}

	}

	/**
	 * Outcome of a write.
	 *
	 * @param status 200, 404, 412 or 413
	 * @param version the new version if the status is 200
	 */
	public record Outcome(int status, long version) {
	}

	/**
	 * Changes under a prefix.
	 *
	 * @param revision the current revision of the store
	 * @param keys the keys that changed
	 */
	public record Changes(long revision, List<String> keys) {
	}

	/**
	 * Condition on the current version of an object, which is 0 if the object does not
	 * exist.
	 */
	@FunctionalInterface
	public interface Condition {

		/** Always met. */
		Condition NONE = (current) -> true;

		/** Met if the object does not exist. */
		Condition ABSENT = (current) -> current == 0;

		/**
		 * Returns a condition that is met at exactly one version.
		 * @param version the version
		 * @return the condition
		 */
		static Condition version(long version) {
			return (current) -> current == version;
		}

		/**
		 * Tells whether the condition is met.
		 * @param current the current version
		 * @return whether it is met
		 */
		boolean isMet(long current);

	}

}
