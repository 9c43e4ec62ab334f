package org.bamboorelay.host.version;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Set;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;
import java.util.function.Consumer;

import io.vavr.control.Either;
import org.bamboorelay.core.connection.PeerMessage;
import org.bamboorelay.core.process.Backoff;
import org.bamboorelay.core.store.StoreFailure;
import org.bamboorelay.core.store.StoredObject;
import org.bamboorelay.core.store.WatchableStore;
import org.bamboorelay.host.process.EventLog;
import org.bamboorelay.host.process.LoopGuard;

/**
 * Follows the objects of one kind: lists them, watches them, and lists them again if the
 * store lost its history or a watch failed. The listener sees only increasing versions of
 * each object.
 * <p>
 * One thread runs the watch; the listener is called on it.
 */
public final class KindWatcher implements Runnable {

	/**
	 * Pause after a watch call that returned changes of endpoints, in milliseconds, so
	 * that the next call returns several changes. Each call is billed, and its changes
	 * are relayed to all hosts; the time bounds for these changes are 2 s and more.
	 */
	static final long CHANGE_PAUSE_MILLIS = 250;

	/**
	 * Maximum wait of one watch call for a kind that must be current, in milliseconds. A
	 * call that waits through an outage of the store may miss changes, and hosts must
	 * learn of them about 3 s after the outage.
	 */
	private static final long MAX_CURRENT_WAIT_MILLIS = 2_500;

	/**
	 * Maximum wait of one watch call for other kinds, in milliseconds; each call is
	 * billed.
	 */
	private static final long MAX_WAIT_MILLIS = 10_000;

	/**
	 * Maximum wait of one watch call while expired objects are retained, in milliseconds.
	 */
	private static final long MAX_EXPIRED_WAIT_MILLIS = 500;

	/**
	 * Time after a failed watch call in which further calls are likely to fail, in
	 * milliseconds; a store that drops its history does so several times.
	 */
	private static final long WATCH_FAILURE_PERIOD_MILLIS = 8_000;

	/** Maximum wait of one watch call in that time, in milliseconds. */
	private static final long MAX_FAILURE_PERIOD_WAIT_MILLIS = 1_000;

	/**
	 * Maximum wait for changes relayed by peers before a host checks again whether to
	 * watch the store itself, in milliseconds.
	 */
	private static final long RELAY_POLL_MILLIS = 500;

	/** Initial delay after a failed call, in milliseconds. */
	private static final long BACKOFF_BASE_MILLIS = 50;

	/** Maximum delay after failed calls, in milliseconds. */
	private static final long BACKOFF_MAX_MILLIS = 500;

	/**
	 * Time after an outage for which objects that expired during the outage are retained,
	 * in milliseconds: their writers may not have reached the store yet.
	 */
	private static final long EXPIRED_RETENTION_MILLIS = 2_200;

	/**
	 * Maximum number of messages with relayed changes that wait to be applied. If more
	 * arrive, the oldest ones are dropped, and the objects are listed again.
	 */
	private static final int MAX_RELAYED_MESSAGES = 1_000;

	private static final byte[] EMPTY_BODY = "{}".getBytes(StandardCharsets.UTF_8);

	private final WatchableStore store;

	private final String kind;

	private final boolean retainsExpired;

	private final long waitMillis;

	private final long changePauseMillis;

	private final Listener listener;

	private final BooleanSupplier watchesStore;

	private final Consumer<PeerMessage.ObjectChanges> publisher;

	private final BlockingQueue<PeerMessage.ObjectChanges> relayedChanges = new LinkedBlockingQueue<>(
			MAX_RELAYED_MESSAGES);

	private final EventLog log;

	private boolean watchingStore = true;

	private long revision;

	private final Backoff backoff = Backoff.of(BACKOFF_BASE_MILLIS, BACKOFF_MAX_MILLIS,
			() -> ThreadLocalRandom.current().nextDouble());

	private final Map<String, Long> versions = new HashMap<>();

	private final CountDownLatch listed = new CountDownLatch(1);

	private final Map<String, Long> expired = new HashMap<>();

	private volatile boolean storeLost;

	private long failurePeriodEndMillis = Long.MIN_VALUE / 2;

	private long storeRegainedMillis = Long.MIN_VALUE / 2;

	private volatile boolean closed;

