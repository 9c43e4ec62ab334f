package org.bamboorelay.runtime.connection;

import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.SocketException;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import java.util.concurrent.locks.LockSupport;

import io.vavr.control.Either;
import org.apache.hc.core5.http.message.BasicClassicHttpRequest;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

/**
 * Tests of the client connections against servers that send what is no answer.
 */
@Timeout(30)
class HttpConnectionPoolTests {

	private static final int PAUSE_MILLIS = 300;

	/** Time in which an exchange must end, in milliseconds. */
	private static final long WHOLE_MILLIS = 800;

	/** Time for a busy machine beyond that, in milliseconds. */
	private static final long MARGIN_MILLIS = 3_000;

	private static final int TRICKLE_NANOS = 100_000_000;

	private final HttpConnectionPool pool = HttpConnectionPool.withoutProbes();

	@AfterEach
	void close() {
		this.pool.close();
	}

	@Test
	void bytesWithoutEndBeforeTheStatusLineEndTheExchange() throws IOException {
		assertEnds((request, out) -> forever(out, "x".repeat(1_000), 0));
		assertEnds((request, out) -> forever(out, "\r\n", 0));
	}

	@Test
	void headWithoutEndEndsTheExchange() throws IOException {
		assertEnds((request, out) -> {
			write(out, "HTTP/1.1 200 OK\r\n");
			forever(out, "A: b\r\n", 0);
		});
		assertEnds((request, out) -> {
			write(out, "HTTP/1.1 200 OK\r\nA: ");
			forever(out, "b", 0);
		});
	}

	@Test
	void interimAnswersWithoutEndEndTheExchange() throws IOException {
		assertEnds((request, out) -> forever(out, "HTTP/1.1 100 Continue\r\n\r\n", 0));
		assertEnds((request, out) -> forever(out, "HTTP/1.1 103 Early Hints\r\nA: b\r\n\r\n", 0));
	}

	@Test
	void headThatComesByteByByteEndsInTime() throws IOException {
		assertEnds((request, out) -> {
			write(out, "HTTP/1.1 200 OK\r\nA: ");
			forever(out, "b", TRICKLE_NANOS);
		});
		assertEnds((request, out) -> forever(out, "HTTP/1.1 100 Continue\r\n\r\n", TRICKLE_NANOS));
	}

	@Test
	void bodyThatComesByteByByteEndsInTime() throws IOException {
		assertBodyEnds("Content-Length: 1000000\r\n\r\n", "b", TRICKLE_NANOS);
		assertBodyEnds("\r\n", "b", TRICKLE_NANOS);
		assertBodyEnds("Transfer-Encoding: chunked\r\n\r\n", "1\r\nb\r\n", TRICKLE_NANOS);
		assertBodyEnds("Transfer-Encoding: chunked\r\n\r\n1", ";e", TRICKLE_NANOS);
		assertBodyEnds("Transfer-Encoding: chunked\r\n\r\n0\r\n", "T: t\r\n", TRICKLE_NANOS);
	}

	@Test
	void bodyWithoutEndEndsAtItsLimit() throws IOException {
		assertBodyEnds("\r\n", "b".repeat(10_000), 0);
		assertBodyEnds("Transfer-Encoding: chunked\r\n\r\n", "1;" + "e".repeat(1_000) + "\r\nb\r\n", 0);
		assertBodyEnds("Transfer-Encoding: chunked\r\n\r\n1", ";e", 0);
		assertBodyEnds("Transfer-Encoding: chunked\r\n\r\n0\r\n", "T: t\r\n", 0);
	}

	@Test
	void headWithoutEndEndsAlsoWhereNoTimeIsSet() throws IOException {
		try (RawServer server = new RawServer((request, out) -> forever(out, "HTTP/1.1 103 Early Hints\r\n\r\n", 0))) {
			assertThat(this.pool.execute(server.address(), new BasicClassicHttpRequest("GET", "/"), true, PAUSE_MILLIS)
				.isLeft()).isTrue();
		}
	}

