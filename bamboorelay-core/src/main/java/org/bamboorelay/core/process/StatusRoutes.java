package org.bamboorelay.core.process;

import java.util.Map;
import java.util.Objects;
import java.util.Set;

/**
 * Chooses to whom a host sends its status. In a small deployment each host tells all
 * others. In a larger one, where that would take messages with the square of the number
 * of hosts, each host tells a few relays, one in each failure domain, and these tell all
 * hosts what they heard.
 * <p>
 * Immutable and thread-safe.
 */
public final class StatusRoutes {

	/**
	 * The most hosts that tell all others: up to here that takes no more messages than
	 * three relays would.
	 */
	static final int DIRECT_HOSTS = 16;

	private final String self;

	private final boolean direct;

	private final Set<String> relays;

	private final Set<String> holders;

	private StatusRoutes(String self, boolean direct, Set<String> relays, Set<String> holders) {
		this.self = self;
		this.direct = direct;
		this.relays = relays;
		this.holders = holders;
	}

	/**
	 * Chooses the routes of a host.
	 * @param self the host
	 * @param domains the failure domain of each host that is not known to be gone, the
	 * host itself included
	 * @param processors the processor of each host, in cores; relays are strong hosts
	 * @param holders the hosts that say that they are in charge of duties, which add up
	 * usage
	 * @return the routes
	 */
	public static StatusRoutes of(String self, Map<String, String> domains, Map<String, Double> processors,
			Set<String> holders) {
		Objects.requireNonNull(self, "self");
		boolean direct = domains.size() <= DIRECT_HOSTS;
		Set<String> relays = direct ? Set.of() : StoreReaders.of(StrongHosts.inEachDomain(processors, domains));
		return new StatusRoutes(self, direct, relays, Set.copyOf(holders));
	}

	/**
	 * Tells whether the host passes on the statuses of others.
	 * @return whether it is a relay
	 */
	public boolean isRelay() {
		return this.relays.contains(this.self);
	}

	/**
	 * Tells whether the host may take the duties over. It has to hear the usage of all
	 * others by then.
	 * @return whether all others send it their whole status
	 */
	public boolean mayHoldDuties() {
		return this.direct || isRelay();
	}

	/**
	 * Tells whether the host sends its status to another one.
	 * @param host the other host
	 * @return whether to keep a link to it
	 */
	public boolean sendsTo(String host) {
		return isRelay() || needsUsage(host);
	}

	/**
	 * Tells whether another host needs the whole status.
	 * @param host the other host
	 * @return whether to send the usage figures too
	 */
	public boolean needsUsage(String host) {
		return this.direct || this.relays.contains(host) || this.holders.contains(host);
	}

}
