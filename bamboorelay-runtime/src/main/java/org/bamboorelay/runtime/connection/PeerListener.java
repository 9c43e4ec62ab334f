package org.bamboorelay.runtime.connection;

import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.Executor;
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

	private final ServerSocket server;

	private final Set<PeerLink> links = ConcurrentHashMap.newKeySet();

	private PeerListener(ServerSocket server) {
		this.server = server;
	}

	/**
	 * Opens a listener.
	 * @param address the IP address
	 * @param port the port, 0 for a free one
	 * @param hello how this process introduces itself
	 * @param handler called for each message
	 * @param onFailure told why each link ended or was not opened
	 * @param threads runs the accepting loop and a reading loop for each link
	 * @return the open listener
	 * @throws IOException where the address cannot be bound
	 */
	public static PeerListener open(String address, int port, PeerMessage.Hello hello, PeerLink.Handler handler,
			Consumer<PeerFailure> onFailure, Executor threads) throws IOException {
		PeerListener listener = new PeerListener(new ServerSocket(port, BACKLOG, InetAddress.getByName(address)));
		threads.execute(() -> listener.acceptLoop(hello, handler, onFailure, threads));
		return listener;
	}

	/**
	 * Returns the port that is listened on.
	 * @return the port
	 */
	public int port() {
		return this.server.getLocalPort();
	}

	/**
	 * Closes the links that were accepted so far; new ones are still accepted.
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
			// The process ends; a failure to close its listener changes nothing.
		}
		closeLinks();
	}

	private void acceptLoop(PeerMessage.Hello hello, PeerLink.Handler handler, Consumer<PeerFailure> onFailure,
			Executor threads) {
		while (!this.server.isClosed()) {
			try {
				Socket socket = this.server.accept();
				threads.execute(() -> greet(socket, hello, handler, onFailure, threads));
			}
			catch (IOException ex) {
				if (!this.server.isClosed()) {
					onFailure.accept(new PeerFailure.NoAnswer("accept failed: " + ex.getMessage()));
				}
			}
		}
	}

	private void greet(Socket socket, PeerMessage.Hello hello, PeerLink.Handler handler,
			Consumer<PeerFailure> onFailure, Executor threads) {
		Either<PeerFailure, PeerLink> link = PeerLink.start(socket, hello, handler, onFailure, threads);
		if (link.isLeft()) {
			onFailure.accept(link.getLeft());
			return;
		}
		this.links.removeIf((known) -> !known.isOpen());
		this.links.add(link.get());
	}

}
