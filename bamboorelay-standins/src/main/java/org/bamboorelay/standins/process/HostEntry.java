package org.bamboorelay.standins.process;

/**
 * An endpoint in the host list; see section 4.3 of the design document.
 * <p>
 * Immutable and thread-safe.
 *
 * @param endpoint the endpoint
 * @param address {@code ip:port}
 * @param domain the failure domain
 * @param service the service
 * @param kind {@code steady} or {@code cheap}
 * @param state {@code live} or {@code leaving}
 */
public record HostEntry(String endpoint, String address, String domain, String service, String kind, String state) {

	/**
	 * Returns this entry with a different state.
	 * @param newState the state
	 * @return the new entry
	 */
	public HostEntry withState(String newState) {
		return new HostEntry(this.endpoint, this.address, this.domain, this.service, this.kind, newState);
	}

}
