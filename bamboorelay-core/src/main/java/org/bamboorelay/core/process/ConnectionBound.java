package org.bamboorelay.core.process;

/**
 * Derives the number of connections of callers from the resources of the machine. Each
 * connection occupies a descriptor, a thread, and buffers on the heap.
 * <p>
 * Stateless and thread-safe.
 */
public final class ConnectionBound {

	/** Bound that no machine goes below: enough for the callers of a small deployment. */
	private static final int MIN_CONNECTIONS = 64;

	/** Bound of a machine whose resources are not known. */
	private static final int MAX_CONNECTIONS = 4_096;

	/**
	 * Divisor of the descriptors that callers may occupy. The others are for endpoints,
	 * other hosts, the store and the files of the process.
	 */
	private static final int DESCRIPTOR_DIVISOR = 3;

	/**
	 * Memory of the process outside of the heap and of the threads of callers, in bytes:
	 * class data, compiled code, the collector and other threads.
	 */
	private static final long PROCESS_BYTES = 90L * 1_048_576;

	/** Memory of the stack of a thread that serves a caller, in bytes. */
	private static final long STACK_BYTES = 131_072;

	/** Memory of the buffers of a connection, in bytes: one for each direction. */
	private static final long BUFFER_BYTES = 24_576;

	/** Divisor of the part of the heap that buffers of connections may occupy. */
	private static final int HEAP_DIVISOR = 8;

	private ConnectionBound() {
	}

	/**
	 * Returns the maximum number of connections of callers.
	 * @param maxDescriptors the number of descriptors of the process; 0 if not known
	 * @param memoryBytes the memory of the machine; 0 if not known
	 * @param heapBytes the maximum size of the heap
	 * @return the number of connections
	 */
	public static int connections(int maxDescriptors, long memoryBytes, long heapBytes) {
		if (maxDescriptors < 0 || memoryBytes < 0 || heapBytes <= 0) {
			throw new IllegalArgumentException("invalid resources: " + maxDescriptors + " descriptors, " + memoryBytes
					+ " bytes of memory, " + heapBytes + " bytes of heap");
		}
		long bound = Math.min(MAX_CONNECTIONS, heapBytes / HEAP_DIVISOR / BUFFER_BYTES);
		if (maxDescriptors > 0) {
			bound = Math.min(bound, maxDescriptors / DESCRIPTOR_DIVISOR);
		}
		if (memoryBytes > 0) {
			bound = Math.min(bound, (memoryBytes - heapBytes - PROCESS_BYTES) / STACK_BYTES);
		}
		return (int) Math.max(MIN_CONNECTIONS, bound);
	}

}
