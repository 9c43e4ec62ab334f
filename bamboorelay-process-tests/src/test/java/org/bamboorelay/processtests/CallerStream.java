package org.bamboorelay.processtests;

import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.nio.charset.StandardCharsets;
import java.util.HashMap;
import java.util.Map;

import org.apache.hc.core5.http.ContentType;
import org.apache.hc.core5.http.io.entity.ByteArrayEntity;
import org.apache.hc.core5.http.message.BasicClassicHttpRequest;
import org.bamboorelay.runtime.connection.HttpConnectionPool;
import org.bamboorelay.runtime.connection.HttpExchange;
import org.bamboorelay.runtime.request.Json;

/**
 * Caller that reads a completion as an event stream.
 * <p>
 * Thread-safe; the stream is read on a separate thread.
 */
final class CallerStream {

	private static final int TIMEOUT_MILLIS = 60_000;

	private final StringBuffer text = new StringBuffer();

	private volatile boolean ended;

	private CallerStream() {
	}

	static CallerStream open(String address, String key, int tokens) {
		CallerStream stream = new CallerStream();
		Thread thread = new Thread(() -> stream.read(address, key, tokens), "caller-stream");
		thread.setDaemon(true);
		thread.start();
		return stream;
	}

	String text() {
		return this.text.toString();
	}

	boolean hasTokens() {
		return this.text.indexOf("choices") >= 0;
	}

	boolean isEnded() {
		return this.ended;
	}

	boolean isComplete() {
		return this.ended && this.text.indexOf("[DONE]") >= 0 && this.text.indexOf("event: error") < 0;
	}

	private void read(String address, String key, int tokens) {
		BasicClassicHttpRequest request = new BasicClassicHttpRequest("POST", "/v1/completions");
		request.setHeader("Authorization", "Bearer " + key);
		Map<String, Object> body = new HashMap<>(Http.completion(Deployment.MODEL, tokens));
		body.put("stream", true);
		request.setEntity(new ByteArrayEntity(Json.bytes(body), ContentType.APPLICATION_JSON));
		try (HttpConnectionPool pool = new HttpConnectionPool();
				HttpExchange exchange = pool.execute(address, request, false, TIMEOUT_MILLIS)
					.getOrElseThrow((failure) -> new IOException(failure.detail()));
				BufferedReader lines = new BufferedReader(
						new InputStreamReader(exchange.body(), StandardCharsets.UTF_8))) {
			for (String line = lines.readLine(); line != null; line = lines.readLine()) {
				this.text.append(line).append('\n');
			}
		}
		catch (IOException ex) {
			this.text.append("cut: ").append(ex.getMessage()).append('\n');
		}
		finally {
			this.ended = true;
		}
	}

}
