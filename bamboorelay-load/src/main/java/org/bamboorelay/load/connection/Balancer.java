package org.bamboorelay.load.connection;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Plays the platform's balancer: sends each request to the next entry host whose
 * readiness check passed last.
 * <p>
 * Thread-safe.
 */
public final class Balancer {

	private final List<String> entries;

	private final CallerClient client;

	private final AtomicInteger next = new AtomicInteger();

	private volatile List<String> ready;

	private Balancer(List<String> entries, CallerClient client) {
		this.entries = List.copyOf(entries);
		this.client = client;
		this.ready = this.entries;
	}

	/**
	 * Creates a balancer.
	 * @param entries {@code ip:port} of each entry host
	 * @param client used for the readiness checks
	 * @return the balancer
	 */
	public static Balancer of(List<String> entries, CallerClient client) {
		return new Balancer(entries, client);
	}

	/**
	 * Returns the number of entry hosts that were ready at the last check.
	 * @return the number
	 */
	public int readyCount() {
		return this.ready.size();
	}

	/**
	 * Checks the readiness of each entry host once.
	 */
	public void check() {
		List<String> passed = new ArrayList<>();
		for (String entry : this.entries) {
			if (this.client.send(entry, "GET", "/health/ready", Map.of()).exists(Answer::isOk)) {
				passed.add(entry);
			}
		}
		this.ready = List.copyOf(passed);
	}

	/**
	 * Chooses the entry host of the next request.
	 * @return {@code ip:port}
	 */
	public String next() {
		List<String> choices = this.ready.isEmpty() ? this.entries : this.ready;
		return choices.get(Math.floorMod(this.next.getAndIncrement(), choices.size()));
	}

}
