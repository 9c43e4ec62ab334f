package org.bamboorelay.runtime.connection;

import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;

/**
 * Server that reads the head of each request and responds with arbitrary bytes.
 */
final class RawServer implements AutoCloseable {

	private final ServerSocket server = new ServerSocket(0, 50, InetAddress.getLoopbackAddress());

	private final List<Socket> sockets = new CopyOnWriteArrayList<>();

	private final ResponseWriter responseWriter;

	RawServer(ResponseWriter responseWriter) throws IOException {
		this.responseWriter = responseWriter;
		start(this::accept);
	}

	String address() {
		return "127.0.0.1:" + this.server.getLocalPort();
	}

	int connections() {
		return this.sockets.size();
	}

	@Override
	public void close() throws IOException {
		this.server.close();
		for (Socket socket : this.sockets) {
			socket.close();
		}
	}

	private void accept() throws IOException {
		while (!this.server.isClosed()) {
			Socket socket = this.server.accept();
			this.sockets.add(socket);
			start(() -> serve(socket));
		}
	}

	private void serve(Socket socket) throws IOException {
		BufferedReader in = new BufferedReader(new InputStreamReader(socket.getInputStream(), StandardCharsets.UTF_8));
		int request = 0;
		for (String line = in.readLine(); line != null; line = in.readLine()) {
			if (line.isEmpty()) {
				this.responseWriter.write(++request, socket.getOutputStream());
				socket.getOutputStream().flush();
			}
		}
	}

	private static void start(Task task) {
		Thread thread = new Thread(() -> {
			try {
				task.run();
			}
			catch (IOException ex) {
				// The test has ended, or the client closed the connection.
			}
		});
		thread.setDaemon(true);
		thread.start();
	}

	/**
	 * Writes the response to a request, given its number on the connection (from 1).
	 */
	interface ResponseWriter {

		void write(int request, OutputStream out) throws IOException;

	}

	private interface Task {

		void run() throws IOException;

	}

}
