package org.bamboorelay.entry.request;

import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.function.BooleanSupplier;

import org.bamboorelay.entry.connection.StreamAbort;

/**
 * The streams that run at this host, so that those of a withdrawn key are stopped even
 * while their engine is silent.
 * <p>
 * Thread-safe.
 */
public final class RunningStreams {

	private final Set<Running> running = ConcurrentHashMap.newKeySet();

	Running add(StreamAbort abort, BooleanSupplier stillAllowed) {
		Running entry = new Running(abort, stillAllowed);
		this.running.add(entry);
		return entry;
	}

	void remove(Running entry) {
		this.running.remove(entry);
	}

	/**
	 * Stops the streams whose key no longer works. To be called several times a second.
	 */
	public void stopWithdrawn() {
		this.running.forEach((entry) -> {
			if (!entry.stillAllowed().getAsBoolean()) {
				entry.abort().abort();
			}
		});
	}

	record Running(StreamAbort abort, BooleanSupplier stillAllowed) {

		// Two streams are never equal, so identity is enough.
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
