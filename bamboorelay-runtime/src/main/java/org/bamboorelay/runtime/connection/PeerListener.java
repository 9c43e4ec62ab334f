package org.bamboorelay.runtime.connection;

import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.Queue;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.Executor;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.locks.LockSupport;
import java.util.function.Consumer;

import io.vavr.control.Either;
import org.bamboorelay.core.connection.PeerMessage;

/**
 * Accepts peer links.
 * <p>
 * Thread-safe.
 */
public final class PeerListener implements AutoCloseable {

	private static final int BACKLOG = 512;

	/**
	 * Maximum number of handshakes at the same time: several times the hosts of a
	 * deployment, which connect at once after a network partition.
	 */
	private static final int MAX_HANDSHAKES = 256;

	/**
	 * Delay after a failure to accept a connection, in milliseconds. Without it, a lack
	 * of descriptors would occupy a processor.
	 */
	private static final long ACCEPT_RETRY_MILLIS = 50;

	private final ServerSocket server;

	private final Set<PeerLink> links = ConcurrentHashMap.newKeySet();

	/** Sockets with an unfinished handshake, the oldest first. */
	private final Queue<Socket> handshakes = new ConcurrentLinkedQueue<>();

	private PeerListener(ServerSocket server) {
		this.server = server;
	}

	/**
	 * Opens a listener.
	 * @param address the IP address
	 * @param port the port, or 0 for any free port
	 * @param hello the first message, which identifies this process
	 * @param handler called for each message
	 * @param onFailure called with the failure when a link is closed, a handshake fails
	 * or a connection cannot be accepted
	 * @param executor runs the accepting loop and the reading loop of each link
	 * @return the open listener
	 * @throws IOException if the address cannot be bound
	 */
	public static PeerListener open(String address, int port, PeerMessage.Hello hello, PeerLink.Handler handler,
			Consumer<PeerFailure> onFailure, Executor executor) throws IOException {
		PeerListener listener = new PeerListener(new ServerSocket(port, BACKLOG, InetAddress.getByName(address)));
		executor.execute(() -> listener.acceptLoop(hello, handler, onFailure, executor));
		return listener;
	}

	/**
	 * Returns the port on which the listener accepts links.
	 * @return the port
	 */
	public int port() {
		return this.server.getLocalPort();
	}

	/**
	 * Closes all accepted links. The listener continues to accept new ones.
	 */
	public void closeLinks() {
		this.links.forEach(PeerLink::close);
	}

	@Override
	public void close() {
		try {
			this.server.close();
		}
		catch (IOException ex) {
			// Ignored; the process is about to exit.
		}
		closeLinks();
	}

	private void acceptLoop(PeerMessage.Hello hello, PeerLink.Handler handler, Consumer<PeerFailure> onFailure,
			Executor executor) {
		while (!this.server.isClosed()) {
			try {
				Socket socket = this.server.accept();
				closeExcessHandshakes(onFailure);
				this.handshakes.add(socket);
				executor.execute(() -> handshake(socket, hello, handler, onFailure, executor));
			}
			catch (IOException ex) {
				if (!this.server.isClosed()) {
					onFailure.accept(new PeerFailure.NoResponse("accept failed: " + ex.getMessage()));
					LockSupport.parkNanos(TimeUnit.MILLISECONDS.toNanos(ACCEPT_RETRY_MILLIS));
				}
			}
		}
	}

	private void closeExcessHandshakes(Consumer<PeerFailure> onFailure) throws IOException {
		while (this.handshakes.size() >= MAX_HANDSHAKES) {
			Socket oldest = this.handshakes.poll();
			if (oldest != null) {
				onFailure.accept(new PeerFailure.NoResponse(
						"handshake closed, because " + MAX_HANDSHAKES + " others are unfinished"));
				oldest.close();
			}
		}
	}

	private void handshake(Socket socket, PeerMessage.Hello hello, PeerLink.Handler handler,
			Consumer<PeerFailure> onFailure, Executor executor) {
		Either<PeerFailure, PeerLink> link = PeerLink.start(socket, hello, handler, onFailure, executor);
		this.handshakes.remove(socket);
		if (link.isLeft()) {
			onFailure.accept(link.getLeft());
			return;
		}
		this.links.removeIf((known) -> !known.isOpen());
		this.links.add(link.get());
	}

}
