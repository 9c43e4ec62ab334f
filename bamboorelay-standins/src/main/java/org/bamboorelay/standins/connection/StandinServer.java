package org.bamboorelay.standins.connection;

import java.io.EOFException;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.SocketException;
import java.nio.charset.StandardCharsets;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Objects;
import java.util.regex.Pattern;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.BooleanNode;
import com.fasterxml.jackson.databind.node.NullNode;
import io.vavr.control.Either;
import io.vavr.control.Option;
import org.apache.hc.core5.http.ClassicHttpRequest;
import org.apache.hc.core5.http.ClassicHttpResponse;
import org.apache.hc.core5.http.ContentType;
import org.apache.hc.core5.http.HttpException;
import org.apache.hc.core5.http.io.entity.AbstractHttpEntity;
import org.apache.hc.core5.http.message.BasicClassicHttpResponse;
import org.bamboorelay.core.time.Clock;
import org.bamboorelay.runtime.connection.HttpListener;
import org.bamboorelay.runtime.request.Json;
import org.bamboorelay.runtime.request.JsonFailure;
import org.jspecify.annotations.Nullable;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * HTTP server of one stand-in. It serves the administration paths ({@code /_fault},
 * {@code /_record}, {@code /_count}) and applies the faults common to all kinds:
 * {@code slow}, {@code down}, {@code lose-answers} and {@code reset-at}.
 * <p>
 * Thread-safe. Each open connection has one thread.
 */
public final class StandinServer implements AutoCloseable {

	private static final Logger LOGGER = LoggerFactory.getLogger(StandinServer.class);

	private static final String FAULT_PATH = "/_fault/";

	private static final Pattern ADMINISTRATION = Pattern.compile("/_(fault|record|count)(/.*)?");

	private final StandinService service;

	private final Faults faults;

	private final RequestRecord record;

	private final Clock clock;

	private @Nullable HttpListener listener;

	private StandinServer(StandinService service, Faults faults, RequestRecord record, Clock clock) {
		this.service = Objects.requireNonNull(service, "service");
		this.faults = Objects.requireNonNull(faults, "faults");
		this.record = Objects.requireNonNull(record, "record");
		this.clock = Objects.requireNonNull(clock, "clock");
	}

	/**
	 * Opens a server on the loopback address.
	 * @param port the port, 0 for a free one
	 * @param service handles the requests
	 * @param faults the active faults
	 * @param record records the requests
	 * @param clock the wall clock for timestamps
	 * @return the open server
	 * @throws IOException if the port cannot be bound
	 */
	public static StandinServer open(int port, StandinService service, Faults faults, RequestRecord record, Clock clock)
			throws IOException {
		StandinServer server = new StandinServer(service, faults, record, clock);
		server.listener = HttpListener.open("127.0.0.1", port, server::handle, server::onError);
		return server;
	}

	/**
	 * Returns the port on which the server listens.
	 * @return the port
	 */
	public int port() {
		return Objects.requireNonNull(this.listener, "listener").port();
	}

	@Override
	public void close() {
		Objects.requireNonNull(this.listener, "listener").close();
	}

	private void handle(ClassicHttpRequest httpRequest, HttpListener.Responder responder)
			throws HttpException, IOException {
		if (ADMINISTRATION.matcher(httpRequest.getRequestUri()).matches()) {
			send(handleAdministration(StandinRequest.read(httpRequest)), responder);
			return;
		}
		Option<JsonNode> reset = this.faults.value("reset-at", httpRequest.getRequestUri());
		if (reset.isDefined() && "request".equals(reset.get().path("side").asText())) {
			this.record.increment("reset_request");
			readBytes(httpRequest, Faults.numberOf(reset.get(), "n", 0));
			throw new SocketException("fault: connection closed before the request was complete");
		}
		StandinRequest request = StandinRequest.read(httpRequest);
		long receivedAt = this.clock.millis();
		this.record.increment(this.service.counterName(request));
		StandinResponse response = respond(request);
		if (reset.isDefined()) {
			response = response.truncatedAt(Faults.numberOf(reset.get(), "n", 0));
		}
		// The request is recorded before the response is sent, so that a caller that has
		// received its response finds it in the record.
		this.record.add(line(request, response, receivedAt));
		send(response, responder);
	}

