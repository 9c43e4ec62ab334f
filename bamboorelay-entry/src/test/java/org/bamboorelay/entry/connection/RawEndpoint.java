package org.bamboorelay.entry.connection;

import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;

/**
 * An HTTP endpoint on a free loopback port that records each raw request and sends raw
 * responses determined by a test.
 */
public final class RawEndpoint implements AutoCloseable {

	private final ServerSocket server = new ServerSocket(0, 50, InetAddress.getLoopbackAddress());

	private final ExecutorService threads = Executors.newCachedThreadPool();

	private final List<RawHttpMessage> requests = new CopyOnWriteArrayList<>();

	private final Responder responder;

	/**
	 * Opens an endpoint.
	 * @param responder determines the response to each request
	 * @throws IOException if no port is free
	 */
	public RawEndpoint(Responder responder) throws IOException {
		this.responder = responder;
		this.threads.execute(this::acceptLoop);
	}

	/**
	 * Returns the address of the endpoint.
	 * @return {@code ip:port}
	 */
	public String address() {
		return "127.0.0.1:" + this.server.getLocalPort();
	}

	/**
	 * Returns the requests received so far.
	 * @return the requests
	 */
	public List<RawHttpMessage> requests() {
		return this.requests;
	}

	/**
	 * Creates a response with a body of known length and the id of the request.
	 * @param request the request
	 * @param status code and reason phrase of the status line
	 * @param body the body
	 * @return the raw response
	 */
	public static String ok(RawHttpMessage request, String status, String body) {
		return "HTTP/1.1 " + status + "\r\nX-Request-Id: " + request.header("X-Request-Id") + "\r\nContent-Length: "
				+ body.length() + "\r\n\r\n" + body;
	}

	/**
	 * Creates a response with an event stream.
	 * @param request the request
	 * @param events the events, in which {@code $ID} is replaced by the request id
	 * @param whole whether the chunked framing is terminated; otherwise the connection is
	 * closed after the events
	 * @return the raw response
	 */
	public static String stream(RawHttpMessage request, String events, boolean whole) {
		String body = events.replace("$ID", request.header("X-Request-Id"));
		return "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"
				+ Integer.toHexString(body.length()) + "\r\n" + body + "\r\n" + (whole ? "0\r\n\r\n" : "");
	}

	@Override
	public void close() throws IOException {
		this.server.close();
		this.threads.shutdownNow();
	}

	private void acceptLoop() {
		while (!this.server.isClosed()) {
			try {
				Socket socket = this.server.accept();
				this.threads.execute(() -> serve(socket));
			}
			catch (IOException ex) {
				// The endpoint was closed.
			}
		}
	}

	private void serve(Socket socket) {
		try (socket) {
			while (true) {
				RawHttpMessage request = RawHttpMessage.read(socket.getInputStream());
				this.requests.add(request);
				String response = this.responder.response(request, this.requests.size());
				if (response == null) {
					return;
				}
				socket.getOutputStream().write(response.getBytes(StandardCharsets.UTF_8));
				if (response.startsWith("HTTP/1.1 200 OK\r\nContent-Type: text/event-stream")
						&& !response.endsWith("0\r\n\r\n")) {
					this.responder.beforeClose();
					return;
				}
			}
		}
		catch (IOException ex) {
			// The client closed the connection.
		}
	}

	/**
	 * Determines the responses to requests.
	 */
	@FunctionalInterface
	public interface Responder {

		/**
		 * Returns the response to a request.
		 * @param request the request
		 * @param count the number of requests received so far, including this one
		 * @return the raw response; null to close the connection without a response
		 */
		String response(RawHttpMessage request, int count);

		/**
		 * Called after the last byte of a truncated stream, before its connection is
		 * closed.
		 */
		default void beforeClose() {
		}

	}

}
