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
import org.bamboorelay.core.request.KeyHiding;
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
 * Relays plain requests, {@code /services/{service}/{path}}. An answer is buffered whole
 * before its status goes out. This is the only layer that retries; a request that is not
 * idempotent is sent again only where no byte of it went out.
 * <p>
 * Thread-safe.
 */
public final class PlainRoute implements CallerRoute {

	/** First segment of the paths of this route. */
	public static final String PREFIX = "/services/";

	private static final Set<String> IDEMPOTENT_METHODS = Set.of("GET", "HEAD", "OPTIONS");

	private static final String IDEMPOTENCY_KEY = "Idempotency-Key";

	private final LiveConfiguration configuration;

	private final CreditSource credits;

	private final HttpConnectionPool pool;

	private final int readTimeoutMillis;

	private final IdempotencyRecords records;

	private final UsageMeter usage;

	private final RetryBudget budget;

	private final Counters counters;

	private final Problems problems;

	private PlainRoute(LiveConfiguration configuration, CreditSource credits, HttpConnectionPool pool,
			int readTimeoutMillis, IdempotencyRecords records, UsageMeter usage, RetryBudget budget,
			Counters counters) {
		this.configuration = Objects.requireNonNull(configuration, "configuration");
		this.credits = Objects.requireNonNull(credits, "credits");
		this.pool = Objects.requireNonNull(pool, "pool");
		this.readTimeoutMillis = readTimeoutMillis;
		this.records = Objects.requireNonNull(records, "records");
		this.usage = Objects.requireNonNull(usage, "usage");
		this.budget = Objects.requireNonNull(budget, "budget");
		this.counters = Objects.requireNonNull(counters, "counters");
		this.problems = Problems.of(counters);
	}

	/**
	 * Creates the route.
	 * @param configuration the configuration
	 * @param credits admits requests
	 * @param pool connections to endpoints
	 * @param readTimeoutMillis the longest wait for bytes of an answer, in milliseconds
	 * @param records what is known of used idempotency keys
	 * @param usage counts whole answers
	 * @param budget the budget of retries, shared by all routes
	 * @param counters the process's metrics
	 * @return the route
	 */
	public static PlainRoute of(LiveConfiguration configuration, CreditSource credits, HttpConnectionPool pool,
			int readTimeoutMillis, IdempotencyRecords records, UsageMeter usage, RetryBudget budget,
			Counters counters) {
		return new PlainRoute(configuration, credits, pool, readTimeoutMillis, records, usage, budget, counters);
	}

