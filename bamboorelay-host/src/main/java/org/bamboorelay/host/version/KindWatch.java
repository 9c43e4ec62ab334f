package org.bamboorelay.host.version;

import java.util.HashMap;
import java.util.Map;
import java.util.Objects;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.TimeUnit;

import io.vavr.control.Either;
import org.bamboorelay.core.process.Backoff;
import org.bamboorelay.core.store.StoreFailure;
import org.bamboorelay.core.store.StoredObject;
import org.bamboorelay.core.store.WatchedStore;
import org.bamboorelay.host.process.EventLog;

/**
 * Follows the objects of one kind: lists them, watches them, and lists them again where
 * the store lost its history. The listener sees each object at rising versions only.
 * <p>
 * One thread runs the watch; the listener is called on it.
 */
public final class KindWatch implements Runnable {

	/** The longest wait of one watch, in milliseconds; each watch is a paid call. */
	private static final long WAIT_MILLIS = 10_000;

	/** The longest wait while objects may lapse, in milliseconds. */
	private static final long LAPSED_WAIT_MILLIS = 500;

	/**
	 * Time after a watch was cut in which others may be cut too, in milliseconds; a store
	 * that drops its history does so several times.
	 */
	private static final long DOUBT_MILLIS = 8_000;

	/** The longest wait of one watch in that time, in milliseconds. */
	private static final long DOUBT_WAIT_MILLIS = 1_000;

	/** First wait after a failed call, in milliseconds. */
	private static final long BACKOFF_BASE_MILLIS = 50;

	/** The longest wait after failed calls, in milliseconds. */
	private static final long BACKOFF_CAP_MILLIS = 500;

	/**
	 * Time for which objects that lapsed during an outage are kept after it, in
	 * milliseconds: their writers may not have reached the store yet.
	 */
	private static final long RETURN_MILLIS = 2_200;

	private final WatchedStore store;

	private final String kind;

	private final boolean keepsLapsed;

	private final Listener listener;

	private final EventLog log;

	private final Backoff backoff = Backoff.of(BACKOFF_BASE_MILLIS, BACKOFF_CAP_MILLIS,
			() -> ThreadLocalRandom.current().nextDouble());

	private final Map<String, Long> versions = new HashMap<>();

	private final CountDownLatch listed = new CountDownLatch(1);

	private final Map<String, Long> lapsed = new HashMap<>();

	private volatile boolean lost;

	private long doubtUntilMillis = Long.MIN_VALUE / 2;

	private long regainedMillis = Long.MIN_VALUE / 2;

	private volatile boolean closed;

	private KindWatch(WatchedStore store, String kind, boolean keepsLapsed, Listener listener, EventLog log) {
		this.store = Objects.requireNonNull(store, "store");
		this.kind = Objects.requireNonNull(kind, "kind");
		this.keepsLapsed = keepsLapsed;
		this.listener = Objects.requireNonNull(listener, "listener");
		this.log = Objects.requireNonNull(log, "log");
	}

	/**
	 * Creates a watch.
	 * @param store the store
	 * @param kind the kind
	 * @param keepsLapsed whether objects lapse while the store is away and come back
	 * after its return, so that a missing one is kept for a moment
	 * @param listener told of the objects
	 * @param log the log of the process
	 * @return the watch
	 */
	public static KindWatch of(WatchedStore store, String kind, boolean keepsLapsed, Listener listener, EventLog log) {
		return new KindWatch(store, kind, keepsLapsed, listener, log);
	}

	/**
	 * Returns the latch that opens when the objects were listed once.
	 * @return the latch
	 */
	public CountDownLatch listed() {
		return this.listed;
	}

	/**
	 * Ends the watch.
	 */
	public void close() {
		this.closed = true;
	}

	@Override
	public void run() {
		while (!this.closed) {
			Either<StoreFailure, Long> revision = list();
			if (revision.isRight()) {
				this.listed.countDown();
				follow(revision.get());
			}
			else {
				failed(revision.getLeft());
			}
		}
	}