	private KindWatcher(WatchableStore store, String kind, boolean retainsExpired, boolean mustBeCurrent,
			Listener listener, BooleanSupplier watchesStore, Consumer<PeerMessage.ObjectChanges> publisher,
			EventLog log) {
		this.watchesStore = Objects.requireNonNull(watchesStore, "watchesStore");
		this.publisher = Objects.requireNonNull(publisher, "publisher");
		this.store = Objects.requireNonNull(store, "store");
		this.kind = Objects.requireNonNull(kind, "kind");
		this.retainsExpired = retainsExpired;
		this.waitMillis = mustBeCurrent ? MAX_CURRENT_WAIT_MILLIS : MAX_WAIT_MILLIS;
		// Endpoints change their entries often. The writers of other kinds wait for the
		// effect: a training step began up to 250 ms later with a pause for submissions.
		this.changePauseMillis = retainsExpired ? CHANGE_PAUSE_MILLIS : 0;
		this.listener = Objects.requireNonNull(listener, "listener");
		this.log = Objects.requireNonNull(log, "log");
	}

	/**
	 * Creates a watcher.
	 * @param store the store
	 * @param kind the kind of the objects
	 * @param retainsExpired whether objects expire while the store is unavailable and
	 * reappear after the outage, so that a missing object is retained for a short time
	 * @param mustBeCurrent whether changes must be known within seconds even after an
	 * outage
	 * @param listener receives the objects
	 * @param watchesStore whether this host watches the store itself, or receives changes
	 * from hosts that do
	 * @param publisher relays observed changes to the other hosts
	 * @param log the log of the process
	 * @return the watcher
	 */
	public static KindWatcher of(WatchableStore store, String kind, boolean retainsExpired, boolean mustBeCurrent,
			Listener listener, BooleanSupplier watchesStore, Consumer<PeerMessage.ObjectChanges> publisher,
			EventLog log) {
		return new KindWatcher(store, kind, retainsExpired, mustBeCurrent, listener, watchesStore, publisher, log);
	}

	/**
	 * Returns the latch that is released when the objects have been listed once.
	 * @return the latch
	 */
	public CountDownLatch listed() {
		return this.listed;
	}

	/**
	 * Stops the watcher.
	 */
	public void close() {
		this.closed = true;
	}

	/**
	 * Accepts changes that another host observed.
	 * @param message the changes
	 */
	public void onChanges(PeerMessage.ObjectChanges message) {
		while (!this.relayedChanges.offer(message)) {
			this.relayedChanges.poll();
		}
	}

	@Override
	public void run() {
		while (!this.closed) {
			LoopGuard.run(this.log, "watch-" + this.kind, this::listAndFollow);
		}
	}

	private void listAndFollow() {
		Either<StoreFailure, Long> revision = list();
		if (revision.isRight()) {
			this.listed.countDown();
			this.revision = Math.max(this.revision, revision.get());
			follow();
		}
		else {
			onStoreFailure(revision.getLeft());
		}
	}

	// Returns when the objects must be listed again.
	private void follow() {
		boolean current = true;
		while (!this.closed && current) {
			boolean watchingStore = this.watchesStore.getAsBoolean();
			if (watchingStore != this.watchingStore) {
				this.watchingStore = watchingStore;
				this.log.info(watchingStore ? "watch-direct" : "watch-through-peers", "kind", this.kind, "revision",
						this.revision);
			}
			current = watchingStore ? watchOnce() : applyRelayedOnce();
			removeExpired();
		}
	}

	// Applies changes relayed by the hosts that watch the store. Each of them relays all
	// changes, so most changes arrive more than once.
	private boolean applyRelayedOnce() {
		try {
			PeerMessage.ObjectChanges message = this.relayedChanges.poll(RELAY_POLL_MILLIS, TimeUnit.MILLISECONDS);
			if (message == null) {
				return true;
			}
			if (message.from() > this.revision) {
				this.log.info("watch-gap", "kind", this.kind, "revision", this.revision, "from", message.from());
				this.relayedChanges.clear();
				return false;
			}
			for (PeerMessage.RelayedObject object : message.changes()) {
				apply(new StoredObject(object.key(), object.version(), object.body()), object.removed());
			}
			this.revision = Math.max(this.revision, message.to());
			return true;
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
			this.closed = true;
			return true;
		}
	}

	private boolean watchOnce() {
		long from = this.revision;
		Either<StoreFailure, WatchableStore.Changes> changes = this.store.awaitChanges(this.kind, from, waitMillis());
		if (changes.isLeft()) {
			// A failed watch may have missed earlier changes, so the objects are listed
			// again.
			this.failurePeriodEndMillis = nowMillis() + WATCH_FAILURE_PERIOD_MILLIS;
			if (changes.getLeft() instanceof StoreFailure.HistoryGone) {
				this.log.info("watch-history-gone", "kind", this.kind, "revision", from);
			}
			else {
				onStoreFailure(changes.getLeft());
			}
			return false;
		}
		onStoreSuccess();
		for (WatchableStore.Change change : changes.get().changes()) {
			apply(change.object(), change.removed());
		}
		this.revision = Math.max(from, changes.get().revision());
		this.publisher.accept(new PeerMessage.ObjectChanges(this.kind, from, this.revision,
				changes.get()
					.changes()
					.stream()
					.map((change) -> new PeerMessage.RelayedObject(change.object().key(), change.object().version(),
							change.object().body(), change.removed()))
					.toList()));
		this.relayedChanges.clear();
		if (!changes.get().changes().isEmpty()) {
			pause(this.changePauseMillis);
		}
		return true;
	}

