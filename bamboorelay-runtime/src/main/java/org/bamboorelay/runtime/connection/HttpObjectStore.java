package org.bamboorelay.runtime.connection;

import java.net.URLEncoder;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import java.util.List;
import java.util.Objects;

import io.vavr.control.Either;
import io.vavr.control.Option;
import org.apache.hc.core5.http.ClassicHttpRequest;
import org.apache.hc.core5.http.ContentType;
import org.apache.hc.core5.http.Header;
import org.apache.hc.core5.http.HttpHeaders;
import org.apache.hc.core5.http.HttpStatus;
import org.apache.hc.core5.http.io.entity.ByteArrayEntity;
import org.apache.hc.core5.http.message.BasicClassicHttpRequest;
import org.bamboorelay.core.store.ObjectStore;
import org.bamboorelay.core.store.StoreFailure;
import org.bamboorelay.core.store.StoredObject;
import org.bamboorelay.runtime.request.Json;
import org.jspecify.annotations.Nullable;

/**
 * HTTP client of the object store; see section 4.1 of the design document. It never
 * retries, because only the caller knows the token by which it can recognize a write that
 * succeeded.
 * <p>
 * Thread-safe.
 */
public final class HttpObjectStore implements ObjectStore {

	private final String address;

	private final HttpConnectionPool pool;

	private final int timeoutMillis;

	private HttpObjectStore(String address, HttpConnectionPool pool, int timeoutMillis) {
		this.address = Objects.requireNonNull(address, "address");
		this.pool = Objects.requireNonNull(pool, "pool");
		this.timeoutMillis = timeoutMillis;
	}

	/**
	 * Creates a client.
	 * @param address {@code ip:port} of the object store
	 * @param pool the connection pool
	 * @param timeoutMillis read timeout of a call, in milliseconds
	 * @return the client
	 */
	public static HttpObjectStore of(String address, HttpConnectionPool pool, int timeoutMillis) {
		if (timeoutMillis <= 0) {
			throw new IllegalArgumentException("timeoutMillis must be positive: " + timeoutMillis);
		}
		return new HttpObjectStore(address, pool, timeoutMillis);
	}

	@Override
	public Either<StoreFailure, Option<StoredObject>> read(String key) {
		return call("GET", objectPath(key), null, null, null).flatMap((answer) -> {
			if (answer.status() == HttpStatus.SC_NOT_FOUND) {
				return Either.right(Option.none());
			}
			return expectOk(answer, key).map((ok) -> Option.some(new StoredObject(key, ok.version(), ok.body())));
		});
	}

	@Override
	public Either<StoreFailure, Long> create(String key, byte[] body) {
		return write(key, body, HttpHeaders.IF_NONE_MATCH, "*");
	}

	@Override
	public Either<StoreFailure, Long> replace(String key, byte[] body, long expectedVersion) {
		return write(key, body, HttpHeaders.IF_MATCH, toEntityTag(expectedVersion));
	}

	@Override
	public Either<StoreFailure, Long> delete(String key, long expectedVersion) {
		return call("DELETE", objectPath(key), null, HttpHeaders.IF_MATCH, toEntityTag(expectedVersion))
			.flatMap((answer) -> expectOk(answer, key))
			.map(Answer::version);
	}

	@Override
	public Either<StoreFailure, List<Entry>> list(String prefix) {
		return call("GET", "/list?prefix=" + URLEncoder.encode(prefix, StandardCharsets.UTF_8), null, null, null)
			.flatMap((answer) -> expectOk(answer, prefix))
			.flatMap((answer) -> Json.read(answer.body(), Entry[].class)
				.<StoreFailure>mapLeft((failure) -> new StoreFailure.Unavailable("list: " + failure.detail()))
				.map(Arrays::asList));
	}

	private Either<StoreFailure, Long> write(String key, byte[] body, String condition, String value) {
		if (body.length > MAX_VALUE_BYTES) {
			return Either.left(new StoreFailure.ValueTooLarge(key, body.length));
		}
		return call("PUT", objectPath(key), body, condition, value).flatMap((answer) -> expectOk(answer, key))
			.map(Answer::version);
	}

	private Either<StoreFailure, Answer> call(String method, String path, byte @Nullable [] body,
			@Nullable String header, @Nullable String headerValue) {
		ClassicHttpRequest request = new BasicClassicHttpRequest(method, path);
		if (body != null) {
			request.setEntity(new ByteArrayEntity(body, ContentType.APPLICATION_JSON));
		}
		if (header != null) {
			request.setHeader(header, headerValue);
		}
		Either<HttpFailure, HttpExchange> result = this.pool.execute(this.address, request, true, this.timeoutMillis);
		if (result.isLeft()) {
			return Either.left(toStoreFailure(result.getLeft()));
		}
		try (HttpExchange exchange = result.get()) {
			int status = exchange.response().getCode();
			Header etag = exchange.response().getFirstHeader(HttpHeaders.ETAG);
			return exchange.readFully(HttpLimits.MAX_RESPONSE_BYTES)
				.mapLeft(HttpObjectStore::toStoreFailure)
				.map((bytes) -> new Answer(status, version(etag), bytes));
		}
	}

	private static StoreFailure toStoreFailure(HttpFailure failure) {
		if (failure instanceof HttpFailure.NotSent) {
			return new StoreFailure.Unavailable(failure.detail());
		}
		return new StoreFailure.OutcomeUnknown(failure.detail());
	}

	private static Either<StoreFailure, Answer> expectOk(Answer answer, String key) {
		return switch (answer.status()) {
			case HttpStatus.SC_OK, HttpStatus.SC_CREATED -> Either.right(answer);
			case HttpStatus.SC_NOT_FOUND, HttpStatus.SC_PRECONDITION_FAILED ->
				Either.left(new StoreFailure.ConditionFailed(key));
			case HttpStatus.SC_REQUEST_TOO_LONG ->
				Either.left(new StoreFailure.ValueTooLarge(key, answer.body().length));
			case HttpStatus.SC_SERVICE_UNAVAILABLE, HttpStatus.SC_TOO_MANY_REQUESTS ->
				Either.left(new StoreFailure.Unavailable("object store responded with status " + answer.status()));
			default ->
				Either.left(new StoreFailure.OutcomeUnknown("object store responded with status " + answer.status()));
		};
	}

	private static String objectPath(String key) {
		return "/objects/" + key;
	}

	private static String toEntityTag(long version) {
		return "\"" + version + "\"";
	}

	private static long version(@Nullable Header etag) {
		if (etag == null) {
			return 0;
		}
		try {
			return Long.parseLong(etag.getValue().replace("\"", ""));
		}
		catch (NumberFormatException ex) {
			return 0;
		}
	}

	private record Answer(int status, long version, byte[] body) {
	}

}
