package org.bamboorelay.runtime.connection;

import java.io.IOException;
import java.io.OutputStream;
import java.nio.charset.StandardCharsets;

import org.apache.hc.core5.http.ContentType;
import org.apache.hc.core5.http.io.entity.HttpEntities;
import org.apache.hc.core5.http.message.BasicClassicHttpRequest;
import org.apache.hc.core5.http.message.BasicClassicHttpResponse;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Guards against a cut answer that looks whole to its caller.
 */
class HttpListenerTests {

	@Test
	void chunkedAnswerWhoseBodyFailsIsCut() throws IOException {
		HttpListener.HttpHandler handler = (request, responder) -> {
			BasicClassicHttpResponse response = new BasicClassicHttpResponse(200);
			response.setEntity(HttpEntities.create(HttpListenerTests::writePart, ContentType.TEXT_PLAIN));
			responder.send(response);
		};
		try (HttpListener listener = HttpListener.open("127.0.0.1", 0, handler, (ex) -> {
		}); HttpConnectionPool pool = new HttpConnectionPool()) {
			BasicClassicHttpRequest request = new BasicClassicHttpRequest("GET", "/");
			try (HttpExchange exchange = pool.execute("127.0.0.1:" + listener.port(), request, false, 5_000).get()) {
				assertThat(exchange.body().readNBytes(4)).isEqualTo("part".getBytes(StandardCharsets.US_ASCII));
				assertThat(exchange.readWhole(100).getLeft()).isInstanceOf(HttpFailure.Broken.class);
			}
		}
	}

	private static void writePart(OutputStream out) throws IOException {
		out.write("part".getBytes(StandardCharsets.US_ASCII));
		out.flush();
		throw new IOException("the body fails");
	}

}
