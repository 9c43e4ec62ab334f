package org.bamboorelay.host.version;

import java.nio.charset.StandardCharsets;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.locks.LockSupport;
import java.util.function.BooleanSupplier;

import io.vavr.control.Either;
import io.vavr.control.Option;
import org.bamboorelay.core.connection.PeerMessage;
import org.bamboorelay.core.store.StoreFailure;
import org.bamboorelay.core.store.StoredObject;
import org.bamboorelay.core.store.WatchableStore;
import org.bamboorelay.host.process.EventLog;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests for {@link KindWatcher} with a scripted store.
 */
class KindWatcherTests {

	private static final long TIMEOUT_MILLIS = 10_000;

	private final ScriptedStore store = new ScriptedStore();

	private final List<String> seen = new CopyOnWriteArrayList<>();

	private final List<PeerMessage.ObjectChanges> published = new CopyOnWriteArrayList<>();

	private volatile boolean watchesStore = true;

	private final KindWatcher watcher = KindWatcher.of(this.store, "k", true, true, new KindWatcher.Listener() {

		@Override
		public void changed(String name, StoredObject object) {
			KindWatcherTests.this.seen.add(name + "@" + object.version());
		}

		@Override
		public void removed(String name) {
			KindWatcherTests.this.seen.add("-" + name);
		}

	}, () -> this.watchesStore, this.published::add, new EventLog());

	@AfterEach
	void stop() {
		this.watcher.close();
		this.store.respond(Either.right(new WatchableStore.Changes(List.of(), 0)));
	}

	@Test
	void changesMissedByFailedWatchAreListedAndRelayed() {
		// After a failed watch, a host continued from its old revision and missed a
		// version of the routes, as did the hosts that received changes from it.
		this.store.put("a", 1);
		startWatcher();
		awaitCondition(() -> this.seen.contains("a@1"));
		this.store.put("a", 2);
		this.store.respond(Either.left(new StoreFailure.OutcomeUnknown("reset")));
		awaitCondition(() -> this.seen.contains("a@2"));
		awaitCondition(() -> this.published.stream()
			.anyMatch((message) -> message.changes().stream().anyMatch((change) -> change.version() == 2)));
	}

