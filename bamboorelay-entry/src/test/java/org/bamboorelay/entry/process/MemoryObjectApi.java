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
 * The object API of section 4.1 on a free loopback port, in memory, for several entry
 * processes of one test.
 */
final class MemoryObjectApi implements AutoCloseable {

	private final Map<String, byte[]> objects = new HashMap<>();

	private final Map<String, Long> versions = new HashMap<>();

	private final List<String> writes = new ArrayList<>();

	private final HttpListener listener;

	private long revision;

	private int answersToLose;

	MemoryObjectApi() throws IOException {
		this.listener = HttpListener.open("127.0.0.1", 0, this::handle, (ex) -> {
		});
	}

	String address() {
		return "127.0.0.1:" + this.listener.port();
	}

	/** Loses the answers of the next writes, which take effect. */
	synchronized void loseAnswers(int count) {
		this.answersToLose = count;
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
			throw new IOException("the answer is lost");
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
		if (this.answersToLose > 0) {
			this.answersToLose--;
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
