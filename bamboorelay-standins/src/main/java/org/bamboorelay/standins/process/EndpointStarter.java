package org.bamboorelay.standins.process;

/**
 * Starts and stops an endpoint of the pool.
 */
@FunctionalInterface
public interface EndpointStarter {

	/**
	 * Tells an endpoint to start or to stop.
	 * @param address {@code ip:port} of the endpoint
	 * @param action {@code start} or {@code stop}
	 * @return whether the endpoint took it
	 */
	boolean tell(String address, String action);

}
