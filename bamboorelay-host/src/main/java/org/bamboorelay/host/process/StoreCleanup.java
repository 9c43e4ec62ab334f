package org.bamboorelay.host.process;

import java.util.ArrayList;
import java.util.List;
import java.util.Objects;

import io.vavr.control.Either;
import org.bamboorelay.core.store.StoreFailure;
import org.bamboorelay.core.store.StoredObject;
import org.bamboorelay.core.store.WatchableStore;
import org.bamboorelay.host.version.SubmissionStore;

/**
 * Deletes submissions and usage windows past their retention period, so that the
 * platform's store does not grow without bound. The record of a submission is deleted
 * last, so that an interrupted cleanup is completed by the next one.
 * <p>
 * Used by one thread.
 */
final class StoreCleanup {

	/** Time added to the retention period of results, in milliseconds. */
	private static final long RETENTION_MARGIN_MILLIS = 60_000;

	/**
	 * Number of usage windows to retain; a report is retried for a few windows at most.
	 */
	private static final long RETAINED_WINDOWS = 60;

	private final WatchableStore store;

	private final long retentionMillis;

	private final long windowMillis;

	private final EventLog log;

	StoreCleanup(WatchableStore store, long statusMillis, long windowMillis, EventLog log) {
		this.store = Objects.requireNonNull(store, "store");
		this.retentionMillis = statusMillis + RETENTION_MARGIN_MILLIS;
		this.windowMillis = windowMillis;
		this.log = Objects.requireNonNull(log, "log");
	}

	/**
	 * Deletes all objects past their retention period.
	 * @param now the current wall-clock time, in milliseconds
	 * @return the number of deleted submissions and usage windows
	 */
	int run(long now) {
		int deleted = 0;
		for (StoredObject object : objects(SubmissionStore.RECORDS_KIND)) {
			boolean expired = SubmissionStore.decode(object)
				.map((found) -> found.record().ended() && found.record().acceptedMillis() + this.retentionMillis < now)
				.getOrElse(false);
			String id = name(object);
			if (expired && deleteAll(SubmissionStore.RESULTS_KIND_PREFIX + id)
					&& delete(SubmissionStore.TEXTS_KIND + "/" + id)
					&& delete(SubmissionStore.BODIES_KIND + "/" + id)) {
				deleted += delete(object) ? 1 : 0;
			}
		}
		for (StoredObject object : objects(DutyLoop.WINDOWS_KIND)) {
			if (Long.parseLong(name(object)) < now / this.windowMillis - RETAINED_WINDOWS) {
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
			Either<StoreFailure, WatchableStore.Page> page = this.store.listPage(kind, after);
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