	@Test
	void answersTogetherHaveALimit() throws IOException {
		try (HttpConnectionPool small = new HttpConnectionPool(false, 50_000);
				RawServer server = new RawServer((request, out) -> write(out, answer("b".repeat(40_000))))) {
			for (int number = 0; number < 3; number++) {
				try (HttpExchange exchange = small
					.execute(server.address(), new BasicClassicHttpRequest("GET", "/"), true, PAUSE_MILLIS)
					.get()) {
					assertThat(exchange.readWhole(100_000).get()).as("the bytes of the last one are given back")
						.hasSize(40_000);
				}
			}
		}
		try (HttpConnectionPool small = new HttpConnectionPool(false, 50_000);
				RawServer server = new RawServer((request, out) -> write(out, answer("b".repeat(60_000))));
				HttpExchange exchange = small
					.execute(server.address(), new BasicClassicHttpRequest("GET", "/"), true, PAUSE_MILLIS)
					.get()) {
			assertThat(exchange.readWhole(100_000).getLeft()).isInstanceOf(HttpFailure.AnswerTooLarge.class);
		}
	}

	@Test
	void slowButSoundAnswerLives() throws IOException {
		try (RawServer server = new RawServer((request, out) -> {
			write(out, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n");
			for (int part = 0; part < 10; part++) {
				LockSupport.parkNanos(TRICKLE_NANOS * 2L);
				write(out, "1\r\nb\r\n");
			}
			write(out, "0\r\n\r\n");
		}); HttpExchange exchange = execute(server, "r").get()) {
			byte[] one = new byte[1];
			int parts = 0;
			InputStream body = exchange.body();
			while (body.read(one) > 0) {
				exchange.within(WHOLE_MILLIS);
				parts++;
			}
			assertThat(parts).isEqualTo(10);
		}
	}

	@Test
	void secondCopyOfAnAnswerEndsItsConnection() throws IOException {
		// The copy was taken for the answer to the next request.
		try (RawServer server = new RawServer((request, out) -> write(out, answer("first") + answer("copy")))) {
			assertThat(read(server, "r1")).isEqualTo("first");
			assertThat(read(server, "r2")).isEqualTo("first");
			assertThat(server.connections()).isEqualTo(2);
		}
	}

	@Test
	void lateCopyIsNotTakenForTheAnswerToARepeat() throws IOException {
		// A repeat bears the same id, so that the copy looks like its answer.
		try (RawServer server = new RawServer((request, out) -> write(out, answer("answer " + request)))) {
			assertThat(read(server, "r1")).isEqualTo("answer 1");
			assertThat(read(server, "r1")).isEqualTo("answer 1");
			assertThat(server.connections()).isEqualTo(2);
			assertThat(read(server, "r2")).isEqualTo("answer 2");
			assertThat(server.connections()).isEqualTo(2);
		}
	}

	@Test
	void otherConnectionsToASilentAddressAreDropped() throws IOException {
		try (RawServer server = new RawServer((request, out) -> {
			if (request == 1) {
				write(out, answer("first"));
			}
		})) {
			HttpExchange one = execute(server, "a").get();
			HttpExchange two = execute(server, "b").get();
			for (HttpExchange exchange : Arrays.asList(one, two)) {
				assertThat(exchange.readWhole(100).isRight()).isTrue();
				exchange.close();
			}
			assertThat(execute(server, "c").isLeft()).isTrue();
			assertThat(read(server, "d")).as("not on the other silent connection").isEqualTo("first");
		}
	}

	@Test
	void slowRequestLeavesTheOtherConnectionsOfItsAddress() throws IOException {
		try (RawServer server = new RawServer((request, out) -> {
			if (request != 2) {
				write(out, answer("first"));
			}
		})) {
			HttpExchange one = execute(server, "a").get();
			assertThat(read(server, "b")).isEqualTo("first");
			assertThat(one.readWhole(100).isRight()).isTrue();
			one.close();
			Thread sound = new Thread(() -> {
				LockSupport.parkNanos(TRICKLE_NANOS);
				this.pool.execute(server.address(), new BasicClassicHttpRequest("GET", "/"),
						ExchangeOptions.of(false, PAUSE_MILLIS), (abort) -> {
						})
					.forEach(HttpExchange::close);
			});
			sound.start();
			assertThat(execute(server, "c").isLeft()).isTrue();
			assertThat(server.connections()).isEqualTo(3);
			assertThat(execute(server, "d").isLeft()).as("on a connection that was kept").isTrue();
			assertThat(server.connections()).isEqualTo(3);
		}
	}

	@Test
	void exchangeThatTimesOutTakesItsBytesBack() throws IOException {
		// A request that was closed with a plain end reached its endpoint seconds later.
		try (ServerSocket server = new ServerSocket(0)) {
			String address = "127.0.0.1:" + server.getLocalPort();
			assertThat(this.pool.execute(address, new BasicClassicHttpRequest("GET", "/"), true, PAUSE_MILLIS).isLeft())
				.isTrue();
			try (Socket socket = server.accept()) {
				assertThatThrownBy(() -> socket.getInputStream().readAllBytes()).isInstanceOf(SocketException.class);
			}
		}
	}

	@Test
	void connectionsOfAPoolWithoutProbesEndThroughTheirOwnerOnly() throws IOException {
		try (ServerSocket server = new ServerSocket(0); HttpConnectionPool probed = new HttpConnectionPool()) {
			String address = "127.0.0.1:" + server.getLocalPort();
			try (Socket plain = this.pool.open(address); Socket watched = probed.open(address)) {
				assertThat(plain.getKeepAlive()).isFalse();
				assertThat(watched.getKeepAlive()).isTrue();
			}
		}
	}

	private void assertEnds(RawServer.Answers answers) throws IOException {
		try (RawServer server = new RawServer(answers)) {
			long start = System.nanoTime();
			Either<HttpFailure, HttpExchange> result = execute(server, "r");
			assertThat(result.isLeft()).as("%s", result).isTrue();
			assertThat((System.nanoTime() - start) / 1_000_000).isLessThan(WHOLE_MILLIS + MARGIN_MILLIS);
		}
	}

	private void assertBodyEnds(String head, String part, int pauseNanos) throws IOException {
		try (RawServer server = new RawServer((request, out) -> {
			write(out, "HTTP/1.1 200 OK\r\n" + head);
			forever(out, part, pauseNanos);
		})) {
			long start = System.nanoTime();
			try (HttpExchange exchange = execute(server, "r").get()) {
				assertThat(exchange.readWhole(100_000).isLeft()).isTrue();
			}
			assertThat((System.nanoTime() - start) / 1_000_000).isLessThan(WHOLE_MILLIS + MARGIN_MILLIS);
		}
	}

	private String read(RawServer server, String id) {
		try (HttpExchange exchange = execute(server, id).get()) {
			return new String(exchange.readWhole(1_000).get(), StandardCharsets.UTF_8);
		}
	}

	private Either<HttpFailure, HttpExchange> execute(RawServer server, String id) {
		return this.pool.execute(server.address(), new BasicClassicHttpRequest("GET", "/"),
				ExchangeOptions.of(true, PAUSE_MILLIS).withTag(id).withWholeMillis(WHOLE_MILLIS), (abort) -> {
				});
	}

	private static String answer(String body) {
		return "HTTP/1.1 200 OK\r\nContent-Length: " + body.length() + "\r\n\r\n" + body;
	}

	private static void forever(OutputStream out, String part, int pauseNanos) throws IOException {
		while (true) {
			write(out, part);
			if (pauseNanos > 0) {
				LockSupport.parkNanos(pauseNanos);
			}
		}
	}

	private static void write(OutputStream out, String text) throws IOException {
		out.write(text.getBytes(StandardCharsets.UTF_8));
		out.flush();
	}

}
