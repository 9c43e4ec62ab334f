package org.bamboorelay.core.store;

import java.util.List;

import io.vavr.control.Either;
import io.vavr.control.Option;

/**
 * The platform's object API. Each call is metered and billed.
 * <p>
 * A conditional write whose response is lost fails with
 * {@link StoreFailure.OutcomeUnknown}. To find out whether it took effect, the caller
 * reads the object back and compares the token that it wrote.
 * <p>
 * Implementations are thread-safe.
 */
public interface ObjectStore {

	/** Maximum size of a value, in bytes. */
	int MAX_VALUE_BYTES = 1_048_576;

	/**
	 * Reads an object.
	 * @param key the key
	 * @return the object, or an empty option if it does not exist
	 */
	Either<StoreFailure, Option<StoredObject>> read(String key);

	/**
	 * Creates an object on the condition that it does not exist.
	 * @param key the key
	 * @param body the value
	 * @return the new version
	 */
	Either<StoreFailure, Long> create(String key, byte[] body);

	/**
	 * Replaces an object on the condition that it still has the given version.
	 * @param key the key
	 * @param body the value
	 * @param expectedVersion the version that was read
	 * @return the new version
	 */
	Either<StoreFailure, Long> replace(String key, byte[] body, long expectedVersion);

	/**
	 * Deletes an object on the condition that it still has the given version.
	 * @param key the key
	 * @param expectedVersion the version that was read
	 * @return the version of the deletion
	 */
	Either<StoreFailure, Long> delete(String key, long expectedVersion);

	/**
	 * Lists the objects under a prefix, without their values.
	 * @param prefix the prefix
	 * @return keys and versions, ordered by key
	 */
	Either<StoreFailure, List<Entry>> list(String prefix);

	/**
	 * A key with its version.
	 *
	 * @param key the key
	 * @param version the version
	 */
	record Entry(String key, long version) {
	}

}
