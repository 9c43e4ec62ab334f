package org.bamboorelay.processtests;

import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.ThreadLocalRandom;

/**
 * Allocates free loopback ports below the ephemeral port range, so that no client
 * connection takes a port between its allocation and its use. Each test fork has a range
 * of its own.
 * <p>
 * Thread-safe.
 */
final class Ports {

	private static final int FIRST_PORT = 20_000;

	private static final int PORTS_PER_FORK = 4_000;

	private static final int MAX_ATTEMPTS = 1_000;

	/**
	 * Offset of the reservation port. An allocated port stays free until its process
	 * starts, so it could be allocated twice, also by another run of these tests. A
	 * listener on the port minus this offset reserves it.
	 */
	private static final int RESERVATION_OFFSET = 12_000;

	private static final List<ServerSocket> RESERVATIONS = new ArrayList<>();

	private Ports() {
	}

	static synchronized String freeAddress() {
		int fork = Integer.getInteger("fork.number", 1) % 3;
		for (int i = 0; i < MAX_ATTEMPTS; i++) {
			int port = FIRST_PORT + fork * PORTS_PER_FORK + ThreadLocalRandom.current().nextInt(PORTS_PER_FORK);
			try {
				RESERVATIONS.add(new ServerSocket(port - RESERVATION_OFFSET, 1, InetAddress.getLoopbackAddress()));
			}
			catch (IOException ex) {
				// Reserved; try another port.
				continue;
			}
			try (ServerSocket socket = new ServerSocket(port, 1, InetAddress.getLoopbackAddress())) {
				return "127.0.0.1:" + socket.getLocalPort();
			}
			catch (IOException ex) {
				// In use; try another port.
			}
		}
		throw new IllegalStateException("no free port from " + FIRST_PORT);
	}

}
