package org.bamboorelay.entry.request;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Set;

import io.vavr.control.Either;
import org.apache.hc.core5.http.ClassicHttpRequest;
import org.apache.hc.core5.http.ClassicHttpResponse;
import org.apache.hc.core5.http.ContentType;
import org.apache.hc.core5.http.Header;
import org.apache.hc.core5.http.HttpEntity;
import org.apache.hc.core5.http.HttpException;
import org.apache.hc.core5.http.HttpHeaders;
import org.apache.hc.core5.http.HttpStatus;
import org.apache.hc.core5.http.io.entity.ByteArrayEntity;
import org.apache.hc.core5.http.message.BasicClassicHttpRequest;
import org.bamboorelay.core.failure.Refusal;
import org.bamboorelay.core.failure.RefusalReason;
import org.bamboorelay.core.failure.RetryReason;
import org.bamboorelay.core.request.CallerKeyFilter;
import org.bamboorelay.core.request.RetryBudget;
import org.bamboorelay.core.version.Inventory;
import org.bamboorelay.core.version.LiveConfiguration;
import org.bamboorelay.core.version.ServiceId;
import org.bamboorelay.entry.connection.HttpEngineClient;
import org.bamboorelay.entry.process.UsageMeter;
import org.bamboorelay.runtime.connection.HttpConnectionPool;
import org.bamboorelay.runtime.connection.HttpExchange;
import org.bamboorelay.runtime.connection.HttpFailure;
import org.bamboorelay.runtime.connection.HttpLimits;
import org.bamboorelay.runtime.connection.HttpListener.Responder;
import org.bamboorelay.runtime.process.Counters;
import org.jspecify.annotations.Nullable;

/**
 * Relays requests to plain services, {@code /services/{service}/{path}}. A response is
 * buffered completely before its status is sent to the caller. No other layer retries. A
 * request that is not idempotent is retried only if no byte of it was sent.
 * <p>
 * Thread-safe.
 */
public final class PlainRoute implements CallerRoute {

	/** Prefix of the paths of this route. */
	public static final String PREFIX = "/services/";

	private static final Set<String> IDEMPOTENT_METHODS = Set.of("GET", "HEAD", "OPTIONS");

	private static final String IDEMPOTENCY_KEY = "Idempotency-Key";

	private final LiveConfiguration configuration;

	private final CreditSource credits;

	private final HttpConnectionPool pool;

	private final int readTimeoutMillis;

	private final IdempotencyRecords idempotencyRecords;

	private final UsageMeter usageMeter;

	private final RetryBudget retryBudget;

	private final Counters counters;

	private final ProblemResponder problems;

	private PlainRoute(LiveConfiguration configuration, CreditSource credits, HttpConnectionPool pool,
			int readTimeoutMillis, IdempotencyRecords records, UsageMeter usage, RetryBudget budget,
			Counters counters) {
		this.configuration = Objects.requireNonNull(configuration, "configuration");
		this.credits = Objects.requireNonNull(credits, "credits");
		this.pool = Objects.requireNonNull(pool, "pool");
		this.readTimeoutMillis = readTimeoutMillis;
		this.idempotencyRecords = Objects.requireNonNull(records, "records");
		this.usageMeter = Objects.requireNonNull(usage, "usage");
		this.retryBudget = Objects.requireNonNull(budget, "budget");
		this.counters = Objects.requireNonNull(counters, "counters");
		this.problems = ProblemResponder.of(counters);
	}

	/**
	 * Creates the route.
	 * @param configuration the configuration
	 * @param credits admits requests
	 * @param pool connections to endpoints
	 * @param readTimeoutMillis the read timeout of a response, in milliseconds
	 * @param records the records of used idempotency keys
	 * @param usage counts complete responses
	 * @param budget the retry budget, shared by all routes
	 * @param counters the process's metrics
	 * @return the route
	 */
	public static PlainRoute of(LiveConfiguration configuration, CreditSource credits, HttpConnectionPool pool,
			int readTimeoutMillis, IdempotencyRecords records, UsageMeter usage, RetryBudget budget,
			Counters counters) {
		return new PlainRoute(configuration, credits, pool, readTimeoutMillis, records, usage, budget, counters);
	}

	/**
	 * Parses the service from a path.
	 * @param path the path
	 * @return the service; null if the path names none or the name is invalid
	 */
	static @Nullable ServiceId parseService(String path) {
		if (!path.startsWith(PREFIX)) {
			return null;
		}
		int end = path.indexOf('/', PREFIX.length());
		try {
			return ServiceId.of(path.substring(PREFIX.length(), (end < 0) ? path.length() : end));
		}
		catch (IllegalArgumentException ex) {
			return null;
		}
	}

	/**
	 * Returns the part of a path after the service name.
	 * @param path a path that names a service
	 * @return the remaining path, with a leading slash
	 */
	static String pathAfterService(String path) {
		int end = path.indexOf('/', PREFIX.length());
		return (end < 0) ? "/" : path.substring(end);
	}

