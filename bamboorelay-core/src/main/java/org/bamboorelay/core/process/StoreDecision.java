package org.bamboorelay.core.process;

import io.vavr.control.Either;
import io.vavr.control.Option;
import org.bamboorelay.core.store.StoreFailure;
import org.bamboorelay.core.store.StoredObject;
import org.jspecify.annotations.Nullable;

/**
 * A decision that advances by one store call at a time. Its owner performs each step and
 * hands the result back before it asks for the next one.
 */
public interface StoreDecision {

	/**
	 * Returns the call to make now.
	 * @return the call; null where there is nothing to do yet
	 */
	@Nullable StoreStep next();

	/**
	 * Takes the result of a call.
	 * @param step the call, as {@link #next()} returned it
	 * @param result its result
	 */
	void onResult(StoreStep step, Either<StoreFailure, Option<StoredObject>> result);

}
