package org.bamboorelay.host.version;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
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
import org.bamboorelay.core.store.WatchedStore;
import org.bamboorelay.host.process.EventLog;
import org.bamboorelay.host.process.Steps;

/**
 * Follows the objects of one kind: lists them, watches them, and lists them again where
 * the store lost its history. The listener sees each object at rising versions only.
 * <p>
 * One thread runs the watch; the listener is called on it.
 */
public final class KindWatch implements Runnable {

	/**
	 * The longest wait of one watch of a kind that must be current, in milliseconds. A
	 * watch that waits through an outage of the store may miss what happened meanwhile,
	 * and hosts must know it some 3 s after the outage.
	 */
	private static final long CURRENT_WAIT_MILLIS = 2_500;

	/** The longest wait of one watch of other kinds; each watch is a paid call. */
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

	/** How long a host that does not read waits for changes before it looks around. */
	private static final long LISTEN_MILLIS = 500;

	/** First wait after a failed call, in milliseconds. */
	private static final long BACKOFF_BASE_MILLIS = 50;

	/** The longest wait after failed calls, in milliseconds. */
	private static final long BACKOFF_CAP_MILLIS = 500;

	/**
	 * Time for which objects that lapsed during an outage are kept after it, in
	 * milliseconds: their writers may not have reached the store yet.
	 */
	private static final long RETURN_MILLIS = 2_200;

	private static final byte[] NO_BODY = "{}".getBytes(StandardCharsets.UTF_8);

	private final WatchedStore store;

	private final String kind;

	private final boolean keepsLapsed;

	private final long waitMillis;

	private final Listener listener;

	private final BooleanSupplier reads;

	private final Consumer<PeerMessage.ObjectChanges> publisher;

	private final BlockingQueue<PeerMessage.ObjectChanges> passedOn = new LinkedBlockingQueue<>();

	private final EventLog log;

	private boolean reading = true;

	private long revision;

	private final Backoff backoff = Backoff.of(BACKOFF_BASE_MILLIS, BACKOFF_CAP_MILLIS,
			() -> ThreadLocalRandom.current().nextDouble());

	private final Map<String, Long> versions = new HashMap<>();

	private final CountDownLatch listed = new CountDownLatch(1);

	private final Map<String, Long> lapsed = new HashMap<>();

	private volatile boolean lost;

	private long doubtUntilMillis = Long.MIN_VALUE / 2;

	private long regainedMillis = Long.MIN_VALUE / 2;

	private volatile boolean closed;

	private KindWatch(WatchedStore store, String kind, boolean keepsLapsed, boolean mustBeCurrent, Listener listener,
			BooleanSupplier reads, Consumer<PeerMessage.ObjectChanges> publisher, EventLog log) {
		this.reads = Objects.requireNonNull(reads, "reads");
		this.publisher = Objects.requireNonNull(publisher, "publisher");
		this.store = Objects.requireNonNull(store, "store");
		this.kind = Objects.requireNonNull(kind, "kind");
		this.keepsLapsed = keepsLapsed;
		this.waitMillis = mustBeCurrent ? CURRENT_WAIT_MILLIS : WAIT_MILLIS;
		this.listener = Objects.requireNonNull(listener, "listener");
		this.log = Objects.requireNonNull(log, "log");
	}

	/**
	 * Creates a watch.
	 * @param store the store
	 * @param kind the kind
	 * @param keepsLapsed whether objects lapse while the store is away and come back
	 * after its return, so that a missing one is kept for a moment
	 * @param mustBeCurrent whether changes must be known within seconds in any case
	 * @param listener told of the objects
	 * @param reads whether this host watches the store, or listens to hosts that do
	 * @param publisher passes on to the other hosts what this one saw
	 * @param log the log of the process
	 * @return the watch
	 */
	public static KindWatch of(WatchedStore store, String kind, boolean keepsLapsed, boolean mustBeCurrent,
			Listener listener, BooleanSupplier reads, Consumer<PeerMessage.ObjectChanges> publisher, EventLog log) {
		return new KindWatch(store, kind, keepsLapsed, mustBeCurrent, listener, reads, publisher, log);
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

	/**
	 * Takes what another host saw.
	 * @param message the changes
	 */
	public void onChanges(PeerMessage.ObjectChanges message) {
		this.passedOn.add(message);
	}

	@Override
	public void run() {
		while (!this.closed) {
			Steps.run(this.log, "watch-" + this.kind, this::listAndFollow);
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
			failed(revision.getLeft());
		}
	}

	// Returns where the objects have to be listed again.
	private void follow() {
		boolean complete = true;
		while (!this.closed && complete) {
			boolean reading = this.reads.getAsBoolean();
			if (reading != this.reading) {
				this.reading = reading;
				this.log.info(reading ? "watch-direct" : "watch-through-peers", "kind", this.kind, "revision",
						this.revision);
			}
			complete = reading ? watchOnce() : listenOnce();
			dropLapsed();
		}
	}

	// Takes the changes that readers of the store pass on. Each of them passes on all, so
	// most come more than once.
	private boolean listenOnce() {
		try {
			PeerMessage.ObjectChanges message = this.passedOn.poll(LISTEN_MILLIS, TimeUnit.MILLISECONDS);
			if (message == null) {
				return true;
			}
			if (message.from() > this.revision) {
				this.log.info("watch-gap", "kind", this.kind, "revision", this.revision, "from", message.from());
				this.passedOn.clear();
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
		Either<StoreFailure, WatchedStore.Changes> changes = this.store.changes(this.kind, from, waitMillis());
		if (changes.isLeft()) {
			// A watch that was cut may have missed changes before, so the objects are
			// listed again.
			this.doubtUntilMillis = nowMillis() + DOUBT_MILLIS;
			if (changes.getLeft() instanceof StoreFailure.HistoryGone) {
				this.log.info("watch-history-gone", "kind", this.kind, "revision", from);
			}
			else {
				failed(changes.getLeft());
			}
			return false;
		}
		answered();
		for (WatchedStore.Change change : changes.get().changes()) {
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
		this.passedOn.clear();
		return true;
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
				adopt(found, page.get().revision());
				return Either.right(page.get().revision());
			}
		}
	}

	// What a watch missed before it was cut is passed on too, as the hosts that listen
	// relied on that watch.
	private void adopt(Map<String, StoredObject> found, long at) {
		List<PeerMessage.RelayedObject> missed = new ArrayList<>();
		Map.copyOf(this.versions).forEach((key, version) -> {
			if (!found.containsKey(key)) {
				missed.add(new PeerMessage.RelayedObject(key, version, NO_BODY, true));
				remove(key);
			}
		});
		for (StoredObject object : found.values()) {
			Long known = this.versions.get(object.key());
			if (known == null || known < object.version()) {
				missed.add(new PeerMessage.RelayedObject(object.key(), object.version(), object.body(), false));
				apply(object, false);
			}
		}
		if (this.revision > 0 && !missed.isEmpty()) {
			this.publisher.accept(new PeerMessage.ObjectChanges(this.kind, 0, at, missed));
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
		return (nowMillis() < this.doubtUntilMillis) ? DOUBT_WAIT_MILLIS : this.waitMillis;
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