	/**
	 * Tells whether a path equals a prefix or lies below it; compares whole segments.
	 * @param path the path
	 * @param prefix the prefix
	 * @return whether the path matches the prefix
	 */
	static boolean isUnder(String path, String prefix) {
		return path.equals(prefix) || path.startsWith(prefix.endsWith("/") ? prefix : prefix + "/");
	}

	@Override
	public boolean accepts(String method, String path) {
		return parseService(path) != null;
	}

	@Override
	public void serve(CallerRequest request, Responder responder) throws HttpException, IOException {
		this.retryBudget.recordRequest();
		Either<Refusal, PlainResponse> answer = this.configuration.service(serviceOf(request))
			.flatMap((service) -> (service.kind() == Inventory.ServiceKind.PLAIN) ? Either.right(service)
					: Either.left(Refusal.notExecuted(RefusalReason.NO_SUCH_ROUTE,
							"service " + service.name() + " is a model service; use /v1/completions")))
			.flatMap((service) -> relay(request, service));
		if (answer.isLeft()) {
			RequestAttempts.logRefused(request, answer.getLeft());
			this.problems.send(responder, request.requestId(), answer.getLeft());
			return;
		}
		responder.send(answer.get().toHttpResponse());
	}

	private static ServiceId serviceOf(CallerRequest request) {
		return Objects.requireNonNull(parseService(request.path()), "service");
	}

	private Either<Refusal, PlainResponse> relay(CallerRequest request, Inventory.ServiceEntry service) {
		String rest = pathAfterService(request.path());
		boolean idempotent = IDEMPOTENT_METHODS.contains(request.method())
				|| service.repeatablePaths().stream().anyMatch((prefix) -> isUnder(rest, prefix));
		String key = request.header(IDEMPOTENCY_KEY).orElse(null);
		if (key == null || idempotent) {
			return new Relay(request, service.name(), idempotent).run();
		}
		if (request.workspace() == null) {
			return Either.left(Refusal.notExecuted(RefusalReason.BAD_REQUEST,
					"Idempotency-Key requires a request with a bearer key"));
		}
		IdempotencyRecords.Call call = IdempotencyRecords.Call.of(request.workspace(), key, request);
		return this.idempotencyRecords.executeOnce(call, () -> new Relay(request, service.name(), false).run());
	}

	/**
	 * The attempts of one request. Not thread-safe.
	 */
	private final class Relay extends RequestAttempts {

		private final ServiceId service;

		private final boolean idempotent;

		private Relay(CallerRequest request, ServiceId service, boolean idempotent) {
			super(request, PlainRoute.this.credits, PlainRoute.this.retryBudget, PlainRoute.this.counters);
			this.service = service;
			this.idempotent = idempotent;
		}

		private Either<Refusal, PlainResponse> run() {
			while (true) {
				Either<Refusal, Credit> credit = acquire((excluded) -> new RouteRequest(this.service,
						request().workspace(), true, this.idempotent, 0, 1, null, excluded));
				if (credit.isLeft()) {
					return Either.left(credit.getLeft());
				}
				Either<FailedAttempt, PlainResponse> answer = attempt(credit.get());
				if (answer.isRight()) {
					return Either.right(answer.get());
				}
				FailedAttempt failedAttempt = answer.getLeft();
				recordFailure(credit.get().endpoint(), failedAttempt.mayHaveExecuted());
				boolean retrying = failedAttempt.retry() != null && (this.idempotent || !failedAttempt.byteSent())
						&& tryAcquireRetry(failedAttempt.retry());
				if (!retrying) {
					return Either.left(refusal(failedAttempt));
				}
			}
		}

		private Either<FailedAttempt, PlainResponse> attempt(Credit credit) {
			String id = attemptId();
			long startedNanos = System.nanoTime();
			Either<HttpFailure, HttpExchange> opened = PlainRoute.this.pool.execute(credit.address(),
					endpointRequest(id), this.idempotent, PlainRoute.this.readTimeoutMillis);
			if (opened.isLeft()) {
				credit.end(Credit.Outcome.FAILED, 0, 0);
				if (opened.getLeft() instanceof HttpFailure.Mismatched) {
					PlainRoute.this.counters.counter("answers_crossed_total").inc();
				}
				return Either.left(FailedAttempt.of(opened.getLeft()));
			}
			long firstByteMillis = Math.max(1, (System.nanoTime() - startedNanos) / 1_000_000L);
			try (HttpExchange exchange = opened.get()) {
				Either<FailedAttempt, PlainResponse> answer = read(exchange, id);
				credit.end(outcome(answer), firstByteMillis, answer.isRight() ? 1 : 0);
				if (answer.isRight() && request().workspace() != null
						&& answer.get().status() < HttpStatus.SC_INTERNAL_SERVER_ERROR) {
					PlainRoute.this.usageMeter.recordUsage(request().workspace(), this.service, 1);
				}
				return answer;
			}
		}