	private void follow(long start) {
		long revision = start;
		while (!this.closed) {
			Either<StoreFailure, WatchedStore.Changes> changes = this.store.changes(this.kind, revision, waitMillis());
			if (changes.isLeft()) {
				// A watch that was cut may have missed changes before, so the objects are
				// listed again.
				this.doubtUntilMillis = nowMillis() + DOUBT_MILLIS;
				if (changes.getLeft() instanceof StoreFailure.HistoryGone) {
					this.log.info("watch-history-gone", "kind", this.kind, "revision", revision);
				}
				else {
					failed(changes.getLeft());
				}
				return;
			}
			answered();
			for (WatchedStore.Change change : changes.get().changes()) {
				apply(change.object(), change.removed());
			}
			revision = Math.max(revision, changes.get().revision());
			dropLapsed();
		}
	}

	private Either<StoreFailure, Long> list() {
		Map<String, StoredObject> found = new HashMap<>();
		String after = "";
		while (true) {
			Either<StoreFailure, WatchedStore.Page> page = this.store.page(this.kind, after);
			if (page.isLeft()) {
				return Either.left(page.getLeft());
			}
			answered();
			for (StoredObject object : page.get().objects()) {
				found.put(object.key(), object);
				after = object.key().substring(object.key().indexOf('/') + 1);
			}
			if (!page.get().more() || page.get().objects().isEmpty()) {
				Map.copyOf(this.versions).forEach((key, version) -> {
					if (!found.containsKey(key)) {
						remove(key);
					}
				});
				found.values().forEach((object) -> apply(object, false));
				return Either.right(page.get().revision());
			}
		}
	}

	private void apply(StoredObject object, boolean removed) {
		String key = object.key();
		String name = key.substring(key.indexOf('/') + 1);
		Long known = this.versions.get(key);
		if (known != null && object.version() < known) {
			return;
		}
		if (removed) {
			remove(key);
			return;
		}
		this.lapsed.remove(key);
		if (known == null || object.version() > known) {
			this.versions.put(key, object.version());
			this.listener.changed(name, object);
		}
	}

	private long waitMillis() {
		if (!this.lapsed.isEmpty()) {
			return LAPSED_WAIT_MILLIS;
		}
		return (nowMillis() < this.doubtUntilMillis) ? DOUBT_WAIT_MILLIS : WAIT_MILLIS;
	}

	private void remove(String key) {
		if (this.keepsLapsed && nowMillis() < this.regainedMillis + RETURN_MILLIS) {
			this.lapsed.putIfAbsent(key, this.regainedMillis + RETURN_MILLIS);
			return;
		}
		this.lapsed.remove(key);
		if (this.versions.remove(key) != null) {
			this.listener.removed(key.substring(key.indexOf('/') + 1));
		}
	}

	private void dropLapsed() {
		long now = nowMillis();
		Map.copyOf(this.lapsed).forEach((key, due) -> {
			if (now >= due) {
				remove(key);
			}
		});
	}

	private static long nowMillis() {
		return TimeUnit.NANOSECONDS.toMillis(System.nanoTime());
	}

	private void answered() {
		this.backoff.reset();
		if (this.lost) {
			this.lost = false;
			this.regainedMillis = nowMillis();
			this.log.info("store-regained", "kind", this.kind);
		}
	}

	private void failed(StoreFailure failure) {
		if (!this.lost) {
			this.lost = true;
			this.log.warn("store-lost", "kind", this.kind, "code", failure.code(), "detail", failure.detail());
		}
		pause(this.backoff.failed());
	}

	private void pause(long millis) {
		try {
			TimeUnit.MILLISECONDS.sleep(millis);
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
			this.closed = true;
		}
	}

	/**
	 * Told of the objects of a kind.
	 */
	public interface Listener {

		/**
		 * An object is new or changed.
		 * @param name the object's name
		 * @param object the object
		 */
		void changed(String name, StoredObject object);

		/**
		 * An object is gone.
		 * @param name the object's name
		 */
		void removed(String name);

	}

}
