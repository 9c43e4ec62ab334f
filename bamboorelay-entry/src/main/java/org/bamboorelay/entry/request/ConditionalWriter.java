package org.bamboorelay.entry.request;

import java.util.function.Supplier;

import io.vavr.control.Either;
import io.vavr.control.Option;
import org.bamboorelay.core.failure.RetryReason;
import org.bamboorelay.core.store.ObjectStore;
import org.bamboorelay.core.store.StoreFailure;
import org.bamboorelay.core.store.StoredObject;
import org.bamboorelay.runtime.process.Counters;

/**
 * Conditional writes that read the object back if they fail. The result is the object
 * that the store holds afterwards, regardless of who wrote it; its token identifies the
 * writer.
 * <p>
 * Thread-safe.
 */
final class ConditionalWriter {

	/** Attempts at a write before it fails and the caller has to retry. */
	private static final int MAX_ATTEMPTS = 3;

	private final ObjectStore store;

	private final Counters counters;

	ConditionalWriter(ObjectStore store, Counters counters) {
		this.store = store;
		this.counters = counters;
	}

	ObjectStore store() {
		return this.store;
	}

	Either<StoreFailure, StoredObject> create(String key, byte[] body) {
		return write(key, body, 0, () -> this.store.create(key, body));
	}

	Either<StoreFailure, StoredObject> replace(StoredObject read, byte[] body) {
		return write(read.key(), body, read.version(), () -> this.store.replace(read.key(), body, read.version()));
	}

	private Either<StoreFailure, StoredObject> write(String key, byte[] body, long versionBefore,
			Supplier<Either<StoreFailure, Long>> call) {
		StoreFailure failure = new StoreFailure.Unavailable("not attempted");
		for (int attempt = 0; attempt < MAX_ATTEMPTS; attempt++) {
			Either<StoreFailure, Long> written = call.get();
			if (written.isRight()) {
				return Either.right(new StoredObject(key, written.get(), body));
			}
			failure = written.getLeft();
			if (failure instanceof StoreFailure.ValueTooLarge) {
				return Either.left(failure);
			}
			this.counters
				.retry((failure instanceof StoreFailure.ConditionFailed) ? RetryReason.STORE_CONFLICT
						: RetryReason.STORE_UNAVAILABLE)
				.inc();
			if (failure instanceof StoreFailure.Unavailable) {
				continue;
			}
			Either<StoreFailure, Option<StoredObject>> read = this.store.read(key);
			if (read.isRight() && read.get().isDefined() && read.get().get().version() != versionBefore) {
				return Either.right(read.get().get());
			}
		}
		return Either.left(failure);
	}

}
