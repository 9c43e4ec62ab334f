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
 * Object API in memory, with the faults of the platform's. Thread-safe.
 */
final class MemoryStore implements ObjectStore {

	private final Map<String, StoredObject> objects = new TreeMap<>();

	private long revision;

	boolean down;

	/** Writes to come whose answer is lost after they took effect. */
	int loseAnswers;

	/** Called once before the next creation under {@code delivery/}. */
	Runnable beforeBatch = () -> {
	};

	@Override
	public synchronized Either<StoreFailure, Option<StoredObject>> read(String key) {
		return this.down ? Either.left(new StoreFailure.Unavailable("down"))
				: Either.right(Option.of(this.objects.get(key)));
	}

	@Override
	public synchronized Either<StoreFailure, Long> create(String key, byte[] body) {
		if (key.startsWith("delivery/")) {
			Runnable hook = this.beforeBatch;
			this.beforeBatch = () -> {
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
		if (this.loseAnswers > 0) {
			this.loseAnswers--;
			return Either.left(new StoreFailure.OutcomeUnknown("lost"));
		}
		return Either.right(this.revision);
	}

}