	/**
	 * Returns the service that a path names.
	 * @param path the path
	 * @return the service; null where the path names none
	 */
	static @Nullable ServiceId service(String path) {
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
	 * Returns what follows the service in a path.
	 * @param path a path that names a service
	 * @return the rest, with a leading slash
	 */
	static String rest(String path) {
		int end = path.indexOf('/', PREFIX.length());
		return (end < 0) ? "/" : path.substring(end);
	}

	/**
	 * Tells whether a path lies under a prefix, by whole segments.
	 * @param path the path
	 * @param prefix the prefix
	 * @return whether it does
	 */
	static boolean isUnder(String path, String prefix) {
		return path.equals(prefix) || path.startsWith(prefix.endsWith("/") ? prefix : prefix + "/");
	}

	@Override
	public boolean accepts(String method, String path) {
		return service(path) != null;
	}

	@Override
	public void serve(CallerRequest request, Responder responder) throws HttpException, IOException {
		this.budget.requested();
		Either<Refusal, PlainAnswer> answer = this.configuration.service(serviceOf(request))
			.flatMap((service) -> (service.kind() == Inventory.ServiceKind.PLAIN) ? Either.right(service)
					: Either.left(Refusal.notRun(RefusalReason.NO_SUCH_ROUTE,
							"service " + service.name() + " is reached by /v1/completions")))
			.flatMap((service) -> relay(request, service));
		if (answer.isLeft()) {
			RequestAttempts.logRefused(request, answer.getLeft());
			this.problems.send(responder, request.requestId(), answer.getLeft());
			return;
		}
		responder.send(answer.get().toResponse());
	}

	private static ServiceId serviceOf(CallerRequest request) {
		return Objects.requireNonNull(service(request.path()), "service");
	}

	private Either<Refusal, PlainAnswer> relay(CallerRequest request, Inventory.ServiceEntry service) {
		String rest = rest(request.path());
		boolean idempotent = IDEMPOTENT_METHODS.contains(request.method())
				|| service.repeatablePaths().stream().anyMatch((prefix) -> isUnder(rest, prefix));
		String key = request.header(IDEMPOTENCY_KEY).orElse(null);
		if (key == null || idempotent) {
			return new Relay(request, service.name(), idempotent).run();
		}
		if (request.workspace() == null) {
			return Either
				.left(Refusal.notRun(RefusalReason.BAD_REQUEST, "Idempotency-Key needs a request with a bearer key"));
		}
		IdempotencyRecords.Call call = IdempotencyRecords.Call.of(request.workspace(), key, request);
		return this.records.once(call, () -> new Relay(request, service.name(), false).run());
	}

	/**
	 * The attempts of one request. Used by one thread.
	 */
	private final class Relay extends RequestAttempts {

		private final ServiceId service;

		private final boolean idempotent;

		private Relay(CallerRequest request, ServiceId service, boolean idempotent) {
			super(request, PlainRoute.this.credits, PlainRoute.this.budget, PlainRoute.this.counters);
			this.service = service;
			this.idempotent = idempotent;
		}

		private Either<Refusal, PlainAnswer> run() {
			while (true) {
				Either<Refusal, Credit> credit = acquire((excluded) -> new RouteRequest(this.service,
						request().workspace(), true, this.idempotent, 0, 1, null, excluded));
				if (credit.isLeft()) {
					return Either.left(credit.getLeft());
				}
				Either<Failed, PlainAnswer> answer = attempt(credit.get());
				if (answer.isRight()) {
					return Either.right(answer.get());
				}
				Failed failed = answer.getLeft();
				failed(credit.get().endpoint(), failed.mayHaveRun());
				boolean again = failed.retry() != null && (this.idempotent || !failed.byteSent())
						&& tryAgain(failed.retry());
				if (!again) {
					return Either.left(refusal(failed));
				}
			}
		}

		private Either<Failed, PlainAnswer> attempt(Credit credit) {
			String id = attemptId();
			long started = System.nanoTime();
			Either<HttpFailure, HttpExchange> result = PlainRoute.this.pool.execute(credit.address(), message(id),
					this.idempotent, PlainRoute.this.readTimeoutMillis);
			if (result.isLeft()) {
				credit.end(Credit.Outcome.FAILED, 0, 0);
				return Either.left(Failed.of(result.getLeft()));
			}
			long firstByteMillis = Math.max(1, (System.nanoTime() - started) / 1_000_000L);
			try (HttpExchange exchange = result.get()) {
				Either<Failed, PlainAnswer> answer = read(exchange, id);
				credit.end(outcome(answer), firstByteMillis, answer.isRight() ? 1 : 0);
				if (answer.isRight() && request().workspace() != null
						&& answer.get().status() < HttpStatus.SC_INTERNAL_SERVER_ERROR) {
					PlainRoute.this.usage.served(request().workspace(), this.service, 1);
				}
				return answer;
			}
		}

		private Either<Failed, PlainAnswer> read(HttpExchange exchange, String id) {
			ClassicHttpResponse response = exchange.response();
			Header echo = response.getFirstHeader(HttpEngineClient.REQUEST_ID_HEADER);
			if (echo == null || !id.equals(echo.getValue())) {
				exchange.abort();
				PlainRoute.this.counters.counter("answers_crossed_total").inc();
				return Either.left(Failed.answered("the answer belongs to another request"));
			}
			HttpEntity entity = response.getEntity();
			if (entity != null && entity.getContentLength() < 0 && !entity.isChunked()) {
				exchange.abort();
				return Either.left(Failed.answered("the answer has no length, so its end cannot be told from a cut"));
			}
			Either<HttpFailure, byte[]> body = exchange.readWhole(HttpLimits.MAX_ANSWER_BYTES);
			if (body.isLeft()) {
				return Either.left(Failed.of(body.getLeft()));
			}
			Header notRun = response.getFirstHeader(HttpEngineClient.NOT_RUN_HEADER);
			boolean refused = response.getCode() == HttpStatus.SC_SERVICE_UNAVAILABLE
					|| response.getCode() == HttpStatus.SC_TOO_MANY_REQUESTS;
			if (refused && notRun != null && "true".equals(notRun.getValue())) {
				return Either.left(Failed.refused("the endpoint answered " + response.getCode()));
			}
			List<Map.Entry<String, String>> headers = new ArrayList<>();
			for (Header header : response.getHeaders()) {
				if (KeyHiding.isToCaller(header.getName()) && header.getValue() != null) {
					headers.add(Map.entry(header.getName(), header.getValue()));
				}
			}
			return Either.right(new PlainAnswer(response.getCode(), headers, body.get(), false));
		}

		private Credit.Outcome outcome(Either<Failed, PlainAnswer> answer) {
			if (answer.isLeft()) {
				return (answer.getLeft().retry() == RetryReason.ENDPOINT_REFUSED) ? Credit.Outcome.REFUSED
						: Credit.Outcome.FAILED;
			}
			return (answer.get().status() < HttpStatus.SC_INTERNAL_SERVER_ERROR) ? Credit.Outcome.OK
					: Credit.Outcome.FAILED;
		}

		private ClassicHttpRequest message(String id) {
			String target = rest(request().path()) + ((request().query() != null) ? "?" + request().query() : "");
			ClassicHttpRequest message = new BasicClassicHttpRequest(request().method(), target);
			KeyHiding.toEndpoint(request().headers()).forEach(message::setHeader);
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

		private Refusal refusal(Failed failed) {
			if (failed.retry() == RetryReason.ENDPOINT_REFUSED || failed.retry() == RetryReason.CONNECT_FAILED) {
				return noEndpoint(failed.detail());
			}
			return Refusal.runUnknown(RefusalReason.ENDPOINT_FAILED, failed.detail());
		}

	}

	/**
	 * A failed attempt.
	 *
	 * @param retry why an idempotent request is sent again; null where it is not
	 * @param byteSent whether a byte of the request may have gone out
	 * @param mayHaveRun whether the endpoint may have run the request
	 * @param detail a sentence for people
	 */
	private record Failed(@Nullable RetryReason retry, boolean byteSent, boolean mayHaveRun, String detail) {

		private static Failed of(HttpFailure failure) {
			if (failure instanceof HttpFailure.NotSent) {
				return new Failed(RetryReason.CONNECT_FAILED, false, false, failure.detail());
			}
			if (failure instanceof HttpFailure.AnswerTooLarge) {
				return new Failed(null, true, true, failure.detail());
			}
			return answered(failure.detail());
		}

		private static Failed answered(String detail) {
			return new Failed(RetryReason.EXCHANGE_FAILED, true, true, detail);
		}

		private static Failed refused(String detail) {
			return new Failed(RetryReason.ENDPOINT_REFUSED, true, false, detail);
		}

	}

}
