package org.bamboorelay.host.version;

import java.nio.charset.StandardCharsets;
import java.util.ArrayDeque;
import java.util.ArrayList;
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
import org.bamboorelay.core.store.WatchedStore;
import org.bamboorelay.host.process.EventLog;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests of {@link KindWatch} against a scripted store.
 */
class KindWatchTests {

	private static final long LIMIT_MILLIS = 10_000;

	private final ScriptedStore store = new ScriptedStore();

	private final List<String> seen = new CopyOnWriteArrayList<>();

	private final List<PeerMessage.ObjectChanges> published = new CopyOnWriteArrayList<>();

	private volatile boolean reads = true;

	private final KindWatch watch = KindWatch.of(this.store, "k", true, true, new KindWatch.Listener() {

		@Override
		public void changed(String name, StoredObject object) {
			KindWatchTests.this.seen.add(name + "@" + object.version());
		}

		@Override
		public void removed(String name) {
			KindWatchTests.this.seen.add("-" + name);
		}

	}, () -> this.reads, this.published::add, new EventLog());

	@AfterEach
	void stop() {
		this.watch.close();
		this.store.answer(Either.right(new WatchedStore.Changes(List.of(), 0)));
	}

	@Test
	void whatACutWatchMissedIsListedAndPassedOn() {
		// A host went on from its old revision and missed a version of the routes; so did
		// the hosts that listened to it.
		this.store.put("a", 1);
		run();
		until(() -> this.seen.contains("a@1"));
		this.store.put("a", 2);
		this.store.answer(Either.left(new StoreFailure.OutcomeUnknown("reset")));
		until(() -> this.seen.contains("a@2"));
		until(() -> this.published.stream()
			.anyMatch((message) -> message.changes().stream().anyMatch((change) -> change.version() == 2)));
	}

	@Test
	void objectsThatLapseInAnOutageAreKeptForAMoment() {
		// Endpoints whose entries lapsed with the store came back within two seconds, in
		// which all of them counted as gone.
		this.store.put("a", 1);
		run();
		until(() -> this.seen.contains("a@1"));
		this.store.remove("a");
		this.store.answer(Either.left(new StoreFailure.Unavailable("down")));
		until(() -> this.store.lists() >= 2);
		assertThat(this.seen).doesNotContain("-a");
		this.store.put("a", 3);
		this.store.answer(Either
			.right(new WatchedStore.Changes(List.of(new WatchedStore.Change(ScriptedStore.object("a", 3), false)), 3)));
		until(() -> this.seen.contains("a@3"));
		assertThat(this.seen).doesNotContain("-a");
	}

	@Test
	void listenerTakesWhatReadersPassOnOnce() {
		this.reads = false;
		this.store.put("a", 1);
		run();
		until(() -> this.seen.contains("a@1"));
		PeerMessage.ObjectChanges message = new PeerMessage.ObjectChanges("k", 1, 5,
				List.of(new PeerMessage.RelayedObject("k/a", 4, "{}".getBytes(StandardCharsets.UTF_8), false)));
		this.watch.onChanges(message);
		this.watch.onChanges(message);
		until(() -> this.seen.contains("a@4"));
		assertThat(this.seen).containsExactly("a@1", "a@4");
		assertThat(this.store.lists()).isEqualTo(1);
	}

	@Test
	void listenerThatMissedChangesListsAgain() {
		this.reads = false;
		this.store.put("a", 1);
		run();
		until(() -> this.seen.contains("a@1"));
		this.store.put("a", 7);
		this.watch.onChanges(new PeerMessage.ObjectChanges("k", 8, 9, List.of()));
		until(() -> this.seen.contains("a@7"));
	}

	private void run() {
		Thread thread = new Thread(this.watch);
		thread.setDaemon(true);
		thread.start();
	}

	private static void until(BooleanSupplier condition) {
		long end = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(LIMIT_MILLIS);
		while (!condition.getAsBoolean()) {
			assertThat(System.nanoTime()).as("time").isLessThan(end);
			LockSupport.parkNanos(2_000_000);
		}
	}

	/**
	 * Store whose watches end when the test answers them.
	 */
	private static final class ScriptedStore implements WatchedStore {

		private final Map<String, StoredObject> objects = new TreeMap<>();

		private final Deque<Either<StoreFailure, Changes>> answers = new ArrayDeque<>();

		private int lists;

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

		synchronized void answer(Either<StoreFailure, Changes> answer) {
			this.answers.add(answer);
			notifyAll();
		}

		synchronized int lists() {
			return this.lists;
		}

		@Override
		public synchronized Either<StoreFailure, Page> page(String kind, String after) {
			this.lists++;
			return Either.right(new Page(new ArrayList<>(this.objects.values()), false, this.revision));
		}

		@Override
		public synchronized Either<StoreFailure, Changes> changes(String kind, long since, long waitMillis) {
			while (this.answers.isEmpty()) {
				try {
					wait();
				}
				catch (InterruptedException ex) {
					Thread.currentThread().interrupt();
					return Either.left(new StoreFailure.Unavailable("interrupted"));
				}
			}
			return this.answers.remove();
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
