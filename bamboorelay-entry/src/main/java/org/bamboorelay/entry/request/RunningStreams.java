package org.bamboorelay.entry.request;

import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.function.BooleanSupplier;

import org.bamboorelay.entry.connection.StreamAbort;

/**
 * The open streams of this host. Streams of a withdrawn key are aborted even while their
 * engine sends nothing.
 * <p>
 * Thread-safe.
 */
public final class RunningStreams {

	private final Set<Registration> running = ConcurrentHashMap.newKeySet();

	Registration add(StreamAbort abort, BooleanSupplier stillAllowed) {
		Registration entry = new Registration(abort, stillAllowed);
		this.running.add(entry);
		return entry;
	}

	void remove(Registration entry) {
		this.running.remove(entry);
	}

	/**
	 * Aborts the streams whose key is no longer valid. Must be called several times per
	 * second.
	 */
	public void abortWithdrawn() {
		this.running.forEach((entry) -> {
			if (!entry.stillAllowed().getAsBoolean()) {
				entry.abort().abort();
			}
		});
	}

	record Registration(StreamAbort abort, BooleanSupplier stillAllowed) {

		// Compared by identity: two streams are never equal.
		@Override
		public boolean equals(Object other) {
			return this == other;
		}

		@Override
		public int hashCode() {
			return System.identityHashCode(this.abort);
		}

	}

}
