package org.bamboorelay.core.process;

import io.vavr.control.Either;
import io.vavr.control.Option;
import org.bamboorelay.core.store.StoreFailure;
import org.bamboorelay.core.store.StoredObject;
import org.jspecify.annotations.Nullable;

/**
 * A state machine that advances by one store operation at a time and does no I/O itself.
 * Its owner performs each operation and passes the result back before it asks for the
 * next one.
 */
public interface StoreStateMachine {

	/**
	 * Returns the operation to perform now.
	 * @return the operation; null if there is nothing to do yet
	 */
	@Nullable StoreOperation next();

	/**
	 * Processes the result of an operation.
	 * @param operation the operation, as {@link #next()} returned it
	 * @param result the object that was read or written, or the failure
	 */
	void onResult(StoreOperation operation, Either<StoreFailure, Option<StoredObject>> result);

}
