package org.bamboorelay.host.process;

/**
 * Options for the memory that a host uses for callers.
 * <p>
 * Immutable and thread-safe.
 *
 * @param callerShare the share of the heap that requests and responses of callers may
 * occupy
 */
public record MemoryOptions(double callerShare) {

	/**
	 * The default options. The share permits one body of 33,554,432 bytes in a heap of 96
	 * MB, which needs one and a half times its size while it arrives.
	 */
	static final MemoryOptions DEFAULTS = new MemoryOptions(0.55);

	private static final double MIN_SHARE = 0.05;

	private static final double MAX_SHARE = 0.8;

	public MemoryOptions {
		if (!(callerShare >= MIN_SHARE && callerShare <= MAX_SHARE)) {
			throw new IllegalArgumentException(
					"memory.caller_share must be " + MIN_SHARE + " to " + MAX_SHARE + ": " + callerShare);
		}
	}

}
