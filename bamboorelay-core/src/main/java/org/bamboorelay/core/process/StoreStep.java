package org.bamboorelay.core.process;

import io.vavr.control.Either;
import io.vavr.control.Option;
import org.bamboorelay.core.store.ObjectStore;
import org.bamboorelay.core.store.StoreFailure;
import org.bamboorelay.core.store.StoredObject;

/**
 * A call on the object API that a decision asks for.
 */
public sealed interface StoreStep {

	/**
	 * Makes the call.
	 * @param store the object API
	 * @return the object that was read or written, or nothing where a read found none
	 */
	Either<StoreFailure, Option<StoredObject>> perform(ObjectStore store);

	/**
	 * Reads an object.
	 *
	 * @param key the key
	 */
	record Read(String key) implements StoreStep {

		@Override
		public Either<StoreFailure, Option<StoredObject>> perform(ObjectStore store) {
			return store.read(this.key);
		}

	}

	/**
	 * Creates or replaces an object.
	 *
	 * @param key the key
	 * @param body the value
	 * @param expectedVersion the version that is replaced; 0 to create
	 */
	record Write(String key, byte[] body, long expectedVersion) implements StoreStep {

		@Override
		public Either<StoreFailure, Option<StoredObject>> perform(ObjectStore store) {
			Either<StoreFailure, Long> written = (this.expectedVersion == 0) ? store.create(this.key, this.body)
					: store.replace(this.key, this.body, this.expectedVersion);
			return written.map((version) -> Option.some(new StoredObject(this.key, version, this.body)));
		}

	}

}
