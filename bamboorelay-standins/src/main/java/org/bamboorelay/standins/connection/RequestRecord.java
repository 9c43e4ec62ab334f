package org.bamboorelay.standins.connection;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.Map;
import java.util.TreeMap;

import org.bamboorelay.runtime.request.Json;

/**
 * Record of the requests that a stand-in received: one JSON line for each request, and
 * named counters. Above the limit the oldest lines are discarded and counted in
 * {@code record_dropped}.
 * <p>
 * Thread-safe.
 */
public final class RequestRecord {

	private final Deque<byte[]> lines = new ArrayDeque<>();

	private final Map<String, Long> counters = new TreeMap<>();

	private final int maxLines;

	/**
	 * Creates an empty record.
	 * @param maxLines the maximum number of lines kept
	 */
	public RequestRecord(int maxLines) {
		if (maxLines < 0) {
			throw new IllegalArgumentException("maxLines must not be negative: " + maxLines);
		}
		this.maxLines = maxLines;
	}

	/**
	 * Adds a line.
	 * @param fields the fields of the line
	 */
	public void add(Map<String, Object> fields) {
		byte[] line = Json.bytes(fields);
		synchronized (this) {
			this.lines.addLast(line);
			if (this.lines.size() > this.maxLines) {
				this.lines.removeFirst();
				increment("record_dropped");
			}
		}
	}

	/**
	 * Increments a counter by one.
	 * @param name the name
	 */
	public void increment(String name) {
		increment(name, 1);
	}

	/**
	 * Increments a counter.
	 * @param name the name
	 * @param amount the increment
	 */
	public synchronized void increment(String name, long amount) {
		this.counters.merge(name, amount, Long::sum);
	}

	/**
	 * Returns the counters.
	 * @return a copy
	 */
	public synchronized Map<String, Long> counters() {
		return new TreeMap<>(this.counters);
	}

	/**
	 * Returns all lines.
	 * @return the lines as newline-delimited JSON, oldest first
	 */
	public synchronized byte[] toNdjson() {
		int size = this.lines.stream().mapToInt((line) -> line.length + 1).sum();
		byte[] ndjson = new byte[size];
		int offset = 0;
		for (byte[] line : this.lines) {
			System.arraycopy(line, 0, ndjson, offset, line.length);
			offset += line.length;
			ndjson[offset++] = '\n';
		}
		return ndjson;
	}

}
