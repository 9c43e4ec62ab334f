package org.bamboorelay.load.connection;

import java.io.IOException;
import java.io.OutputStream;
import java.nio.charset.StandardCharsets;
import java.util.Map;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.MissingNode;
import org.apache.hc.core5.http.ClassicHttpRequest;
import org.apache.hc.core5.http.ContentType;
import org.apache.hc.core5.http.Header;
import org.apache.hc.core5.http.HttpException;
import org.apache.hc.core5.http.io.entity.ByteArrayEntity;
import org.apache.hc.core5.http.io.entity.EntityTemplate;
import org.apache.hc.core5.http.message.BasicClassicHttpResponse;
import org.bamboorelay.runtime.connection.HttpListener;
import org.bamboorelay.runtime.request.Json;

/**
 * Endpoint that responds immediately and streams as fast as the client reads, so that
 * measurements of a relay are not limited by simulated processing time. Implements a
 * plain service and the model engine of section 4.2 of the design page.
 * <p>
 * Thread-safe.
 */
public final class BenchEndpoint implements HttpListener.HttpHandler {

	private static final String REQUEST_ID = "X-Request-Id";

	/**
	 * Events written between two flushes, like one decoding pass of an engine over its
	 * batch.
	 */
	private static final int EVENTS_PER_FLUSH = 16;

	private static final byte[] BODY = "{\"balance\":1250,\"society\":\"huertos\",\"due\":\"2026-12-31\"}"
		.getBytes(StandardCharsets.UTF_8);

	private final String weightLine;

	/**
	 * Creates an endpoint.
	 * @param weightLine name of the weight line with which the tokens are labelled
	 */
	public BenchEndpoint(String weightLine) {
		this.weightLine = weightLine;
	}

	@Override
	public void handle(ClassicHttpRequest request, HttpListener.Responder responder) throws HttpException, IOException {
		byte[] body = (request.getEntity() != null) ? request.getEntity().getContent().readAllBytes() : new byte[0];
		if ("/load".equals(request.getPath())) {
			responder.send(200, "application/json",
					Json.text(Map.of("incarnation", 1, "warm", true, "running", 0, "waiting", 0, "capacity", 1024,
							"leaving", false, "weight_versions", Map.of(this.weightLine, 0), "at_ms",
							System.currentTimeMillis())));
			return;
		}
		Header header = request.getFirstHeader(REQUEST_ID);
		String id = (header != null) ? header.getValue() : "none";
		BasicClassicHttpResponse response = new BasicClassicHttpResponse(200);
		response.setHeader(REQUEST_ID, id);
		if ("/v1/completions".equals(request.getPath())) {
			JsonNode completionRequest = Json.tree(body).getOrElse(MissingNode.getInstance());
			int tokens = completionRequest.path("max_tokens").asInt(16);
			response.setEntity(
					new EntityTemplate(-1, ContentType.TEXT_EVENT_STREAM, null, (out) -> writeEvents(id, tokens, out)));
		}
		else {
			response.setEntity(new ByteArrayEntity(BODY, ContentType.APPLICATION_JSON));
		}
		responder.send(response);
	}

	private void writeEvents(String id, int tokens, OutputStream out) throws IOException {
		String head = "data: {\"id\":\"" + id + "\",\"index\":";
		String tail = ",\"weight_version\":\"" + this.weightLine + "@0\"";
		StringBuilder events = new StringBuilder();
		for (int i = 0; i < tokens; i++) {
			events.append(head).append(i).append(",\"text\":\" tok\",\"tokens\":1").append(tail).append("}\n\n");
			if (i % EVENTS_PER_FLUSH == EVENTS_PER_FLUSH - 1) {
				out.write(events.toString().getBytes(StandardCharsets.US_ASCII));
				out.flush();
				events.setLength(0);
			}
		}
		events.append(head)
			.append(tokens)
			.append(",\"text\":\"\",\"tokens\":0")
			.append(tail)
			.append(",\"finish_reason\":\"length\"}\n\ndata: [DONE]\n\n");
		out.write(events.toString().getBytes(StandardCharsets.US_ASCII));
		out.flush();
	}

}
