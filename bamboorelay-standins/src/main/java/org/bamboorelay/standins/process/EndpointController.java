package org.bamboorelay.standins.process;

/**
 * Starts and stops the endpoints that can be ordered.
 */
@FunctionalInterface
public interface EndpointController {

	/**
	 * Requests an endpoint to start or to stop.
	 * @param address {@code ip:port} of the endpoint
	 * @param action {@code start} or {@code stop}
	 * @return whether the endpoint accepted the request
	 */
	boolean send(String address, String action);

}
