package org.bamboorelay.core.process;

/**
 * Limit for the memory that a process uses to keep data of others, such as responses and
 * generated texts. Whoever keeps data reserves its bytes first, and releases them when
 * the data is discarded.
 * <p>
 * Thread-safe; guarded by its own lock.
 */
public final class MemoryBudget {

	private final long maxBytes;

	private long reservedBytes;

	private MemoryBudget(long maxBytes) {
		this.maxBytes = maxBytes;
	}

	/**
	 * Creates a budget of which nothing is reserved.
	 * @param maxBytes the maximum number of bytes that may be reserved
	 * @return the budget
	 */
	public static MemoryBudget of(long maxBytes) {
		if (maxBytes < 0) {
			throw new IllegalArgumentException("maxBytes must not be negative: " + maxBytes);
		}
		return new MemoryBudget(maxBytes);
	}

	/**
	 * Creates a budget that permits all reservations.
	 * @return the budget
	 */
	public static MemoryBudget unlimited() {
		return new MemoryBudget(Long.MAX_VALUE);
	}

	/**
	 * Reserves memory.
	 * @param bytes the number of bytes
	 * @return whether the budget permits it; if not, nothing was reserved
	 */
	public synchronized boolean reserve(long bytes) {
		if (bytes < 0) {
			throw new IllegalArgumentException("bytes must not be negative: " + bytes);
		}
		if (bytes > this.maxBytes - this.reservedBytes) {
			return false;
		}
		this.reservedBytes += bytes;
		return true;
	}

	/**
	 * Releases reserved memory.
	 * @param bytes the number of bytes
	 */
	public synchronized void release(long bytes) {
		if (bytes < 0 || bytes > this.reservedBytes) {
			throw new IllegalArgumentException(
					"cannot release " + bytes + " bytes of " + this.reservedBytes + " reserved");
		}
		this.reservedBytes -= bytes;
	}

	/**
	 * Returns the number of reserved bytes.
	 * @return the number, at most the maximum
	 */
	public synchronized long reservedBytes() {
		return this.reservedBytes;
	}

}
