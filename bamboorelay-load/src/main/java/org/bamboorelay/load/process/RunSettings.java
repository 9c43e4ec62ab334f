package org.bamboorelay.load.process;

import java.util.List;

/**
 * Addresses and process ids of a deployment under test, written by the script that
 * started it.
 * <p>
 * Immutable and thread-safe.
 *
 * @param entryAddresses {@code ip:port} of each entry host
 * @param objectApiAddress {@code ip:port} of the object API
 * @param orderingAddress {@code ip:port} of the ordering interface
 * @param usageIntakeAddress {@code ip:port} of the usage intake
 * @param hostListAddress {@code ip:port} of the host list
 * @param weightStoreAddress {@code ip:port} of the weight store
 * @param modelService name of the model service
 * @param plainService name of the plain service
 * @param pids process ids of the entry and control processes
 * @param windowMs length of a usage window, in milliseconds
 * @param graceMs time from the end of a window until its figures are final, in
 * milliseconds
 * @param workspaces the workspaces
 * @param endpoints the endpoints
 */
public record RunSettings(List<String> entryAddresses, String objectApiAddress, String orderingAddress,
		String usageIntakeAddress, String hostListAddress, String weightStoreAddress, String modelService,
		String plainService, List<String> pids, int windowMs, int graceMs, List<Workspace> workspaces,
		List<Endpoint> endpoints) {

	/**
	 * A workspace.
	 *
	 * @param name its name
	 * @param weight its weight
	 * @param key an API key of the workspace
	 */
	public record Workspace(String name, int weight, String key) {
	}

	/**
	 * An endpoint.
	 *
	 * @param name its name
	 * @param domain its failure domain
	 * @param address {@code ip:port}
	 * @param model whether it is a model engine
	 * @param cheap whether it is cheap
	 */
	public record Endpoint(String name, String domain, String address, boolean model, boolean cheap) {
	}

}
