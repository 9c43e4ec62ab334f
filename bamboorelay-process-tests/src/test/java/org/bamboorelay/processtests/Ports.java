package org.bamboorelay.processtests;

import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.util.HashSet;
import java.util.Set;
import java.util.concurrent.ThreadLocalRandom;

/**
 * Finds free loopback ports below the range of outgoing connections, so that no client
 * connection takes a port between its choice and its use. Each test fork has its own
 * range.
 * <p>
 * Thread-safe.
 */
final class Ports {

	private static final int FIRST = 20_000;

	private static final int RANGE = 4_000;

	private static final int ATTEMPTS = 1_000;

	/** A port is free until its process starts, so that it could be chosen twice. */
	private static final Set<Integer> CHOSEN = new HashSet<>();

	private Ports() {
	}

	static synchronized String freeAddress() {
		int fork = Integer.getInteger("fork.number", 1) % 3;
		for (int i = 0; i < ATTEMPTS; i++) {
			int port = FIRST + fork * RANGE + ThreadLocalRandom.current().nextInt(RANGE);
			if (!CHOSEN.add(port)) {
				continue;
			}
			try (ServerSocket socket = new ServerSocket(port, 1, InetAddress.getLoopbackAddress())) {
				return "127.0.0.1:" + socket.getLocalPort();
			}
			catch (IOException ex) {
				// Taken; try another.
			}
		}
		throw new IllegalStateException("no free port from " + FIRST);
	}

}