	@Test
	void watchLeavesTimeForSeveralChanges() {
		// A watch call for each single change of many endpoints was a third of all billed
		// calls of a host that watches the store.
		startWatcher();
		long startNanos = System.nanoTime();
		for (int version = 1; version <= 4; version++) {
			this.store.respond(Either.right(new WatchableStore.Changes(
					List.of(new WatchableStore.Change(new StoredObject("k/a", version, new byte[0]), false)),
					version)));
		}
		awaitCondition(() -> this.seen.contains("a@4"));
		assertThat(this.seen).contains("a@4");
		assertThat(TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - startNanos))
			.isGreaterThanOrEqualTo(3 * KindWatcher.CHANGE_PAUSE_MILLIS);
	}

	@Test
	void objectsExpiredDuringOutageAreRetainedTemporarily() {
		// Endpoints whose entries expired during a store outage reappeared within two
		// seconds, but all of them counted as removed in between.
		this.store.put("a", 1);
		startWatcher();
		awaitCondition(() -> this.seen.contains("a@1"));
		this.store.remove("a");
		this.store.respond(Either.left(new StoreFailure.Unavailable("down")));
		awaitCondition(() -> this.store.listCalls() >= 2);
		assertThat(this.seen).doesNotContain("-a");
		this.store.put("a", 3);
		this.store.respond(Either.right(new WatchableStore.Changes(
				List.of(new WatchableStore.Change(ScriptedStore.object("a", 3), false)), 3)));
		awaitCondition(() -> this.seen.contains("a@3"));
		assertThat(this.seen).doesNotContain("-a");
	}

	@Test
	void relayedChangeIsAppliedOnce() {
		this.watchesStore = false;
		this.store.put("a", 1);
		startWatcher();
		awaitCondition(() -> this.seen.contains("a@1"));
		PeerMessage.ObjectChanges message = new PeerMessage.ObjectChanges("k", 1, 5,
				List.of(new PeerMessage.RelayedObject("k/a", 4, "{}".getBytes(StandardCharsets.UTF_8), false)));
		this.watcher.onChanges(message);
		this.watcher.onChanges(message);
		awaitCondition(() -> this.seen.contains("a@4"));
		assertThat(this.seen).containsExactly("a@1", "a@4");
		assertThat(this.store.listCalls()).isEqualTo(1);
	}

	@Test
	void gapInRelayedChangesCausesNewListing() {
		this.watchesStore = false;
		this.store.put("a", 1);
		startWatcher();
		awaitCondition(() -> this.seen.contains("a@1"));
		this.store.put("a", 7);
		this.watcher.onChanges(new PeerMessage.ObjectChanges("k", 8, 9, List.of()));
		awaitCondition(() -> this.seen.contains("a@7"));
	}

	@Test
	void changeOfAnObjectWhosePageWasReadIsNotMissed() {
		// An endpoint that came while the last page was read was unknown until the next
		// listing, as the watch began at the revision of that page.
		this.store.maxPageObjects(1);
		this.store.put("a", 1);
		this.store.put("b", 2);
		this.store.beforePage("a", () -> this.store.put("a", 3));
		startWatcher();
		awaitCondition(() -> this.store.lastSince() > 0);
		assertThat(this.seen).containsExactly("a@1", "b@2");
		assertThat(this.store.lastSince()).isEqualTo(2);
	}

	private void startWatcher() {
		Thread thread = new Thread(this.watcher);
		thread.setDaemon(true);
		thread.start();
	}

	private static void awaitCondition(BooleanSupplier condition) {
		long end = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(TIMEOUT_MILLIS);
		while (!condition.getAsBoolean()) {
			assertThat(System.nanoTime()).as("time").isLessThan(end);
			LockSupport.parkNanos(2_000_000);
		}
	}

	/**
	 * Store whose watch calls return when the test supplies a response.
	 */
	private static final class ScriptedStore implements WatchableStore {

		private final Map<String, StoredObject> objects = new TreeMap<>();

		private final Deque<Either<StoreFailure, Changes>> responses = new ArrayDeque<>();

		private int maxPageObjects = Integer.MAX_VALUE;

		private String triggeringPage = "";

		private Runnable beforePage = () -> {
		};

		private int listCalls;

		private long lastSince;

		private long revision = 1;

		static StoredObject object(String name, long version) {
			return new StoredObject("k/" + name, version, "{}".getBytes(StandardCharsets.UTF_8));
		}

		synchronized void put(String name, long version) {
			this.objects.put(name, object(name, version));
			this.revision = Math.max(this.revision, version);
		}

		synchronized void remove(String name) {
			this.objects.remove(name);
		}

		synchronized void respond(Either<StoreFailure, Changes> answer) {
			this.responses.add(answer);
			notifyAll();
		}

		synchronized void maxPageObjects(int count) {
			this.maxPageObjects = count;
		}

		// Runs an action before the page after an object is listed.
		synchronized void beforePage(String after, Runnable action) {
			this.triggeringPage = after;
			this.beforePage = action;
		}

		// Returns the revision from which the last watch call started, or 0.
		synchronized long lastSince() {
			return this.lastSince;
		}

		synchronized int listCalls() {
			return this.listCalls;
		}

		@Override
		public synchronized Either<StoreFailure, Page> listPage(String kind, String after) {
			this.listCalls++;
			if (!after.isEmpty() && after.equals(this.triggeringPage)) {
				this.beforePage.run();
			}
			List<StoredObject> following = this.objects.entrySet()
				.stream()
				.filter((entry) -> entry.getKey().compareTo(after) > 0)
				.map(Map.Entry::getValue)
				.toList();
			int count = Math.min(this.maxPageObjects, following.size());
			return Either.right(new Page(following.subList(0, count), count < following.size(), this.revision));
		}

		@Override
		public synchronized Either<StoreFailure, Changes> awaitChanges(String kind, long since, long waitMillis) {
			this.lastSince = since;
			while (this.responses.isEmpty()) {
				try {
					wait();
				}
				catch (InterruptedException ex) {
					Thread.currentThread().interrupt();
					return Either.left(new StoreFailure.Unavailable("interrupted"));
				}
			}
			return this.responses.remove();
		}

		@Override
		public Either<StoreFailure, Option<StoredObject>> read(String key) {
			throw new UnsupportedOperationException(key);
		}

		@Override
		public Either<StoreFailure, Long> create(String key, byte[] body) {
			throw new UnsupportedOperationException(key);
		}

		@Override
		public Either<StoreFailure, Long> replace(String key, byte[] body, long expectedVersion) {
			throw new UnsupportedOperationException(key);
		}

		@Override
		public Either<StoreFailure, Long> delete(String key, long expectedVersion) {
			throw new UnsupportedOperationException(key);
		}

		@Override
		public Either<StoreFailure, List<Entry>> list(String prefix) {
			throw new UnsupportedOperationException(prefix);
		}

		@Override
		public Either<StoreFailure, Long> writeStatus(String key, byte[] status) {
			throw new UnsupportedOperationException(key);
		}

	}

}
