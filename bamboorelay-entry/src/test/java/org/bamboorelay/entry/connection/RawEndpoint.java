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
 * An endpoint on a free loopback port that records each request byte by byte and answers
 * what a test tells it to.
 */
public final class RawEndpoint implements AutoCloseable {

	private final ServerSocket server = new ServerSocket(0, 50, InetAddress.getLoopbackAddress());

	private final ExecutorService threads = Executors.newCachedThreadPool();

	private final List<HttpText> requests = new CopyOnWriteArrayList<>();

	private final Answers answers;

	/**
	 * Opens an endpoint.
	 * @param answers answers each request
	 * @throws IOException where no port is free
	 */
	public RawEndpoint(Answers answers) throws IOException {
		this.answers = answers;
		this.threads.execute(this::acceptLoop);
	}

	/**
	 * Returns where the endpoint listens.
	 * @return {@code ip:port}
	 */
	public String address() {
		return "127.0.0.1:" + this.server.getLocalPort();
	}

	/**
	 * Returns the requests so far.
	 * @return the requests
	 */
	public List<HttpText> requests() {
		return this.requests;
	}

	/**
	 * Answers with a body of known length, and echoes the request's id.
	 * @param request the request
	 * @param status the status line's code and reason
	 * @param body the body
	 * @return the answer
	 */
	public static String ok(HttpText request, String status, String body) {
		return "HTTP/1.1 " + status + "\r\nX-Request-Id: " + request.header("X-Request-Id") + "\r\nContent-Length: "
				+ body.length() + "\r\n\r\n" + body;
	}

	/**
	 * Answers with a stream that is cut after the given events.
	 * @param request the request
	 * @param events the text of the body, in which {@code $ID} stands for the request id
	 * @param whole whether the framing ends properly
	 * @return the answer
	 */
	public static String stream(HttpText request, String events, boolean whole) {
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
				HttpText request = HttpText.read(socket.getInputStream());
				this.requests.add(request);
				String answer = this.answers.answer(request, this.requests.size());
				if (answer == null) {
					return;
				}
				socket.getOutputStream().write(answer.getBytes(StandardCharsets.UTF_8));
				if (answer.startsWith("HTTP/1.1 200 OK\r\nContent-Type: text/event-stream")
						&& !answer.endsWith("0\r\n\r\n")) {
					this.answers.afterCut();
					return;
				}
			}
		}
		catch (IOException ex) {
			// The caller closed the connection.
		}
	}

	/**
	 * Answers requests.
	 */
	@FunctionalInterface
	public interface Answers {

		/**
		 * Answers a request.
		 * @param request the request
		 * @param count the number of requests so far, this one included
		 * @return the raw answer; null to close the connection without one
		 */
		String answer(HttpText request, int count);

		/**
		 * Runs between the last byte of a cut stream and the end of its connection.
		 */
		default void afterCut() {
		}

	}

}
