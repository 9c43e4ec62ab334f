package org.bamboorelay.host.request;

import java.util.HashMap;
import java.util.List;
import java.util.Map;

import io.vavr.control.Either;
import io.vavr.control.Option;
import org.bamboorelay.core.store.StoreFailure;
import org.bamboorelay.core.store.StoredObject;
import org.bamboorelay.core.store.WatchableStore;
import org.bamboorelay.core.version.CoreJson;

/**
 * Store in memory with single objects only: lists are empty, and nothing can be watched.
 */
final class InMemoryStore implements WatchableStore {

	private final Map<String, StoredObject> objects = new HashMap<>();

	synchronized void put(String key, Object value, long version) {
		this.objects.put(key, new StoredObject(key, version, CoreJson.bytes(value)));
	}

	@Override
	public synchronized Either<StoreFailure, Option<StoredObject>> read(String key) {
		return Either.right(Option.of(this.objects.get(key)));
	}

	@Override
	public synchronized Either<StoreFailure, Long> replace(String key, byte[] body, long expectedVersion) {
		StoredObject present = this.objects.get(key);
		if (present == null || present.version() != expectedVersion) {
			return Either.left(new StoreFailure.ConditionFailed(key));
		}
		this.objects.put(key, new StoredObject(key, expectedVersion + 1, body));
		return Either.right(expectedVersion + 1);
	}

	@Override
	public Either<StoreFailure, Page> listPage(String kind, String after) {
		return Either.right(new Page(List.of(), false, 1));
	}

	@Override
	public synchronized Either<StoreFailure, Long> create(String key, byte[] body) {
		if (this.objects.containsKey(key)) {
			return Either.left(new StoreFailure.ConditionFailed(key));
		}
		this.objects.put(key, new StoredObject(key, 1, body));
		return Either.right(1L);
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
	public Either<StoreFailure, Changes> awaitChanges(String kind, long since, long waitMillis) {
		throw new UnsupportedOperationException(kind);
	}

	@Override
	public Either<StoreFailure, Long> writeStatus(String key, byte[] status) {
		throw new UnsupportedOperationException(key);
	}

}
