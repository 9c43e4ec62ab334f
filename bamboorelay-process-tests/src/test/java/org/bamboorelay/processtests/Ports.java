package org.bamboorelay.processtests;

import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.util.ArrayList;
import java.util.List;
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

	/**
	 * A port is free until its process starts, so that it could be chosen twice, also by
	 * another run of these tests. A listener at the port minus this number claims it.
	 */
	private static final int CLAIM_OFFSET = 12_000;

	private static final List<ServerSocket> CLAIMS = new ArrayList<>();

	private Ports() {
	}

	static synchronized String freeAddress() {
		int fork = Integer.getInteger("fork.number", 1) % 3;
		for (int i = 0; i < ATTEMPTS; i++) {
			int port = FIRST + fork * RANGE + ThreadLocalRandom.current().nextInt(RANGE);
			try {
				CLAIMS.add(new ServerSocket(port - CLAIM_OFFSET, 1, InetAddress.getLoopbackAddress()));
			}
			catch (IOException ex) {
				// Claimed; try another.
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
