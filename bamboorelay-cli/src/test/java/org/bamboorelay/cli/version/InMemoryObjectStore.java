package org.bamboorelay.cli.version;

import java.util.List;
import java.util.Map;
import java.util.TreeMap;

import io.vavr.control.Either;
import io.vavr.control.Option;
import org.bamboorelay.core.store.ObjectStore;
import org.bamboorelay.core.store.StoreFailure;
import org.bamboorelay.core.store.StoredObject;

/**
 * In-memory object API. A hook before the next replace lets tests simulate a concurrent
 * write.
 */
final class InMemoryObjectStore implements ObjectStore {

	private final Map<String, StoredObject> objects = new TreeMap<>();

	private long revision;

	private Runnable beforeReplace = () -> {
	};

	void beforeNextReplace(Runnable hook) {
		this.beforeReplace = hook;
	}

	@Override
	public Either<StoreFailure, Option<StoredObject>> read(String key) {
		return Either.right(Option.of(this.objects.get(key)));
	}

	@Override
	public Either<StoreFailure, Long> create(String key, byte[] body) {
		return this.objects.containsKey(key) ? Either.left(new StoreFailure.ConditionFailed(key)) : put(key, body);
	}

	@Override
	public Either<StoreFailure, Long> replace(String key, byte[] body, long expectedVersion) {
		Runnable hook = this.beforeReplace;
		this.beforeReplace = () -> {
		};
		hook.run();
		StoredObject stored = this.objects.get(key);
		if (stored == null || stored.version() != expectedVersion) {
			return Either.left(new StoreFailure.ConditionFailed(key));
		}
		return put(key, body);
	}

	@Override
	public Either<StoreFailure, Long> delete(String key, long expectedVersion) {
		return Either.left(new StoreFailure.Unavailable("operators delete nothing"));
	}

	@Override
	public Either<StoreFailure, List<Entry>> list(String prefix) {
		return Either.right(this.objects.values()
			.stream()
			.filter((object) -> object.key().startsWith(prefix))
			.map((object) -> new Entry(object.key(), object.version()))
			.toList());
	}

	private Either<StoreFailure, Long> put(String key, byte[] body) {
		this.objects.put(key, new StoredObject(key, ++this.revision, body));
		return Either.right(this.revision);
	}

}
