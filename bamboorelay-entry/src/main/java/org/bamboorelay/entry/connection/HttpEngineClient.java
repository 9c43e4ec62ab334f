package org.bamboorelay.entry.connection;

import java.io.IOException;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.concurrent.Executor;
import java.util.function.Consumer;

import io.vavr.control.Either;
import io.vavr.control.Option;
import org.apache.hc.core5.http.ClassicHttpRequest;
import org.apache.hc.core5.http.ContentType;
import org.apache.hc.core5.http.Header;
import org.apache.hc.core5.http.HttpStatus;
import org.apache.hc.core5.http.io.entity.ByteArrayEntity;
import org.apache.hc.core5.http.message.BasicClassicHttpRequest;
import org.bamboorelay.runtime.connection.ExchangeOptions;
import org.bamboorelay.runtime.connection.HttpConnectionPool;
import org.bamboorelay.runtime.connection.HttpExchange;
import org.bamboorelay.runtime.connection.HttpFailure;
import org.bamboorelay.runtime.request.Json;

/**
 * Streams completions from model engines over HTTP. A request counts as refused, and thus
 * as not executed, only if the engine responds with {@code X-Not-Run: true} or with a
 * status from 400 to 428.
 * <p>
 * Thread-safe.
 */
public final class HttpEngineClient implements EngineClient {

	/** Header with which an endpoint states that it did not execute a refused request. */
	public static final String NOT_RUN_HEADER = "X-Not-Run";

	/** Header with the id of a request. */
	public static final String REQUEST_ID_HEADER = "X-Request-Id";

	/** Maximum time between two reads of a stream, in milliseconds. */
	private static final int READ_TIMEOUT_MILLIS = 30_000;

	private static final int CANCEL_TIMEOUT_MILLIS = 2_000;

	private final HttpConnectionPool pool;

	private final Executor threads;

	private HttpEngineClient(HttpConnectionPool pool, Executor threads) {
		this.pool = pool;
		this.threads = threads;
	}

	/**
	 * Creates a client.
	 * @param pool the connection pool
	 * @param threads runs cancellations, so that they do not block callers
	 * @return the client
	 */
	public static HttpEngineClient of(HttpConnectionPool pool, Executor threads) {
		return new HttpEngineClient(pool, threads);
	}

	@Override
	public Either<EngineFailure, Finish> stream(String address, EngineRequest request, Listener listener) {
		StreamAbort abort = new StreamAbort();
		Either<EngineFailure, EngineStream> opened = open(address, request, (task) -> {
			abort.start(task);
			listener.onOpen(abort::abort);
		});
		if (opened.isLeft()) {
			return abort.isAborted() ? cancelAndFinish(address, request, 0, 0) : Either.left(opened.getLeft());
		}
		try (EngineStream stream = opened.get()) {
			try {
				return read(address, request, listener, stream, abort);
			}
			finally {
				abort.end();
			}
		}
	}

	private Either<EngineFailure, Finish> read(String address, EngineRequest request, Listener listener,
			EngineStream stream, StreamAbort abort) {
		while (true) {
			Either<EngineFailure, Option<EngineEvent>> event = stream.next();
			if (event.isLeft()) {
				return abort.isAborted() ? cancelAndFinish(address, request, stream.tokens(), stream.firstByteMillis())
						: Either.left(event.getLeft());
			}
			if (event.get().isEmpty()) {
				return Either.right(stream.end());
			}
			if (!listener.onEvent(event.get().get())) {
				return cancelAndFinish(address, request, stream.tokens(), stream.firstByteMillis());
			}
		}
	}

	private Either<EngineFailure, Finish> cancelAndFinish(String address, EngineRequest request, long tokens,
			long firstByteMillis) {
		cancel(address, request.requestId());
		return Either.right(new Finish("cancelled", tokens, firstByteMillis));
	}

	/**
	 * Sends a request.
	 * @param address {@code ip:port} of the engine
	 * @param request the request
	 * @param onConnected receives, before the request is sent, a task that closes the
	 * connection immediately; the task must not be run after the stream has been closed
	 * @return the stream, which must be closed by the caller, or the failure
	 */
	public Either<EngineFailure, EngineStream> open(String address, EngineRequest request,
			Consumer<Runnable> onConnected) {
		long startedNanos = System.nanoTime();
		ClassicHttpRequest message = new BasicClassicHttpRequest("POST", "/v1/completions");
		message.setHeader(REQUEST_ID_HEADER, request.requestId());
		message.setEntity(new ByteArrayEntity(Json.bytes(body(request)), ContentType.APPLICATION_JSON));
		Either<HttpFailure, HttpExchange> result = this.pool.execute(address, message,
				ExchangeOptions.of(true, READ_TIMEOUT_MILLIS), onConnected);
		if (result.isLeft()) {
			return Either.left(failure(result.getLeft()));
		}
		HttpExchange exchange = result.get();
		int status = exchange.response().getCode();
		if (status != HttpStatus.SC_OK) {
			Header notExecutedHeader = exchange.response().getFirstHeader(NOT_RUN_HEADER);
			boolean notExecuted = notExecutedHeader != null && "true".equals(notExecutedHeader.getValue());
			exchange.close();
			return Either.left(failureOfStatus(status, notExecuted));
		}
		try {
			return Either.right(EngineStream.of(exchange, request.requestId(), startedNanos));
		}
		catch (IOException ex) {
			exchange.close();
			return Either.left(new EngineFailure.Truncated("cannot read the body of the response: " + ex.getMessage()));
		}
	}

	/**
	 * Cancels a request at the engine, in the background.
	 * @param address {@code ip:port} of the engine
	 * @param requestId id of the request
	 */
	public void cancel(String address, String requestId) {
		this.threads.execute(() -> {
			ClassicHttpRequest message = new BasicClassicHttpRequest("POST", "/requests/" + requestId + "/cancel");
			message.setHeader(REQUEST_ID_HEADER, requestId);
			message.setEntity(new ByteArrayEntity(new byte[0], ContentType.APPLICATION_JSON));
			this.pool.execute(address, message, true, CANCEL_TIMEOUT_MILLIS).peek(HttpExchange::close);
		});
	}

	private static EngineFailure failure(HttpFailure failure) {
		return (failure instanceof HttpFailure.NotSent) ? new EngineFailure.NotSent(failure.detail())
				: new EngineFailure.Truncated(failure.detail());
	}

	private static EngineFailure failureOfStatus(int status, boolean notExecuted) {
		boolean isCallerError = status >= HttpStatus.SC_BAD_REQUEST && status < HttpStatus.SC_TOO_MANY_REQUESTS;
		if (notExecuted || isCallerError) {
			return new EngineFailure.Refused(status, "the engine responded with status " + status);
		}
		return new EngineFailure.Truncated("the engine responded with status " + status);
	}

	private static Map<String, Object> body(EngineRequest request) {
		Map<String, Object> body = new LinkedHashMap<>();
		body.put("model", request.service().value());
		body.put("prompt", request.prompt());
		body.put("max_tokens", request.maxTokens());
		body.put("stream", true);
		body.put("priority", request.interactive() ? "interactive" : "rollout");
		if (request.line() != null) {
			body.put("line", request.line().value());
		}
		body.put("cache_salt", request.cacheSalt());
		body.put("resume_text", request.resumeText());
		body.put("resume_tokens", request.resumeTokens());
		body.put("seed", request.seed());
		return body;
	}

}
