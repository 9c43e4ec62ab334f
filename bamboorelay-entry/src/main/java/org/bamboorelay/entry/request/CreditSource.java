package org.bamboorelay.entry.request;

import io.vavr.control.Either;
import org.bamboorelay.core.failure.Refusal;

/**
 * Admits requests and grants each a credit for one endpoint. The calling thread waits in
 * the queue of the request's service and class.
 * <p>
 * Implementations are thread-safe.
 */
@FunctionalInterface
public interface CreditSource {

	/**
	 * Waits for a credit.
	 * @param request the request to route
	 * @return the credit, which the caller must end with {@link Credit#end}, or the
	 * refusal, which is returned at once if waiting cannot help
	 */
	Either<Refusal, Credit> acquire(RouteRequest request);

}
