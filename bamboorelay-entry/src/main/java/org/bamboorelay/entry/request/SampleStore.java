package org.bamboorelay.entry.request;

import java.util.Collection;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;

import org.bamboorelay.core.time.Clock;

/**
 * Finished samples in the memory of this host, of its own steps and of other hosts'.
 * <p>
 * Thread-safe.
 */
public final class SampleStore {

	private final long maxBytes;

	private final long maxAgeMillis;

	private final Clock clock;

	private final Map<String, Held> samples = new LinkedHashMap<>();

	private long bytes;

	private SampleStore(long maxBytes, long maxAgeMillis, Clock clock) {
		this.maxBytes = maxBytes;
		this.maxAgeMillis = maxAgeMillis;
		this.clock = clock;
	}

	/**
	 * Creates an empty store.
	 * @param maxBytes the most bytes it holds
	 * @param maxAgeMillis age from which samples make room for others, in milliseconds;
	 * the samples of a host that died are never dropped by it
	 * @param clock a monotonic clock
	 * @return the store
	 */
	public static SampleStore of(long maxBytes, long maxAgeMillis, Clock clock) {
		if (maxBytes <= 0 || maxAgeMillis < 0) {
			throw new IllegalArgumentException(
					"maxBytes must be positive and maxAgeMillis not negative: " + maxBytes + ", " + maxAgeMillis);
		}
		return new SampleStore(maxBytes, maxAgeMillis, Objects.requireNonNull(clock, "clock"));
	}

	/**
	 * Keeps a sample. A sample that is held already stays as it is.
	 * @param id the sample's id
	 * @param body its JSON
	 * @return false where there is no room
	 */
	public synchronized boolean put(String id, byte[] body) {
		if (this.samples.containsKey(id)) {
			return true;
		}
		long now = this.clock.millis();
		Iterator<Held> oldest = this.samples.values().iterator();
		while (this.bytes + body.length > this.maxBytes && oldest.hasNext()) {
			Held held = oldest.next();
			if (now - held.sinceMillis() < this.maxAgeMillis) {
				return false;
			}
			this.bytes -= held.body().length;
			oldest.remove();
		}
		if (this.bytes + body.length > this.maxBytes) {
			return false;
		}
		this.samples.put(id, new Held(body, now));
		this.bytes += body.length;
		return true;
	}

	/**
	 * Finds a sample.
	 * @param id the sample's id
	 * @return its JSON, if this host holds it
	 */
	public synchronized Optional<byte[]> get(String id) {
		return Optional.ofNullable(this.samples.get(id)).map(Held::body);
	}

	/**
	 * Drops samples.
	 * @param ids the samples' ids
	 */
	public synchronized void drop(Collection<String> ids) {
		for (String id : ids) {
			Held held = this.samples.remove(id);
			if (held != null) {
				this.bytes -= held.body().length;
			}
		}
	}

	/**
	 * Returns the bytes that are held.
	 * @return the number of bytes
	 */
	public synchronized long bytes() {
		return this.bytes;
	}

	private record Held(byte[] body, long sinceMillis) {
	}

}
