package org.bamboorelay.runtime.connection;

import java.io.IOException;
import java.io.OutputStream;
import java.net.BindException;
import java.net.ConnectException;
import java.net.Socket;
import java.net.SocketException;
import java.nio.charset.StandardCharsets;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.locks.LockSupport;

import org.apache.hc.core5.http.ContentType;
import org.apache.hc.core5.http.io.entity.HttpEntities;
import org.apache.hc.core5.http.message.BasicClassicHttpRequest;
import org.apache.hc.core5.http.message.BasicClassicHttpResponse;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Guards against a truncated response that appears complete to its caller, and against a
 * port that a restarted process cannot bind.
 */
class HttpListenerTests {

	@Test
	void chunkedResponseIsTruncatedIfItsBodyFails() throws IOException {
		HttpListener.HttpHandler handler = (request, responder) -> {
			BasicClassicHttpResponse response = new BasicClassicHttpResponse(200);
			response.setEntity(HttpEntities.create(HttpListenerTests::writePartAndFail, ContentType.TEXT_PLAIN));
			responder.send(response);
		};
		try (HttpListener listener = HttpListener.open("127.0.0.1", 0, handler, (ex) -> {
		}); HttpConnectionPool pool = new HttpConnectionPool()) {
			BasicClassicHttpRequest request = new BasicClassicHttpRequest("GET", "/");
			try (HttpExchange exchange = pool.execute("127.0.0.1:" + listener.port(), request, false, 5_000).get()) {
				assertThat(exchange.body().readNBytes(4)).isEqualTo("part".getBytes(StandardCharsets.US_ASCII));
				assertThat(exchange.readFully(100).getLeft()).isInstanceOf(HttpFailure.Broken.class);
			}
		}
	}

	@Test
	@Timeout(30)
	void requestWhoseHeadEndsEarlyIsNotHandled() throws IOException {
		Set<String> handled = ConcurrentHashMap.newKeySet();
		HttpListener.HttpHandler handler = (request, responder) -> {
			handled.add(request.getRequestUri());
			responder.send(200, "text/plain", "whole");
		};
		String head = "POST /x HTTP/1.1\r\nHost: relay\r\nContent-Length: 1\r\n";
		try (HttpListener listener = HttpListener.open("127.0.0.1", 0, handler, (ex) -> {
		})) {
			for (int length = 0; length <= head.length(); length++) {
				try (Socket caller = new Socket("127.0.0.1", listener.port())) {
					caller.getOutputStream().write(head.substring(0, length).getBytes(StandardCharsets.US_ASCII));
					caller.shutdownOutput();
					assertThat(readOrReset(caller)).as("head of " + length + " bytes").doesNotContain("200 OK");
				}
			}
		}
		assertThat(handled).isEmpty();
	}

	// Returns what the listener sent before it closed or reset the connection.
	private static String readOrReset(Socket caller) throws IOException {
		try {
			return new String(caller.getInputStream().readAllBytes(), StandardCharsets.US_ASCII);
		}
		catch (SocketException ex) {
			return "";
		}
	}

	@Test
	void portCanBeBoundAgainAfterListenerClosedConnections() throws IOException {
		HttpListener.HttpHandler handler = (request, responder) -> responder.send(200, "text/plain", "whole");
		int port;
		try (HttpListener listener = HttpListener.open("127.0.0.1", 0, handler, (ex) -> {
		}); Socket caller = new Socket("127.0.0.1", listener.port())) {
			port = listener.port();
			caller.getOutputStream()
				.write("GET / HTTP/1.1\r\nHost: relay\r\nConnection: close\r\n\r\n"
					.getBytes(StandardCharsets.US_ASCII));
			assertThat(new String(caller.getInputStream().readAllBytes(), StandardCharsets.US_ASCII)).contains("whole");
		}
		try (HttpListener again = reopen(port, handler)) {
			assertThat(again.port()).isEqualTo(port);
		}
	}

	@Test
	@Timeout(30)
	void drainAnswersEveryServedRequest() throws Exception {
		// The callers do not stop sending, so the listener never becomes idle.
		Set<String> served = ConcurrentHashMap.newKeySet();
		Set<String> answered = ConcurrentHashMap.newKeySet();
		ExecutorService callers = Executors.newCachedThreadPool();
		HttpListener.HttpHandler handler = (request, responder) -> {
			served.add(request.getRequestUri());
			LockSupport.parkNanos(TimeUnit.MILLISECONDS.toNanos(40));
			responder.send(200, "text/plain", "whole");
		};
		try (HttpListener listener = HttpListener.open("127.0.0.1", 0, handler, (ex) -> {
		})) {
			for (int caller = 0; caller < 8; caller++) {
				String name = "/" + caller + "-";
				callers.execute(() -> send(listener.port(), name, answered));
			}
			while (answered.size() < 40) {
				LockSupport.parkNanos(TimeUnit.MILLISECONDS.toNanos(10));
			}
			assertThat(listener.drain(300, 1_000)).isTrue();
		}
		callers.shutdown();
		assertThat(callers.awaitTermination(10, TimeUnit.SECONDS)).isTrue();
		assertThat(answered).containsAll(served);
	}

	// Sends requests sequentially, each on a new connection, until connections are
	// refused.
	private static void send(int port, String name, Set<String> answered) {
		for (int number = 0;; number++) {
			try (Socket socket = new Socket("127.0.0.1", port)) {
				socket.getOutputStream()
					.write(("GET " + name + number + " HTTP/1.1\r\nHost: relay\r\nConnection: close\r\n\r\n")
						.getBytes(StandardCharsets.US_ASCII));
				if (new String(socket.getInputStream().readAllBytes(), StandardCharsets.US_ASCII).endsWith("whole")) {
					answered.add(name + number);
				}
			}
			catch (ConnectException ex) {
				return;
			}
			catch (IOException ex) {
				// Interrupted; the assertion reports it as a request that was served but
				// not answered.
			}
		}
	}

	/**
	 * Opens a listener on a port that was closed immediately before. The accepting thread
	 * releases the port after a moment, whereas a closed connection would block it for a
	 * minute.
	 */
	private static HttpListener reopen(int port, HttpListener.HttpHandler handler) throws IOException {
		long deadline = System.nanoTime() + TimeUnit.SECONDS.toNanos(5);
		while (true) {
			try {
				return HttpListener.open("127.0.0.1", port, handler, (ex) -> {
				});
			}
			catch (BindException ex) {
				if (System.nanoTime() > deadline) {
					throw ex;
				}
				Thread.onSpinWait();
			}
		}
	}

	private static void writePartAndFail(OutputStream out) throws IOException {
		out.write("part".getBytes(StandardCharsets.US_ASCII));
		out.flush();
		throw new IOException("the body fails");
	}

}
