package org.bamboorelay.host.connection;

import java.util.Map;
import java.util.Objects;
import java.util.function.BooleanSupplier;

import io.vavr.control.Either;
import org.bamboorelay.runtime.connection.HttpFailure;

/**
 * Outgoing calls of duties: to the platform and, for weight orders, to endpoints. An
 * implementation sends each call once.
 * <p>
 * Implementations are thread-safe.
 */
public interface PlatformCalls {

	/**
	 * Reports the usage of a window.
	 * @param holder the holder of the duty
	 * @param window the number of the window
	 * @param counts the number of requests by workspace
	 * @return the status code of the response
	 */
	Either<HttpFailure, Integer> reportUsage(DutyHolder holder, long window, Map<String, Long> counts);

	/**
	 * Orders a number of endpoints for a service in a failure domain.
	 * @param holder the holder of the duty
	 * @param service the service
	 * @param domain the failure domain
	 * @param spot whether the number is that of spot endpoints
	 * @param count the number of endpoints of that kind
	 * @return the response
	 */
	Either<HttpFailure, OrderReply> orderEndpoints(DutyHolder holder, String service, String domain, boolean spot,
			int count);

	/**
	 * Orders an endpoint to load a weight version, while its runs continue.
	 * @param holder the holder of the duty
	 * @param address the address of the endpoint, {@code ip:port}
	 * @param endpoint the only endpoint that may accept the order
	 * @param model the model
	 * @param version the weight version
	 * @param expectedOrdersAccepted the number of orders that the endpoint accepted
	 * before; the endpoint refuses the order if the number differs
	 * @return the status code of the response
	 */
	Either<HttpFailure, Integer> orderWeights(DutyHolder holder, String address, String endpoint, String model,
			long version, long expectedOrdersAccepted);

	/**
	 * Requests the state of an engine.
	 * @param address the address of the engine, {@code ip:port}
	 * @return the state
	 */
	Either<HttpFailure, EngineState> engineState(String address);

	/**
	 * The holder of a duty.
	 *
	 * @param host the host
	 * @param fencing the fencing token of the lease
	 * @param stillHeld returns whether the host still holds the duty; checked immediately
	 * before a call is sent, as connecting may outlast the lease
	 */
	record DutyHolder(String host, long fencing, BooleanSupplier stillHeld) {

		public DutyHolder {
			Objects.requireNonNull(host, "host");
			Objects.requireNonNull(stillHeld, "holds");
		}

	}

	/**
	 * Response to an order for endpoints.
	 *
	 * @param status the status code of the response
	 * @param noneAvailable whether it says that no such endpoints are available there now
	 */
	record OrderReply(int status, boolean noneAvailable) {

		/**
		 * Returns whether the order was accepted.
		 * @return whether the status code is that of a success
		 */
		public boolean isAccepted() {
			return this.status >= 200 && this.status < 300;
		}

	}

	/**
	 * State of an engine, up to some hundred milliseconds old.
	 *
	 * @param versions the weight version of each model
	 * @param busy whether an order is in progress
	 * @param ordersAccepted the number of orders accepted since the engine started
	 * @param leaving whether the engine reports that it is leaving
	 */
	record EngineState(Map<String, Long> versions, boolean busy, long ordersAccepted, boolean leaving) {
	}

}
