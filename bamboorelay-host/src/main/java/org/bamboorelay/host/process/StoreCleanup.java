package org.bamboorelay.host.process;

import java.util.ArrayList;
import java.util.List;
import java.util.Objects;

import io.vavr.control.Either;
import org.bamboorelay.core.store.StoreFailure;
import org.bamboorelay.core.store.StoredObject;
import org.bamboorelay.core.store.WatchedStore;
import org.bamboorelay.host.version.SubmissionStore;

/**
 * Deletes submissions and usage windows that nobody may ask for any more, so that the
 * platform's store does not grow for ever. A submission goes with its record last, so
 * that a cleanup that is broken off is finished by the next one.
 * <p>
 * Used by one thread.
 */
final class StoreCleanup {

	/** Time beyond the one for which results are kept, in milliseconds. */
	private static final long MARGIN_MILLIS = 60_000;

	/** Windows that are kept; a report is repeated for a few windows at most. */
	private static final long KEPT_WINDOWS = 60;

	private final WatchedStore store;

	private final long keptMillis;

	private final long windowMillis;

	private final EventLog log;

	StoreCleanup(WatchedStore store, long statusMillis, long windowMillis, EventLog log) {
		this.store = Objects.requireNonNull(store, "store");
		this.keptMillis = statusMillis + MARGIN_MILLIS;
		this.windowMillis = windowMillis;
		this.log = Objects.requireNonNull(log, "log");
	}

	/**
	 * Deletes what is too old.
	 * @param now the wall clock, in milliseconds
	 * @return the number of objects that were deleted
	 */
	int run(long now) {
		int deleted = 0;
		for (StoredObject object : objects(SubmissionStore.RECORDS)) {
			boolean old = SubmissionStore.decode(object)
				.map((found) -> found.record().ended() && found.record().acceptedMillis() + this.keptMillis < now)
				.getOrElse(false);
			String id = name(object);
			if (old && deleteAll(SubmissionStore.RESULTS + id) && delete(SubmissionStore.BODIES + "/" + id)) {
				deleted += delete(object) ? 1 : 0;
			}
		}
		for (StoredObject object : objects(DutyLoop.WINDOWS_KIND)) {
			if (Long.parseLong(name(object)) < now / this.windowMillis - KEPT_WINDOWS) {
				deleted += delete(object) ? 1 : 0;
			}
		}
		if (deleted > 0) {
			this.log.info("store-cleaned", "deleted", deleted);
		}
		return deleted;
	}

	private boolean deleteAll(String kind) {
		return objects(kind).stream().allMatch(this::delete);
	}

	private boolean delete(String key) {
		return this.store.read(key).map((object) -> object.isEmpty() || delete(object.get())).getOrElse(false);
	}

	private boolean delete(StoredObject object) {
		Either<StoreFailure, Long> result = this.store.delete(object.key(), object.version());
		if (result.isLeft()) {
			this.log.info("store-object-kept", "key", object.key(), "code", result.getLeft().code());
		}
		return result.isRight();
	}

	private List<StoredObject> objects(String kind) {
		List<StoredObject> objects = new ArrayList<>();
		String after = "";
		while (true) {
			Either<StoreFailure, WatchedStore.Page> page = this.store.page(kind, after);
			if (page.isLeft()) {
				this.log.info("store-not-cleaned", "kind", kind, "code", page.getLeft().code());
				return objects;
			}
			objects.addAll(page.get().objects());
			if (!page.get().more() || page.get().objects().isEmpty()) {
				return objects;
			}
			after = name(objects.get(objects.size() - 1));
		}
	}

	private static String name(StoredObject object) {
		return object.key().substring(object.key().indexOf('/') + 1);
	}

}
