package org.bamboorelay.entry.request;

import io.vavr.control.Either;
import org.bamboorelay.core.failure.Refusal;

/**
 * Admits requests and gives each a credit for one endpoint. Waits in the queue of the
 * request's service and class, on the calling thread.
 * <p>
 * Implementations are thread-safe.
 */
@FunctionalInterface
public interface CreditSource {

	/**
	 * Waits for a credit.
	 * @param request what is to be sent
	 * @return the credit, which the caller must end with {@link Credit#end}, or the
	 * refusal, given at once where waiting cannot help
	 */
	Either<Refusal, Credit> acquire(RouteRequest request);

}
