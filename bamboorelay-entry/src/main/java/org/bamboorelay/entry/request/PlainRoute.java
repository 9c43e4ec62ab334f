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
import org.bamboorelay.core.failure.RunState;
import org.bamboorelay.core.request.KeyHiding;
import org.bamboorelay.core.request.RetryBudget;
import org.bamboorelay.core.version.EndpointId;
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
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

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

	private static final Logger LOG = LoggerFactory.getLogger(PlainRoute.class);

	private static final Set<String> IDEMPOTENT_METHODS = Set.of("GET", "HEAD", "OPTIONS");

	private static final String IDEMPOTENCY_KEY = "Idempotency-Key";

	private static final int MAX_ATTEMPTS = 3;

	private static final long RETRY_AFTER_MILLIS = 1_000;

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
			LOG.atInfo()
				.addKeyValue("event", "request.refused")
				.addKeyValue("request_id", request.requestId())
				.addKeyValue("reason", answer.getLeft().code())
				.addKeyValue("run", answer.getLeft().run().code())
				.log("request.refused");
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

	private void count(RetryReason reason, CallerRequest request) {
		this.counters.retry(reason).inc();
		LOG.atInfo()
			.addKeyValue("event", "request.retried")
			.addKeyValue("request_id", request.requestId())
			.addKeyValue("reason", reason.code())
			.log("request.retried");
	}

	/**
	 * The attempts of one request. Used by one thread.
	 */
	private final class Relay {

		private final CallerRequest request;

		private final ServiceId service;

		private final boolean idempotent;

		private final List<EndpointId> excluded = new ArrayList<>();

		private boolean mayHaveRun;

		private Relay(CallerRequest request, ServiceId service, boolean idempotent) {
			this.request = request;
			this.service = service;
			this.idempotent = idempotent;
		}

		private Either<Refusal, PlainAnswer> run() {
			for (int attempt = 1;; attempt++) {
				Either<Refusal, Credit> credit = PlainRoute.this.credits.acquire(new RouteRequest(this.service,
						this.request.workspace(), true, this.idempotent, 0, 1, null, this.excluded));
				if (credit.isLeft()) {
					return Either.left(truthful(credit.getLeft()));
				}
				if (!this.request.stillAllowed().getAsBoolean()) {
					credit.get().end(Credit.Outcome.UNUSED, 0, 0);
					return Either.left(truthful(Refusal.notRun(RefusalReason.WITHDRAWN_KEY, "the key was withdrawn")));
				}
				Either<Failed, PlainAnswer> answer = attempt(credit.get(), attempt);
				if (answer.isRight()) {
					return Either.right(answer.get());
				}
				Failed failed = answer.getLeft();
				this.mayHaveRun |= failed.mayHaveRun();
				this.excluded.add(credit.get().endpoint());
				boolean again = failed.retry() != null && (this.idempotent || !failed.byteSent())
						&& attempt < MAX_ATTEMPTS && PlainRoute.this.budget.tryRetry();
				if (!again) {
					return Either.left(refusal(failed));
				}
				count(Objects.requireNonNull(failed.retry()), this.request);
			}
		}

		private Either<Failed, PlainAnswer> attempt(Credit credit, int attempt) {
			// Each attempt has its own id, so that a late answer to an earlier one is not
			// taken for this one's.
			String id = (attempt == 1) ? this.request.requestId() : this.request.requestId() + "-r" + attempt;
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
				if (answer.isRight() && this.request.workspace() != null
						&& answer.get().status() < HttpStatus.SC_INTERNAL_SERVER_ERROR) {
					PlainRoute.this.usage.served(this.request.workspace(), this.service, 1);
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
			String target = rest(this.request.path())
					+ ((this.request.query() != null) ? "?" + this.request.query() : "");
			ClassicHttpRequest message = new BasicClassicHttpRequest(this.request.method(), target);
			KeyHiding.toEndpoint(this.request.headers()).forEach(message::setHeader);
			message.setHeader(HttpEngineClient.REQUEST_ID_HEADER, id);
			if (this.request.body().length > 0 || !IDEMPOTENT_METHODS.contains(this.request.method())) {
				String type = this.request.header(HttpHeaders.CONTENT_TYPE).orElse(null);
				message.removeHeaders(HttpHeaders.CONTENT_TYPE);
				message.removeHeaders(HttpHeaders.CONTENT_ENCODING);
				message.setEntity(new ByteArrayEntity(this.request.body(), ContentType.parseLenient(type),
						this.request.header(HttpHeaders.CONTENT_ENCODING).orElse(null)));
			}
			return message;
		}

		private Refusal refusal(Failed failed) {
			if (failed.retry() == RetryReason.ENDPOINT_REFUSED || failed.retry() == RetryReason.CONNECT_FAILED) {
				return truthful(
						Refusal.notRun(RefusalReason.NO_ENDPOINT, failed.detail()).withRetryAfter(RETRY_AFTER_MILLIS));
			}
			return Refusal.runUnknown(RefusalReason.ENDPOINT_FAILED, failed.detail());
		}

		private Refusal truthful(Refusal refusal) {
			return this.mayHaveRun
					? new Refusal(refusal.reason(), RunState.UNKNOWN, refusal.retryAfterMillis(), refusal.detail())
					: refusal;
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
