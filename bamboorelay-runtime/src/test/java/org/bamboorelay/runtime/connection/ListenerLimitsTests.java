package org.bamboorelay.runtime.connection;

import java.io.IOException;
import java.io.InputStream;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.SocketException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.locks.LockSupport;

import org.apache.hc.core5.http.ContentType;
import org.apache.hc.core5.http.io.entity.ByteArrayEntity;
import org.apache.hc.core5.http.message.BasicClassicHttpRequest;
import org.apache.hc.core5.http.message.BasicClassicHttpResponse;
import org.bamboorelay.core.process.MemoryAccount;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests of the limits of a {@link HttpListener}.
 */
@Timeout(30)
class ListenerLimitsTests {

	private static final String HEAD = "POST /x HTTP/1.1\r\nHost: relay\r\n";

	private static final ListenerLimits LIMITS = new ListenerLimits(1_000, 300, 500, 1_000, 300, 0);

	private final ListenerOptions options = new ListenerOptions(() -> LIMITS, 4, MemoryAccount.unlimited());

	private final HttpListener.HttpHandler reader = (request, responder) -> {
		request.getEntity().getContent().readAllBytes();
		responder.send(200, "text/plain", "whole");
	};

	@Test
	void headThatTricklesIsEndedByTheClock() throws IOException {
		// Each byte arrives within the timeout of one read.
		try (HttpListener listener = open(this.reader); Socket caller = connect(listener)) {
			trickle(caller, HEAD);
			assertThat(response(caller)).contains(" 408 ", "header_timeout_ms = 300");
		}
	}

	@Test
	void bodyBelowTheMinimumRateEndsItsRequest() throws IOException {
		CompletableFuture<String> failure = new CompletableFuture<>();
		try (HttpListener listener = open((request, responder) -> {
			try {
				request.getEntity().getContent().readAllBytes();
			}
			catch (IOException ex) {
				failure.complete(String.valueOf(ex.getMessage()));
				throw ex;
			}
		}); Socket caller = connect(listener)) {
			write(caller, HEAD + "Content-Length: 500\r\n\r\n");
			trickle(caller, "x".repeat(500));
			assertThat(failure.join()).contains("min_body_bytes_per_second = 1000");
		}
	}

	@Test
	void headOfMoreBytesThanAllowedIsRefused() throws IOException {
		try (HttpListener listener = open(this.reader); Socket caller = connect(listener)) {
			write(caller, HEAD + "a:\r\n".repeat(250));
			assertThat(response(caller)).contains(" 431 ", "max_header_bytes = 1000");
		}
	}

	@Test
	void requestLineOfMoreBytesThanAllowedIsRefused() throws IOException {
		try (HttpListener listener = open(this.reader); Socket caller = connect(listener)) {
			write(caller, "GET /" + "x".repeat(1_000) + " HTTP/1.1\r\n");
			assertThat(response(caller)).contains(" 414 ", "max_header_bytes = 1000");
		}
	}

	@Test
	void callerThatDoesNotReadIsDisconnected() throws IOException {
		CompletableFuture<Boolean> ended = new CompletableFuture<>();
		try (HttpListener listener = open((request, responder) -> {
			BasicClassicHttpResponse response = new BasicClassicHttpResponse(200);
			response.setEntity(new ByteArrayEntity(new byte[32 * 1_048_576], ContentType.APPLICATION_OCTET_STREAM));
			try {
				responder.send(response);
			}
			finally {
				ended.complete(true);
			}
		}); Socket caller = connect(listener)) {
			write(caller, HEAD + "Content-Length: 0\r\n\r\n");
			assertThat(ended.join()).isTrue();
		}
	}

	@Test
	void requestIsEndedAtItsDeadlineIfTheServerDoesNotRead() throws IOException {
		try (ServerSocket server = new ServerSocket(0); HttpConnectionPool pool = new HttpConnectionPool()) {
			BasicClassicHttpRequest request = new BasicClassicHttpRequest("POST", "/x");
			request.setEntity(new ByteArrayEntity(new byte[32 * 1_048_576], ContentType.APPLICATION_OCTET_STREAM));
			CompletableFuture<Boolean> failed = CompletableFuture
				.supplyAsync(() -> pool.execute("127.0.0.1:" + server.getLocalPort(), request,
						ExchangeOptions.of(false, 10_000).withTotalTimeoutMillis(300), (abort) -> {
						})
					.isLeft());
			while (!failed.isDone()) {
				pool.closeStalledWrites();
				LockSupport.parkNanos(TimeUnit.MILLISECONDS.toNanos(20));
			}
			assertThat(failed.join()).isTrue();
		}
	}

	@Test
	void idleConnectionsAreClosedBeforeNewOnesAreRefused() throws IOException {
		try (HttpListener listener = HttpListener.open("127.0.0.1", 0, this.reader, (ex) -> {
		}, new ListenerOptions(() -> ListenerLimits.DEFAULTS, 4, MemoryAccount.unlimited()))) {
			List<Socket> idle = new ArrayList<>();
			for (int number = 0; number < 4; number++) {
				idle.add(connect(listener));
			}
			// A connection is idle from the time at which it was accepted.
			while (listener.connections() < idle.size()) {
				LockSupport.parkNanos(TimeUnit.MILLISECONDS.toNanos(5));
			}
			LockSupport.parkNanos(TimeUnit.MILLISECONDS.toNanos(400));
			try (Socket caller = connect(listener)) {
				write(caller, HEAD + "Content-Length: 1\r\nConnection: close\r\n\r\nx");
				assertThat(response(caller)).contains(" 200 ");
			}
			assertThat(listener.closedIdleConnections()).isEqualTo(1);
			assertThat(listener.refusedConnections()).isZero();
			for (Socket socket : idle) {
				socket.close();
			}
		}
	}

	@Test
	void callerIsAskedForItsBodyOnlyIfTheBodyIsRead() throws IOException {
		try (HttpListener listener = open((request, responder) -> responder.send(401, "text/plain", "no"));
				Socket caller = connect(listener)) {
			write(caller, HEAD + "Content-Length: 1\r\nExpect: 100-continue\r\n\r\n");
			assertThat(response(caller)).startsWith("HTTP/1.1 401 ");
		}
	}

	private HttpListener open(HttpListener.HttpHandler handler) throws IOException {
		return HttpListener.open("127.0.0.1", 0, handler, (ex) -> {
		}, this.options);
	}

	private static Socket connect(HttpListener listener) throws IOException {
		return new Socket("127.0.0.1", listener.port());
	}

	private static void write(Socket caller, String text) throws IOException {
		caller.getOutputStream().write(text.getBytes(StandardCharsets.US_ASCII));
	}

	// Sends a byte every 50 ms until the listener closes the connection or answers.
	private static void trickle(Socket caller, String text) throws IOException {
		try {
			for (int position = 0; position < text.length() && caller.getInputStream().available() == 0; position++) {
				write(caller, text.substring(position, position + 1));
				LockSupport.parkNanos(TimeUnit.MILLISECONDS.toNanos(50));
			}
		}
		catch (SocketException ex) {
			// The listener closed the connection.
		}
	}

	private static String response(Socket caller) throws IOException {
		InputStream in = caller.getInputStream();
		return new String(in.readAllBytes(), StandardCharsets.US_ASCII);
	}

}
