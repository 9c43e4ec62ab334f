package org.bamboorelay.standins.connection;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.Map;
import java.util.TreeMap;

import org.bamboorelay.runtime.request.Json;

/**
 * What a stand-in saw: one JSON line for each request, and counters by name. The oldest
 * lines are dropped above a limit; the counter {@code record_dropped} tells how many.
 * <p>
 * Thread-safe.
 */
public final class CallRecord {

	private final Deque<byte[]> lines = new ArrayDeque<>();

	private final Map<String, Long> counts = new TreeMap<>();

	private final int limit;

	/**
	 * Creates an empty record.
	 * @param limit the most lines that are kept
	 */
	public CallRecord(int limit) {
		if (limit < 0) {
			throw new IllegalArgumentException("limit must not be negative: " + limit);
		}
		this.limit = limit;
	}

	/**
	 * Adds a line.
	 * @param fields the fields of the line
	 */
	public void add(Map<String, Object> fields) {
		byte[] line = Json.bytes(fields);
		synchronized (this) {
			this.lines.addLast(line);
			if (this.lines.size() > this.limit) {
				this.lines.removeFirst();
				count("record_dropped");
			}
		}
	}

	/**
	 * Adds one to a counter.
	 * @param name the name
	 */
	public void count(String name) {
		count(name, 1);
	}

	/**
	 * Adds to a counter.
	 * @param name the name
	 * @param amount how much
	 */
	public synchronized void count(String name, long amount) {
		this.counts.merge(name, amount, Long::sum);
	}

	/**
	 * Returns the counters.
	 * @return a copy
	 */
	public synchronized Map<String, Long> counts() {
		return new TreeMap<>(this.counts);
	}

	/**
	 * Returns all lines.
	 * @return each line with its line feed, oldest first
	 */
	public synchronized byte[] bytes() {
		int size = this.lines.stream().mapToInt((line) -> line.length + 1).sum();
		byte[] all = new byte[size];
		int at = 0;
		for (byte[] line : this.lines) {
			System.arraycopy(line, 0, all, at, line.length);
			at += line.length;
			all[at++] = '\n';
		}
		return all;
	}

}
