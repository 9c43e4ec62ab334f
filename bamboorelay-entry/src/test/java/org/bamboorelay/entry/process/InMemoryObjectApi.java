package org.bamboorelay.entry.process;

import java.io.IOException;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

import org.apache.hc.core5.http.ClassicHttpRequest;
import org.apache.hc.core5.http.ContentType;
import org.apache.hc.core5.http.Header;
import org.apache.hc.core5.http.HttpException;
import org.apache.hc.core5.http.io.entity.ByteArrayEntity;
import org.apache.hc.core5.http.io.entity.EntityUtils;
import org.apache.hc.core5.http.message.BasicClassicHttpResponse;
import org.bamboorelay.runtime.connection.HttpListener;

/**
 * In-memory object API on a free loopback port, shared by the entry processes of a test.
 * See section 4.1 of the design document.
 */
final class InMemoryObjectApi implements AutoCloseable {

	private final Map<String, byte[]> objects = new HashMap<>();

	private final Map<String, Long> versions = new HashMap<>();

	private final List<String> writes = new ArrayList<>();

	private final HttpListener listener;

	private long revision;

	private int responsesToDrop;

	InMemoryObjectApi() throws IOException {
		this.listener = HttpListener.open("127.0.0.1", 0, this::handle, (ex) -> {
		});
	}

	String address() {
		return "127.0.0.1:" + this.listener.port();
	}

	/**
	 * Drops the responses to the given number of subsequent writes, which still take
	 * effect.
	 */
	synchronized void dropResponses(int count) {
		this.responsesToDrop = count;
	}

	synchronized List<String> writes() {
		return List.copyOf(this.writes);
	}

	@Override
	public void close() {
		this.listener.close();
	}

	private void handle(ClassicHttpRequest request, HttpListener.Responder responder)
			throws HttpException, IOException {
		byte[] body = (request.getEntity() != null) ? EntityUtils.toByteArray(request.getEntity()) : new byte[0];
		BasicClassicHttpResponse response = answer(request, body);
		if (response == null) {
			throw new IOException("response dropped by the test");
		}
		responder.send(response);
	}

	private synchronized BasicClassicHttpResponse answer(ClassicHttpRequest request, byte[] body) {
		String key = request.getPath();
		if (request.getMethod().equals("GET")) {
			BasicClassicHttpResponse found = response(this.objects.containsKey(key) ? 200 : 404, key);
			found.setEntity(
					new ByteArrayEntity(this.objects.getOrDefault(key, new byte[0]), ContentType.APPLICATION_JSON));
			return found;
		}
		Header match = request.getFirstHeader("If-Match");
		String present = "\"" + this.versions.getOrDefault(key, 0L) + "\"";
		boolean holds = (match != null) ? match.getValue().equals(present) : !this.objects.containsKey(key);
		if (!holds) {
			return response(412, key);
		}
		this.writes.add(request.getMethod() + " " + key);
		if (request.getMethod().equals("PUT")) {
			this.objects.put(key, body);
			this.versions.put(key, ++this.revision);
		}
		else {
			this.objects.remove(key);
			this.versions.remove(key);
		}
		if (this.responsesToDrop > 0) {
			this.responsesToDrop--;
			return null;
		}
		return response(200, key);
	}

	private BasicClassicHttpResponse response(int status, String key) {
		BasicClassicHttpResponse response = new BasicClassicHttpResponse(status);
		response.setHeader("ETag", "\"" + this.versions.getOrDefault(key, 0L) + "\"");
		return response;
	}

}
