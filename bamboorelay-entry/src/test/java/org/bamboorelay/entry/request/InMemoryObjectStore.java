package org.bamboorelay.entry.request;

import java.util.List;
import java.util.Map;
import java.util.TreeMap;

import io.vavr.control.Either;
import io.vavr.control.Option;
import org.bamboorelay.core.store.ObjectStore;
import org.bamboorelay.core.store.StoreFailure;
import org.bamboorelay.core.store.StoredObject;

/**
 * In-memory object API with injected faults. Thread-safe.
 */
final class InMemoryObjectStore implements ObjectStore {

	private final Map<String, StoredObject> objects = new TreeMap<>();

	private long revision;

	boolean down;

	/** Number of next writes that take effect but whose response is lost. */
	int responsesToLose;

	/** Runs once, before the next creation under {@code delivery/}. */
	Runnable beforeBatchWrite = () -> {
	};

	@Override
	public synchronized Either<StoreFailure, Option<StoredObject>> read(String key) {
		return this.down ? Either.left(new StoreFailure.Unavailable("down"))
				: Either.right(Option.of(this.objects.get(key)));
	}

	@Override
	public synchronized Either<StoreFailure, Long> create(String key, byte[] body) {
		if (key.startsWith("delivery/")) {
			Runnable hook = this.beforeBatchWrite;
			this.beforeBatchWrite = () -> {
			};
			hook.run();
		}
		return write(key, body, 0);
	}

	@Override
	public synchronized Either<StoreFailure, Long> replace(String key, byte[] body, long expectedVersion) {
		return write(key, body, expectedVersion);
	}

	@Override
	public Either<StoreFailure, Long> delete(String key, long expectedVersion) {
		throw new UnsupportedOperationException("rollouts delete nothing");
	}

	@Override
	public synchronized Either<StoreFailure, List<Entry>> list(String prefix) {
		return Either.right(this.objects.values()
			.stream()
			.filter((object) -> object.key().startsWith(prefix))
			.map((object) -> new Entry(object.key(), object.version()))
			.toList());
	}

	private Either<StoreFailure, Long> write(String key, byte[] body, long expectedVersion) {
		if (this.down) {
			return Either.left(new StoreFailure.Unavailable("down"));
		}
		StoredObject present = this.objects.get(key);
		if (((present != null) ? present.version() : 0) != expectedVersion) {
			return Either.left(new StoreFailure.ConditionFailed(key));
		}
		this.objects.put(key, new StoredObject(key, ++this.revision, body));
		if (this.responsesToLose > 0) {
			this.responsesToLose--;
			return Either.left(new StoreFailure.OutcomeUnknown("lost"));
		}
		return Either.right(this.revision);
	}

}