	private StandinResponse respond(StandinRequest request) throws IOException {
		Option<JsonNode> slow = this.faults.value("slow", request.faultKey());
		if (slow.isDefined()) {
			pause(Faults.numberOf(slow.get(), "ms", 0));
		}
		Option<JsonNode> down = this.faults.value("down", request.faultKey());
		if (down.isDefined()) {
			JsonNode value = down.get().isObject() ? down.get().path("mode") : down.get();
			return "503".equals(value.asText()) ? StandinResponse.problem(503, "fault: down")
					: StandinResponse.closeConnection("fault: down");
		}
		StandinResponse response = this.service.serve(request);
		boolean tookEffect = request.isWrite() && response.status() >= 200 && response.status() < 300;
		if (tookEffect && this.faults.consume("lose-answers", request.faultKey())) {
			this.record.increment("answers_lost");
			return StandinResponse.closeConnection(response.outcome() + ", response lost");
		}
		return response;
	}

	private StandinResponse handleAdministration(StandinRequest request) {
		String name = request.pathAfter(FAULT_PATH);
		if (request.hasRoute("GET", "/_fault")) {
			return StandinResponse.json(200, this.faults.activeFaults());
		}
		if (request.hasRoute("GET", "/_record")) {
			return StandinResponse.bytes(200, "application/x-ndjson", this.record.toNdjson());
		}
		if (request.hasRoute("GET", "/_count")) {
			return StandinResponse.json(200, this.record.counters());
		}
		if (!name.isEmpty() && "DELETE".equals(request.method())) {
			this.service.onFault(name, NullNode.getInstance());
			return StandinResponse.json(this.faults.deactivate(name) ? 200 : 404, Map.of("fault", name));
		}
		if (!name.isEmpty() && "PUT".equals(request.method())) {
			Either<JsonFailure, JsonNode> value = (request.body().length == 0) ? Either.right(BooleanNode.TRUE)
					: Json.tree(request.body());
			if (value.isLeft()) {
				return StandinResponse.problem(400, "value of fault \"" + name + "\": " + value.getLeft().detail());
			}
			this.faults.activate(name, value.get());
			this.service.onFault(name, value.get());
			return StandinResponse.json(200, Map.of("fault", name));
		}
		return StandinResponse.problem(404, "no such path: " + request.method() + " " + request.path());
	}

	private Map<String, Object> line(StandinRequest request, StandinResponse response, long receivedAt) {
		Map<String, Object> line = new LinkedHashMap<>();
		line.put("at_ms", this.clock.millis());
		line.put("received_ms", receivedAt);
		line.put("method", request.method());
		line.put("path", request.path());
		line.put("query", request.query());
		line.put("headers", request.headers());
		if (this.service.recordsBody(request)) {
			line.put("body", new String(request.body(), StandardCharsets.UTF_8));
		}
		else {
			line.put("body_sha256", request.bodyDigest());
		}
		line.put("outcome", response.outcome());
		return line;
	}

	private void onError(Exception ex) {
		LOGGER.debug("connection-error {}", ex.toString());
	}

	private static void send(StandinResponse response, HttpListener.Responder responder)
			throws HttpException, IOException {
		if (response.status() == 0) {
			throw new SocketException(response.outcome());
		}
		ClassicHttpResponse httpResponse = new BasicClassicHttpResponse(response.status());
		response.headers().forEach(httpResponse::setHeader);
		// A 204 must have no entity: with one, even an empty one, clients did not
		// receive the response.
		if (response.status() != 204) {
			httpResponse.setEntity(new ResponseEntity(response));
		}
		responder.send(httpResponse);
	}

	private static void readBytes(ClassicHttpRequest request, long bytes) throws IOException {
		if (request.getEntity() == null) {
			return;
		}
		if (request.getEntity().getContent().readNBytes((int) bytes).length < bytes) {
			throw new EOFException("request ended before the reset offset of " + bytes);
		}
	}

	private static void pause(long millis) throws IOException {
		try {
			Thread.sleep(millis);
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
			throw new IOException("interrupted", ex);
		}
	}

	private static final class ResponseEntity extends AbstractHttpEntity {

		private final StandinResponse response;

		private ResponseEntity(StandinResponse response) {
			super(ContentType.parse(response.contentType()), null, response.length() < 0);
			this.response = response;
		}

		@Override
		public void writeTo(OutputStream out) throws IOException {
			this.response.body().writeTo(out);
		}

		@Override
		public InputStream getContent() {
			throw new UnsupportedOperationException("the body can only be written");
		}

		@Override
		public boolean isStreaming() {
			return this.response.length() < 0;
		}

		@Override
		public boolean isRepeatable() {
			return false;
		}

		@Override
		public long getContentLength() {
			return this.response.length();
		}

		@Override
		public void close() {
		}

	}

}
