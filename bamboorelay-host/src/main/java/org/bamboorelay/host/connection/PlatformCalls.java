package org.bamboorelay.host.connection;

import java.util.Map;
import java.util.Objects;
import java.util.function.BooleanSupplier;

import io.vavr.control.Either;
import org.bamboorelay.runtime.connection.HttpFailure;

/**
 * The calls of duties: to the platform and, for orders of weights, to endpoints. An
 * implementation sends each call once.
 * <p>
 * Implementations are thread-safe.
 */
public interface PlatformCalls {

	/**
	 * Reports the usage of a window.
	 * @param sender who holds the duty
	 * @param window the window's number
	 * @param counts requests by workspace
	 * @return the status of the answer
	 */
	Either<HttpFailure, Integer> reportUsage(DutySender sender, long window, Map<String, Long> counts);

	/**
	 * Orders a number of endpoints.
	 * @param sender who holds the duty
	 * @param service the service
	 * @param domain the failure domain
	 * @param count the number of endpoints
	 * @return the status of the answer
	 */
	Either<HttpFailure, Integer> orderEndpoints(DutySender sender, String service, String domain, int count);

	/**
	 * Orders an endpoint to load a weight version, while its runs go on.
	 * @param sender who holds the duty
	 * @param address {@code ip:port} of the endpoint
	 * @param endpoint the endpoint that alone may take the order
	 * @param model the model
	 * @param version the version
	 * @param ordersBefore the orders that the endpoint accepted before; with any other
	 * number it refuses
	 * @return the status of the answer
	 */
	Either<HttpFailure, Integer> orderWeights(DutySender sender, String address, String endpoint, String model,
			long version, long ordersBefore);

	/**
	 * Asks an engine for its state.
	 * @param address {@code ip:port}
	 * @return the state
	 */
	Either<HttpFailure, EngineState> engineState(String address);

	/**
	 * Who holds a duty.
	 *
	 * @param host the host
	 * @param fencing the fencing number
	 * @param holds tells whether the host still holds the duty; asked right before a call
	 * is sent, as connecting may take longer than the lease lasts
	 */
	record DutySender(String host, long fencing, BooleanSupplier holds) {

		public DutySender {
			Objects.requireNonNull(host, "host");
			Objects.requireNonNull(holds, "holds");
		}

	}

	/**
	 * State of an engine, some hundred milliseconds old.
	 *
	 * @param versions the weight version of each model
	 * @param busy whether an order is in progress
	 * @param ordersAccepted the orders accepted since the engine started
	 * @param leaving whether it says that it leaves
	 */
	record EngineState(Map<String, Long> versions, boolean busy, long ordersAccepted, boolean leaving) {
	}

}
