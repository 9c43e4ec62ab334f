package org.bamboorelay.load.request;

import java.util.List;

import org.bamboorelay.core.version.ServiceId;
import org.bamboorelay.core.version.TrainerId;

/**
 * Addresses, keys and services for the checks of the quick start, written by its script.
 * <p>
 * Immutable and thread-safe.
 *
 * @param entryAddresses {@code ip:port} of each entry host
 * @param engines the model engines
 * @param plainServers the plain servers
 * @param usageIntakeAddress {@code ip:port} of the usage intake
 * @param key API key of the large workspace
 * @param foreignKey API key of a workspace that may not use the model service
 * @param modelService name of the model service
 * @param plainService name of the plain service
 * @param trainer a trainer of the large workspace
 */
public record QuickstartSettings(List<String> entryAddresses, List<Endpoint> engines, List<Endpoint> plainServers,
		String usageIntakeAddress, String key, String foreignKey, ServiceId modelService, ServiceId plainService,
		TrainerId trainer) {

	/**
	 * An endpoint.
	 *
	 * @param domain its failure domain
	 * @param address {@code ip:port}
	 */
	public record Endpoint(String domain, String address) {
	}

}
