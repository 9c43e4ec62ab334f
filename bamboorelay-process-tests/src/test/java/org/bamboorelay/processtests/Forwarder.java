package org.bamboorelay.processtests;

import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.locks.LockSupport;
import java.util.function.Consumer;

/**
 * TCP proxy for one target address that can disconnect, delay or half-open connections.
 * The first bytes of a peer link contain the failure domain of the connecting process, so
 * that connections can be blocked by domain.
 * <p>
 * Thread-safe.
 */
final class Forwarder implements AutoCloseable {

	private static final int BUFFER_BYTES = 16_384;

	private final ServerSocket listener;

	private final String target;

	private final Map<Connection, String> connections = new ConcurrentHashMap<>();

	private volatile Set<String> blockedDomains = Set.of();

	private volatile boolean disconnected;

	private volatile boolean halfOpen;

	private volatile long delayMillis;

	private volatile Consumer<String> beforeResponse = (request) -> {
	};

	private Forwarder(ServerSocket listener, String target) {
		this.listener = listener;
		this.target = target;
	}

	static Forwarder open(String address, String target) throws IOException {
		Forwarder forwarder = new Forwarder(new ServerSocket(port(address), 50, InetAddress.getLoopbackAddress()),
				target);
		startDaemon(forwarder::accept);
		return forwarder;
	}

	/**
	 * Closes all connections and closes new ones at once until {@link #heal()}.
	 */
	void blockedDomains() {
		this.disconnected = true;
		this.connections.keySet().forEach(Connection::close);
	}

	/**
	 * Blocks the connections from some failure domains until {@link #heal()}.
	 * @param domains the failure domains of the connecting processes
	 */
	void blockDomains(Set<String> domains) {
		this.blockedDomains = domains;
		this.connections.forEach((pair, first) -> {
			if (isBlocked(first)) {
				pair.close();
			}
		});
	}

	/**
	 * Keeps connections open but discards their data until {@link #heal()}.
	 */
	void halfOpen() {
		this.halfOpen = true;
	}

	void delay(long millis) {
		this.delayMillis = millis;
	}

	/**
	 * Runs a task before bytes of a response are forwarded, so that the client is certain
	 * to be waiting for them meanwhile.
	 * @param task receives the first bytes that the client sent on the connection
	 */
	void beforeResponse(Consumer<String> task) {
		this.beforeResponse = task;
	}

	void heal() {
		this.disconnected = false;
		this.blockedDomains = Set.of();
		if (this.halfOpen) {
			this.halfOpen = false;
			// Data of these connections was discarded, so they cannot be continued.
			this.connections.keySet().forEach(Connection::close);
		}
	}

	@Override
	public void close() throws IOException {
		this.listener.close();
		blockedDomains();
	}

	private void accept() {
		while (!this.listener.isClosed()) {
			try {
				Socket client = this.listener.accept();
				if (this.disconnected) {
					client.close();
					continue;
				}
				startDaemon(() -> serve(client));
			}
			catch (IOException ex) {
				return;
			}
		}
	}

	private void serve(Socket client) {
		try (client; Socket server = new Socket(InetAddress.getLoopbackAddress(), port(this.target))) {
			Connection pair = new Connection(client, server);
			this.connections.put(pair, "");
			client.setTcpNoDelay(true);
			server.setTcpNoDelay(true);
			startDaemon(() -> copy(server, client, pair, false));
			copy(client, server, pair, true);
			this.connections.remove(pair);
		}
		catch (IOException ex) {
			// The client sees the closed socket.
		}
	}

	private void copy(Socket from, Socket to, Connection pair, boolean fromCaller) {
		byte[] buffer = new byte[BUFFER_BYTES];
		boolean first = fromCaller;
		try {
			InputStream in = from.getInputStream();
			OutputStream out = to.getOutputStream();
			for (int count = in.read(buffer); count >= 0; count = in.read(buffer)) {
				if (first) {
					first = false;
					this.connections.replace(pair, new String(buffer, 0, count, StandardCharsets.ISO_8859_1));
				}
				if (this.disconnected || isBlocked(this.connections.getOrDefault(pair, ""))) {
					break;
				}
				LockSupport.parkNanos(TimeUnit.MILLISECONDS.toNanos(this.delayMillis));
				if (!fromCaller) {
					this.beforeResponse.accept(this.connections.getOrDefault(pair, ""));
				}
				if (!this.halfOpen) {
					out.write(buffer, 0, count);
				}
			}
		}
		catch (IOException ex) {
			// Both sides are closed below.
		}
		pair.close();
	}

	private boolean isBlocked(String firstBytes) {
		return this.blockedDomains.stream().anyMatch(firstBytes::contains);
	}

	private static int port(String address) {
		return Integer.parseInt(address.substring(address.lastIndexOf(':') + 1));
	}

	private static void startDaemon(Runnable task) {
		Thread thread = new Thread(task, "forwarder");
		thread.setDaemon(true);
		thread.start();
	}

	private record Connection(Socket client, Socket server) {

		void close() {
			try {
				this.client.close();
				this.server.close();
			}
			catch (IOException ex) {
				// The sockets are no longer in use.
			}
		}

	}

}
