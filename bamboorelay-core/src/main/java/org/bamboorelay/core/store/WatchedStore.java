package org.bamboorelay.core.store;

import java.util.List;

import io.vavr.control.Either;

/**
 * An object store whose keys have the form {@code kind/name}, and which lists and watches
 * the objects of a kind with their values.
 * <p>
 * Implementations are thread-safe.
 */
public interface WatchedStore extends ObjectStore {

	/**
	 * Lists objects of a kind in the order of their names.
	 * @param kind the kind
	 * @param after the name to continue after; empty to begin
	 * @return some objects, and the revision that they were read at
	 */
	Either<StoreFailure, Page> page(String kind, String after);

	/**
	 * Waits for changes of a kind.
	 * @param kind the kind
	 * @param since the revision to continue from
	 * @param waitMillis the longest wait, in milliseconds
	 * @return the changes, none where the wait ended; {@link StoreFailure.HistoryGone}
	 * where the store no longer knows what happened since
	 */
	Either<StoreFailure, Changes> changes(String kind, long since, long waitMillis);

	/**
	 * Replaces the status of an object, which its creator reads.
	 * @param key the key
	 * @param status the status
	 * @return the new version
	 */
	Either<StoreFailure, Long> writeStatus(String key, byte[] status);

	/**
	 * Objects of a kind.
	 *
	 * @param objects the objects
	 * @param more whether there are more
	 * @param revision the store's revision
	 */
	record Page(List<StoredObject> objects, boolean more, long revision) {
	}

	/**
	 * Changes of a kind.
	 *
	 * @param changes the changes, oldest first
	 * @param revision the revision to continue from
	 */
	record Changes(List<Change> changes, long revision) {
	}

	/**
	 * A change of an object.
	 *
	 * @param object the object; its last value where it was removed
	 * @param removed whether it is gone
	 */
	record Change(StoredObject object, boolean removed) {
	}

}
