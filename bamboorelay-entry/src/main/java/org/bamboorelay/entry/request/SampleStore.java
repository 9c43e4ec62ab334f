package org.bamboorelay.entry.request;

import java.util.Collection;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;

import org.bamboorelay.core.time.Clock;

/**
 * In-memory store of finished samples of this host's steps, and of copies for other
 * hosts.
 * <p>
 * Thread-safe.
 */
public final class SampleStore {

	private final long maxBytes;

	private final long maxAgeMillis;

	private final Clock clock;

	private final Map<String, StoredSample> samples = new LinkedHashMap<>();

	private long totalBytes;

	private SampleStore(long maxBytes, long maxAgeMillis, Clock clock) {
		this.maxBytes = maxBytes;
		this.maxAgeMillis = maxAgeMillis;
		this.clock = clock;
	}

	/**
	 * Creates an empty store.
	 * @param maxBytes the maximum total size of the samples, in bytes
	 * @param maxAgeMillis age from which samples may be evicted, in milliseconds; a host
	 * that has failed never deletes its samples itself
	 * @param clock a monotonic clock
	 * @return the store
	 */
	public static SampleStore of(long maxBytes, long maxAgeMillis, Clock clock) {
		if (maxBytes <= 0 || maxAgeMillis < 0) {
			throw new IllegalArgumentException("maxBytes must be positive and maxAgeMillis must not be negative, got "
					+ maxBytes + ", " + maxAgeMillis);
		}
		return new SampleStore(maxBytes, maxAgeMillis, Objects.requireNonNull(clock, "clock"));
	}

	/**
	 * Stores a sample, and evicts expired samples if space is needed. A sample that is
	 * already stored is not replaced.
	 * @param id the sample's id
	 * @param body the sample's JSON
	 * @return false if there is not enough space
	 */
	public synchronized boolean put(String id, byte[] body) {
		if (this.samples.containsKey(id)) {
			return true;
		}
		long now = this.clock.millis();
		Iterator<StoredSample> oldest = this.samples.values().iterator();
		while (this.totalBytes + body.length > this.maxBytes && oldest.hasNext()) {
			StoredSample held = oldest.next();
			if (now - held.storedAtMillis() < this.maxAgeMillis) {
				return false;
			}
			this.totalBytes -= held.body().length;
			oldest.remove();
		}
		if (this.totalBytes + body.length > this.maxBytes) {
			return false;
		}
		this.samples.put(id, new StoredSample(body, now));
		this.totalBytes += body.length;
		return true;
	}

	/**
	 * Finds a sample.
	 * @param id the sample's id
	 * @return the sample's JSON, if this host stores it
	 */
	public synchronized Optional<byte[]> get(String id) {
		return Optional.ofNullable(this.samples.get(id)).map(StoredSample::body);
	}

	/**
	 * Deletes samples.
	 * @param ids the samples' ids
	 */
	public synchronized void delete(Collection<String> ids) {
		for (String id : ids) {
			StoredSample held = this.samples.remove(id);
			if (held != null) {
				this.totalBytes -= held.body().length;
			}
		}
	}

	/**
	 * Returns the total size of the stored samples.
	 * @return the size, in bytes
	 */
	public synchronized long totalBytes() {
		return this.totalBytes;
	}

	private record StoredSample(byte[] body, long storedAtMillis) {
	}

}
