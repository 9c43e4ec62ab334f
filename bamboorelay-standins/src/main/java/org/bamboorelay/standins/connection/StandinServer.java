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
 * {@code /_record}, {@code /_count}) and applies the faults that all kinds share:
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

	private final CallRecord record;

	private final Clock clock;

	private @Nullable HttpListener listener;

	private StandinServer(StandinService service, Faults faults, CallRecord record, Clock clock) {
		this.service = Objects.requireNonNull(service, "service");
		this.faults = Objects.requireNonNull(faults, "faults");
		this.record = Objects.requireNonNull(record, "record");
		this.clock = Objects.requireNonNull(clock, "clock");
	}

	/**
	 * Opens a server on the loopback address.
	 * @param port the port, 0 for a free one
	 * @param service serves the requests
	 * @param faults the faults that are on
	 * @param record takes what is seen
	 * @param clock the wall clock of the record
	 * @return the open server
	 * @throws IOException where the port cannot be bound
	 */
	public static StandinServer open(int port, StandinService service, Faults faults, CallRecord record, Clock clock)
			throws IOException {
		StandinServer server = new StandinServer(service, faults, record, clock);
		server.listener = HttpListener.open("127.0.0.1", port, server::handle, server::onError);
		return server;
	}

	/**
	 * Returns the port that is listened on.
	 * @return the port
	 */
	public int port() {
		return Objects.requireNonNull(this.listener, "listener").port();
	}

	@Override
	public void close() {
		Objects.requireNonNull(this.listener, "listener").close();
	}

	private void handle(ClassicHttpRequest raw, HttpListener.Responder responder) throws HttpException, IOException {
		if (ADMINISTRATION.matcher(raw.getRequestUri()).matches()) {
			send(administer(StandinRequest.read(raw)), responder);
			return;
		}
		Option<JsonNode> reset = this.faults.value("reset-at", raw.getRequestUri());
		if (reset.isDefined() && "request".equals(reset.get().path("side").asText())) {
			this.record.count("reset_request");
			readPart(raw, Faults.number(reset.get(), "n", 0));
			throw new SocketException("fault: the connection is closed inside the request");
		}
		StandinRequest request = StandinRequest.read(raw);
		long receivedAt = this.clock.millis();
		this.record.count(this.service.countName(request));
		StandinReply reply = reply(request);
		if (reset.isDefined()) {
			reply = reply.withCutAt(Faults.number(reset.get(), "n", 0));
		}
		// The line is written before the answer, so that a caller that has its answer
		// finds
		// its request in the record.
		this.record.add(line(request, reply, receivedAt));
		send(reply, responder);
	}

	private StandinReply reply(StandinRequest request) throws IOException {
		Option<JsonNode> slow = this.faults.value("slow", request.key());
		if (slow.isDefined()) {
			pause(Faults.number(slow.get(), "ms", 0));
		}
		Option<JsonNode> down = this.faults.value("down", request.key());
		if (down.isDefined()) {
			JsonNode value = down.get().isObject() ? down.get().path("mode") : down.get();
			return "503".equals(value.asText()) ? StandinReply.problem(503, "fault: down")
					: StandinReply.closed("fault: down");
		}
		StandinReply reply = this.service.serve(request);
		boolean tookEffect = request.isWrite() && reply.status() >= 200 && reply.status() < 300;
		if (tookEffect && this.faults.takeOne("lose-answers", request.key())) {
			this.record.count("answers_lost");
			return StandinReply.closed(reply.outcome() + ", answer lost");
		}
		return reply;
	}

	private StandinReply administer(StandinRequest request) {
		String name = request.after(FAULT_PATH);
		if (request.is("GET", "/_fault")) {
			return StandinReply.json(200, this.faults.all());
		}
		if (request.is("GET", "/_record")) {
			return StandinReply.bytes(200, "application/x-ndjson", this.record.bytes());
		}
		if (request.is("GET", "/_count")) {
			return StandinReply.json(200, this.record.counts());
		}
		if (!name.isEmpty() && "DELETE".equals(request.method())) {
			this.service.onFault(name, NullNode.getInstance());
			return StandinReply.json(this.faults.remove(name) ? 200 : 404, Map.of("fault", name));
		}
		if (!name.isEmpty() && "PUT".equals(request.method())) {
			Either<JsonFailure, JsonNode> value = (request.body().length == 0) ? Either.right(BooleanNode.TRUE)
					: Json.tree(request.body());
			if (value.isLeft()) {
				return StandinReply.problem(400, "value of fault \"" + name + "\": " + value.getLeft().detail());
			}
			this.faults.put(name, value.get());
			this.service.onFault(name, value.get());
			return StandinReply.json(200, Map.of("fault", name));
		}
		return StandinReply.problem(404, "no such path: " + request.method() + " " + request.path());
	}

	private Map<String, Object> line(StandinRequest request, StandinReply reply, long receivedAt) {
		Map<String, Object> line = new LinkedHashMap<>();
		line.put("at_ms", this.clock.millis());
		line.put("received_ms", receivedAt);
		line.put("method", request.method());
		line.put("path", request.path());
		line.put("query", request.query());
		line.put("headers", request.headers());
		if (this.service.showsBody(request)) {
			line.put("body", new String(request.body(), StandardCharsets.UTF_8));
		}
		else {
			line.put("body_sha256", request.digest());
		}
		line.put("outcome", reply.outcome());
		return line;
	}

	private void onError(Exception ex) {
		LOGGER.debug("connection-error {}", ex.toString());
	}

	private static void send(StandinReply reply, HttpListener.Responder responder) throws HttpException, IOException {
		if (reply.status() == 0) {
			throw new SocketException(reply.outcome());
		}
		ClassicHttpResponse response = new BasicClassicHttpResponse(reply.status());
		reply.headers().forEach(response::setHeader);
		// With an entity, even an empty one, a client never got to see a 204.
		if (reply.status() != 204) {
			response.setEntity(new ReplyEntity(reply));
		}
		responder.send(response);
	}

	private static void readPart(ClassicHttpRequest request, long bytes) throws IOException {
		if (request.getEntity() == null) {
			return;
		}
		if (request.getEntity().getContent().readNBytes((int) bytes).length < bytes) {
			throw new EOFException("the request ended before the fault's byte " + bytes);
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

	private static final class ReplyEntity extends AbstractHttpEntity {

		private final StandinReply reply;

		private ReplyEntity(StandinReply reply) {
			super(ContentType.parse(reply.contentType()), null, reply.length() < 0);
			this.reply = reply;
		}

		@Override
		public void writeTo(OutputStream out) throws IOException {
			this.reply.body().writeTo(out);
		}

		@Override
		public InputStream getContent() {
			throw new UnsupportedOperationException("the body can only be written");
		}

		@Override
		public boolean isStreaming() {
			return this.reply.length() < 0;
		}

		@Override
		public boolean isRepeatable() {
			return false;
		}

		@Override
		public long getContentLength() {
			return this.reply.length();
		}

		@Override
		public void close() {
		}

	}

}
