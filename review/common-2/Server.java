import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;

/** Accepts connections at a loopback address; each is served by a thread of its own. */
final class Server implements AutoCloseable {

	private final ServerSocket socket;

	private final Set<Socket> connections = ConcurrentHashMap.newKeySet();

	private final Handler handler;

	Server(String ip, int port, Handler handler) throws IOException {
		this.handler = handler;
		this.socket = new ServerSocket(port, 512, InetAddress.getByName(ip));
		thread(this::acceptAll);
	}

	String address() {
		return this.socket.getInetAddress().getHostAddress() + ":" + this.socket.getLocalPort();
	}

	private void acceptAll() {
		while (!this.socket.isClosed()) {
			try {
				Socket connection = this.socket.accept();
				connection.setTcpNoDelay(true);
				this.connections.add(connection);
				thread(() -> serve(connection));
			}
			catch (IOException ex) {
				// The server is closed.
			}
		}
	}

	private void serve(Socket connection) {
		try (connection) {
			this.handler.serve(connection, new BufferedInputStream(connection.getInputStream()),
					connection.getOutputStream());
		}
		catch (IOException ex) {
			// The peer ended the connection.
		}
		finally {
			this.connections.remove(connection);
		}
	}

	@Override
	public void close() throws IOException {
		this.socket.close();
		for (Socket connection : this.connections) {
			connection.close();
		}
	}

	static void thread(Runnable task) {
		Thread thread = new Thread(task);
		thread.setDaemon(true);
		thread.start();
	}

	/** Serves a connection until it ends. */
	interface Handler {

		void serve(Socket connection, InputStream in, OutputStream out) throws IOException;

	}

}
