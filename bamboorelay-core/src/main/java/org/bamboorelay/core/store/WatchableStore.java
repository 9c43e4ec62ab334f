package org.bamboorelay.core.store;

import java.util.List;

import io.vavr.control.Either;

/**
 * An object store whose keys have the form {@code kind/name}, and which can list and
 * watch the objects of a kind together with their values.
 * <p>
 * Implementations are thread-safe.
 */
public interface WatchableStore extends ObjectStore {

	/**
	 * Lists one page of the objects of a kind, in order of name.
	 * @param kind the kind
	 * @param after the last name of the previous page; empty for the first page
	 * @return the page, with the revision at which it was read
	 */
	Either<StoreFailure, Page> listPage(String kind, String after);

	/**
	 * Waits for changes to the objects of a kind.
	 * @param kind the kind
	 * @param since the revision to continue from
	 * @param waitMillis the maximum wait, in milliseconds
	 * @return the changes, empty if the wait timed out; {@link StoreFailure.HistoryGone}
	 * if the store no longer has the history since that revision
	 */
	Either<StoreFailure, Changes> awaitChanges(String kind, long since, long waitMillis);

	/**
	 * Replaces the status of an object. The creator of the object reads the status.
	 * @param key the key
	 * @param status the status
	 * @return the new version
	 */
	Either<StoreFailure, Long> writeStatus(String key, byte[] status);

	/**
	 * One page of the objects of a kind.
	 *
	 * @param objects the objects
	 * @param more whether further pages follow
	 * @param revision the store's revision at the time of reading
	 */
	record Page(List<StoredObject> objects, boolean more, long revision) {
	}

	/**
	 * Changes to the objects of a kind.
	 *
	 * @param changes the changes, oldest first
	 * @param revision the revision to continue from
	 */
	record Changes(List<Change> changes, long revision) {
	}

	/**
	 * A change to an object.
	 *
	 * @param object the object, with its last value if it was removed
	 * @param removed whether the object was removed
	 */
	record Change(StoredObject object, boolean removed) {
	}

}
