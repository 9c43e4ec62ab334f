package org.bamboorelay.load.connection;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Simulates the load balancer of the platform: distributes requests in rotation over the
 * entry hosts that passed the most recent readiness check.
 * <p>
 * Thread-safe.
 */
public final class LoadBalancer {

	private final List<String> entryAddresses;

	private final CallerClient client;

	private final AtomicInteger next = new AtomicInteger();

	private volatile List<String> readyAddresses;

	private LoadBalancer(List<String> entryAddresses, CallerClient client) {
		this.entryAddresses = List.copyOf(entryAddresses);
		this.client = client;
		this.readyAddresses = this.entryAddresses;
	}

	/**
	 * Creates a load balancer that initially considers every entry host ready.
	 * @param entryAddresses {@code ip:port} of each entry host
	 * @param client sends the readiness checks
	 * @return the load balancer
	 */
	public static LoadBalancer of(List<String> entryAddresses, CallerClient client) {
		return new LoadBalancer(entryAddresses, client);
	}

	/**
	 * Returns the number of entry hosts that were ready at the last check.
	 * @return the number
	 */
	public int readyCount() {
		return this.readyAddresses.size();
	}

	/**
	 * Checks the readiness of each entry host once and replaces the set of ready hosts.
	 */
	public void checkReadiness() {
		List<String> passed = new ArrayList<>();
		for (String entry : this.entryAddresses) {
			if (this.client.send(entry, "GET", "/health/ready", Map.of()).exists(ReceivedResponse::isOk)) {
				passed.add(entry);
			}
		}
		this.readyAddresses = List.copyOf(passed);
	}

	/**
	 * Selects the entry host for the next request; all entry hosts are candidates while
	 * none is ready.
	 * @return {@code ip:port}
	 */
	public String next() {
		List<String> candidates = this.readyAddresses.isEmpty() ? this.entryAddresses : this.readyAddresses;
		return candidates.get(Math.floorMod(this.next.getAndIncrement(), candidates.size()));
	}

}