		private Either<FailedAttempt, PlainResponse> read(HttpExchange exchange, String id) {
			ClassicHttpResponse response = exchange.response();
			Header echoedId = response.getFirstHeader(HttpEngineClient.REQUEST_ID_HEADER);
			if (echoedId == null || !id.equals(echoedId.getValue())) {
				exchange.abort();
				PlainRoute.this.counters.counter("answers_crossed_total").inc();
				return Either.left(FailedAttempt.exchangeFailed("the response does not carry the id of this attempt"));
			}
			HttpEntity entity = response.getEntity();
			if (entity != null && entity.getContentLength() < 0 && !entity.isChunked()) {
				exchange.abort();
				return Either.left(FailedAttempt.exchangeFailed(
						"the response has neither a length nor chunked encoding, so truncation cannot be detected"));
			}
			Either<HttpFailure, byte[]> body = exchange.readFully(HttpLimits.MAX_RESPONSE_BYTES);
			if (body.isLeft()) {
				return Either.left(FailedAttempt.of(body.getLeft()));
			}
			Header notExecuted = response.getFirstHeader(HttpEngineClient.NOT_RUN_HEADER);
			boolean refusalStatus = response.getCode() == HttpStatus.SC_SERVICE_UNAVAILABLE
					|| response.getCode() == HttpStatus.SC_TOO_MANY_REQUESTS;
			if (refusalStatus && notExecuted != null && "true".equals(notExecuted.getValue())) {
				return Either
					.left(FailedAttempt.refused("the endpoint refused the request with status " + response.getCode()));
			}
			List<Map.Entry<String, String>> headers = new ArrayList<>();
			for (Header header : response.getHeaders()) {
				if (CallerKeyFilter.isReturnedToCaller(header.getName()) && header.getValue() != null) {
					headers.add(Map.entry(header.getName(), header.getValue()));
				}
			}
			return Either.right(new PlainResponse(response.getCode(), headers, body.get(), false));
		}

		private Credit.Outcome outcome(Either<FailedAttempt, PlainResponse> answer) {
			if (answer.isLeft()) {
				return (answer.getLeft().retry() == RetryReason.ENDPOINT_REFUSED) ? Credit.Outcome.REFUSED
						: Credit.Outcome.FAILED;
			}
			return (answer.get().status() < HttpStatus.SC_INTERNAL_SERVER_ERROR) ? Credit.Outcome.OK
					: Credit.Outcome.FAILED;
		}

		private ClassicHttpRequest endpointRequest(String id) {
			String target = pathAfterService(request().path())
					+ ((request().query() != null) ? "?" + request().query() : "");
			ClassicHttpRequest message = new BasicClassicHttpRequest(request().method(), target);
			CallerKeyFilter.endpointHeaders(request().headers()).forEach(message::setHeader);
			message.setHeader(HttpEngineClient.REQUEST_ID_HEADER, id);
			if (request().body().length > 0 || !IDEMPOTENT_METHODS.contains(request().method())) {
				String type = request().header(HttpHeaders.CONTENT_TYPE).orElse(null);
				message.removeHeaders(HttpHeaders.CONTENT_TYPE);
				message.removeHeaders(HttpHeaders.CONTENT_ENCODING);
				message.setEntity(new ByteArrayEntity(request().body(), ContentType.parseLenient(type),
						request().header(HttpHeaders.CONTENT_ENCODING).orElse(null)));
			}
			return message;
		}

		private Refusal refusal(FailedAttempt failed) {
			if (failed.retry() == RetryReason.ENDPOINT_REFUSED || failed.retry() == RetryReason.CONNECT_FAILED) {
				return noEndpoint(failed.detail());
			}
			return Refusal.executionUnknown(RefusalReason.ENDPOINT_FAILED, failed.detail());
		}

	}

	/**
	 * A failed attempt.
	 *
	 * @param retry the reason for which an idempotent request is retried; null if it is
	 * not retried
	 * @param byteSent whether a byte of the request may have been sent
	 * @param mayHaveExecuted whether the endpoint may have executed the request
	 * @param detail a human-readable explanation
	 */
	private record FailedAttempt(@Nullable RetryReason retry, boolean byteSent, boolean mayHaveExecuted,
			String detail) {

		private static FailedAttempt of(HttpFailure failure) {
			if (failure instanceof HttpFailure.NotSent) {
				return new FailedAttempt(RetryReason.CONNECT_FAILED, false, false, failure.detail());
			}
			if (failure instanceof HttpFailure.ResponseTooLarge) {
				return new FailedAttempt(null, true, true, failure.detail());
			}
			return exchangeFailed(failure.detail());
		}

		private static FailedAttempt exchangeFailed(String detail) {
			return new FailedAttempt(RetryReason.EXCHANGE_FAILED, true, true, detail);
		}

		private static FailedAttempt refused(String detail) {
			return new FailedAttempt(RetryReason.ENDPOINT_REFUSED, true, false, detail);
		}

	}

}
