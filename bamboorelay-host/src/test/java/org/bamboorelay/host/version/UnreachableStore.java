package org.bamboorelay.host.version;

import java.util.List;

import io.vavr.control.Either;
import io.vavr.control.Option;
import org.bamboorelay.core.store.StoreFailure;
import org.bamboorelay.core.store.StoredObject;
import org.bamboorelay.core.store.WatchableStore;

/**
 * Store to which no call can be sent.
 */
final class UnreachableStore implements WatchableStore {

	@Override
	public Either<StoreFailure, Option<StoredObject>> read(String key) {
		return unreachable();
	}

	@Override
	public Either<StoreFailure, Long> create(String key, byte[] body) {
		return unreachable();
	}

	@Override
	public Either<StoreFailure, Long> replace(String key, byte[] body, long expectedVersion) {
		return unreachable();
	}

	@Override
	public Either<StoreFailure, Long> delete(String key, long expectedVersion) {
		return unreachable();
	}

	@Override
	public Either<StoreFailure, Long> writeStatus(String key, byte[] status) {
		return unreachable();
	}

	@Override
	public Either<StoreFailure, List<Entry>> list(String prefix) {
		return unreachable();
	}

	@Override
	public Either<StoreFailure, Page> listPage(String kind, String after) {
		return unreachable();
	}

	@Override
	public Either<StoreFailure, Changes> awaitChanges(String kind, long since, long waitMillis) {
		return unreachable();
	}

	private static <T> Either<StoreFailure, T> unreachable() {
		return Either.left(new StoreFailure.Unavailable("no call can be sent"));
	}

}
