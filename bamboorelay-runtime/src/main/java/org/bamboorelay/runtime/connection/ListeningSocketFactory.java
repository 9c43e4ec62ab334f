package org.bamboorelay.runtime.connection;

import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.Objects;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import java.util.concurrent.locks.LockSupport;
import java.util.function.Consumer;

import javax.net.ServerSocketFactory;

import org.apache.hc.core5.http.impl.bootstrap.HttpServer;
import org.apache.hc.core5.io.CloseMode;
import org.jspecify.annotations.Nullable;

/**
 * Creates the listening socket, which bounds the number of accepted connections, and can
 * close it without affecting accepted connections, which closing the {@link HttpServer}
 * would interrupt.
 * <p>
 * Thread-safe.
 */
final class ListeningSocketFactory extends ServerSocketFactory {

	/**
	 * Minimum idle time of a connection that is closed for a new one, in milliseconds: a
	 * new caller sends its request at once.
	 */
	private static final long MIN_IDLE_MILLIS = 200;

	/**
	 * Delay after a failure to accept a connection, in milliseconds. Without it, a lack
	 * of descriptors would occupy a processor.
	 */
	private static final long ACCEPT_RETRY_MILLIS = 50;

	private final Set<CallerConnection> connections;

	private final int maxConnections;

	private final Consumer<Exception> onError;

	private final AtomicLong refusedConnections = new AtomicLong();

	private final AtomicLong closedIdleConnections = new AtomicLong();

	private volatile @Nullable ServerSocket socket;

	ListeningSocketFactory(Set<CallerConnection> connections, int maxConnections, Consumer<Exception> onError) {
		this.connections = Objects.requireNonNull(connections, "connections");
		this.maxConnections = maxConnections;
		this.onError = Objects.requireNonNull(onError, "onError");
	}

	@Override
	public ServerSocket createServerSocket() throws IOException {
		ServerSocket created = new AdmittingServerSocket();
		this.socket = created;
		return created;
	}

	@Override
	public ServerSocket createServerSocket(int port) throws IOException {
		return createServerSocket(port, 0, null);
	}

	@Override
	public ServerSocket createServerSocket(int port, int backlog) throws IOException {
		return createServerSocket(port, backlog, null);
	}

	@Override
	public ServerSocket createServerSocket(int port, int backlog, @Nullable InetAddress address) throws IOException {
		ServerSocket created = createServerSocket();
		created.bind(new InetSocketAddress(address, port), backlog);
		return created;
	}

	long refusedConnections() {
		return this.refusedConnections.get();
	}

	long closedIdleConnections() {
		return this.closedIdleConnections.get();
	}

	void close() {
		ServerSocket current = this.socket;
		try {
			if (current != null) {
				current.close();
			}
		}
		catch (IOException ex) {
			// Ignored; the process is about to exit.
		}
	}

	// Accepts a connection. If the limit is reached, the connection that has been idle
	// for the longest time is closed for it; if none is idle, the new one is closed.
	private Socket admit(AdmittingServerSocket server) throws IOException {
		while (true) {
			Socket accepted;
			try {
				accepted = server.acceptAny();
			}
			catch (IOException ex) {
				if (server.isClosed()) {
					throw ex;
				}
				// HttpCore would accept no more connections after this failure, which is
				// usually a lack of descriptors.
				this.onError.accept(ex);
				closeLongestIdle();
				LockSupport.parkNanos(TimeUnit.MILLISECONDS.toNanos(ACCEPT_RETRY_MILLIS));
				continue;
			}
			if (this.connections.size() < this.maxConnections || closeLongestIdle()) {
				return accepted;
			}
			this.refusedConnections.incrementAndGet();
			accepted.close();
		}
	}

	private boolean closeLongestIdle() {
		long now = System.nanoTime();
		CallerConnection longest = null;
		long longestNanos = TimeUnit.MILLISECONDS.toNanos(MIN_IDLE_MILLIS);
		for (CallerConnection connection : this.connections) {
			long since = connection.idleSinceNanos();
			if (since != Long.MAX_VALUE && now - since > longestNanos) {
				longest = connection;
				longestNanos = now - since;
			}
		}
		if (longest == null) {
			return false;
		}
		longest.close(CloseMode.IMMEDIATE);
		this.closedIdleConnections.incrementAndGet();
		return true;
	}

	private final class AdmittingServerSocket extends ServerSocket {

		private AdmittingServerSocket() throws IOException {
		}

		@Override
		public Socket accept() throws IOException {
			return admit(this);
		}

		private Socket acceptAny() throws IOException {
			return super.accept();
		}

	}

}
