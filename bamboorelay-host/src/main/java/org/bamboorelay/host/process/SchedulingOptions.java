package org.bamboorelay.host.process;

/**
 * Options for the decisions under load, each of which replaces an earlier decision.
 * <p>
 * Immutable and thread-safe.
 *
 * @param reportedPlacement whether endpoints that report their pace are chosen by it;
 * otherwise by the number of requests that the hosts run there
 * @param engineShares whether trainers and hosts share the slots of engines; otherwise
 * each host starts its items as soon as it finds a slot, oldest submission first
 * @param spotCapacity whether spot endpoints are ordered where a service names their
 * price
 */
public record SchedulingOptions(boolean reportedPlacement, boolean engineShares, boolean spotCapacity) {

	/** The options of a host without a table. */
	public static final SchedulingOptions DEFAULTS = new SchedulingOptions(true, false, false);

}
