package org.bamboorelay.host.process;

/**
 * Options for the memory that a host uses for others.
 * <p>
 * Immutable and thread-safe.
 *
 * @param callerShare the share of the heap that requests and responses of callers may
 * occupy
 * @param totalShare the share of the heap up to which requests of callers find room
 * beside the bytes held for endpoints, hosts and the store
 */
public record MemoryOptions(double callerShare, double totalShare) {

	/**
	 * The default options. The share of callers permits one body of 33,554,432 bytes in a
	 * heap of 96 MB, which needs one and a half times its size while it arrives, beside
	 * the eighth that is kept for small requests.
	 */
	static final MemoryOptions DEFAULTS = new MemoryOptions(0.62, 0.75);

	private static final double MIN_SHARE = 0.05;

	private static final double MAX_SHARE = 0.9;

	public MemoryOptions {
		if (!(callerShare >= MIN_SHARE && callerShare <= MAX_SHARE)) {
			throw new IllegalArgumentException(
					"memory.caller_share must be " + MIN_SHARE + " to " + MAX_SHARE + ": " + callerShare);
		}
		if (!(totalShare >= callerShare && totalShare <= MAX_SHARE)) {
			throw new IllegalArgumentException(
					"memory.total_share must be caller_share to " + MAX_SHARE + ": " + totalShare);
		}
	}

}