	// Applies each page before the next one is read, as all objects may occupy too much
	// memory. Returns the revision of the first page, as its objects may change while the
	// following pages are read.
	private Either<StoreFailure, Long> list() {
		Set<String> found = new HashSet<>();
		String after = "";
		long firstRevision = 0;
		while (true) {
			Either<StoreFailure, WatchableStore.Page> page = this.store.listPage(this.kind, after);
			if (page.isLeft()) {
				return Either.left(page.getLeft());
			}
			onStoreSuccess();
			firstRevision = after.isEmpty() ? page.get().revision() : firstRevision;
			List<PeerMessage.RelayedObject> missedChanges = new ArrayList<>();
			for (StoredObject object : page.get().objects()) {
				found.add(object.key());
				after = object.key().substring(object.key().indexOf('/') + 1);
				Long known = this.versions.get(object.key());
				if (known == null || known < object.version()) {
					missedChanges
						.add(new PeerMessage.RelayedObject(object.key(), object.version(), object.body(), false));
					apply(object, false);
				}
			}
			boolean complete = !page.get().more() || page.get().objects().isEmpty();
			if (complete) {
				missedChanges.addAll(removeMissing(found));
			}
			relayMissedChanges(missedChanges, complete ? firstRevision : 0);
			if (complete) {
				return Either.right(firstRevision);
			}
		}
	}

	private List<PeerMessage.RelayedObject> removeMissing(Set<String> found) {
		List<PeerMessage.RelayedObject> removedObjects = new ArrayList<>();
		Map.copyOf(this.versions).forEach((key, version) -> {
			if (!found.contains(key)) {
				removedObjects.add(new PeerMessage.RelayedObject(key, version, EMPTY_BODY, true));
				remove(key);
			}
		});
		return removedObjects;
	}

	// Changes that the watch missed before it failed are relayed too, as the listening
	// hosts relied on that watch.
	private void relayMissedChanges(List<PeerMessage.RelayedObject> missedChanges, long completeRevision) {
		if (this.revision > 0 && !missedChanges.isEmpty()) {
			this.publisher.accept(new PeerMessage.ObjectChanges(this.kind, 0, completeRevision, missedChanges));
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
		this.expired.remove(key);
		if (known == null || object.version() > known) {
			this.versions.put(key, object.version());
			this.listener.changed(name, object);
		}
	}

	private long waitMillis() {
		if (!this.expired.isEmpty()) {
			return MAX_EXPIRED_WAIT_MILLIS;
		}
		return (nowMillis() < this.failurePeriodEndMillis) ? MAX_FAILURE_PERIOD_WAIT_MILLIS : this.waitMillis;
	}

	private void remove(String key) {
		if (this.retainsExpired && nowMillis() < this.storeRegainedMillis + EXPIRED_RETENTION_MILLIS) {
			this.expired.putIfAbsent(key, this.storeRegainedMillis + EXPIRED_RETENTION_MILLIS);
			return;
		}
		this.expired.remove(key);
		if (this.versions.remove(key) != null) {
			this.listener.removed(key.substring(key.indexOf('/') + 1));
		}
	}

	private void removeExpired() {
		long now = nowMillis();
		Map.copyOf(this.expired).forEach((key, dueMillis) -> {
			if (now >= dueMillis) {
				remove(key);
			}
		});
	}

	private static long nowMillis() {
		return TimeUnit.NANOSECONDS.toMillis(System.nanoTime());
	}

	private void onStoreSuccess() {
		this.backoff.reset();
		if (this.storeLost) {
			this.storeLost = false;
			this.storeRegainedMillis = nowMillis();
			this.log.info("store-regained", "kind", this.kind);
		}
	}

	private void onStoreFailure(StoreFailure failure) {
		if (!this.storeLost) {
			this.storeLost = true;
			this.log.warn("store-lost", "kind", this.kind, "code", failure.code(), "detail", failure.detail());
		}
		pause(this.backoff.nextDelayMillis());
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
	 * Receives the objects of a kind.
	 */
	public interface Listener {

		/**
		 * Called when an object was created or changed.
		 * @param name the name of the object
		 * @param object the object
		 */
		void changed(String name, StoredObject object);

		/**
		 * Called when an object was removed.
		 * @param name the name of the object
		 */
		void removed(String name);

	}

}
