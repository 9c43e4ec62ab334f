package org.bamboorelay.core.process;

import io.vavr.control.Either;
import io.vavr.control.Option;
import org.bamboorelay.core.store.ObjectStore;
import org.bamboorelay.core.store.StoreFailure;
import org.bamboorelay.core.store.StoredObject;

/**
 * An operation on the object store that a {@link StoreStateMachine} requests.
 */
public sealed interface StoreOperation {

	/**
	 * Performs the operation.
	 * @param store the object store
	 * @return the object that was read or written, or none if a read found no object
	 */
	Either<StoreFailure, Option<StoredObject>> perform(ObjectStore store);

	/**
	 * Reads an object.
	 *
	 * @param key the key
	 */
	record Read(String key) implements StoreOperation {

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
	 * @param expectedVersion the version to replace; 0 to create the object
	 */
	record Write(String key, byte[] body, long expectedVersion) implements StoreOperation {

		@Override
		public Either<StoreFailure, Option<StoredObject>> perform(ObjectStore store) {
			Either<StoreFailure, Long> written = (this.expectedVersion == 0) ? store.create(this.key, this.body)
					: store.replace(this.key, this.body, this.expectedVersion);
			return written.map((version) -> Option.some(new StoredObject(this.key, version, this.body)));
		}

	}

}
