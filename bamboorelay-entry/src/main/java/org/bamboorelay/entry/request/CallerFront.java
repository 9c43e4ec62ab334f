package org.bamboorelay.entry.request;

import java.io.IOException;
import java.io.InputStream;
import java.net.URLDecoder;
import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Objects;
import java.util.Set;
import java.util.TreeMap;
import java.util.UUID;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.BooleanSupplier;

import io.vavr.control.Either;
import org.apache.hc.core5.http.ClassicHttpRequest;
import org.apache.hc.core5.http.Header;
import org.apache.hc.core5.http.HttpEntity;
import org.apache.hc.core5.http.HttpException;
import org.apache.hc.core5.http.HttpHeaders;
import org.apache.hc.core5.http.HttpStatus;
import org.bamboorelay.core.failure.Refusal;
import org.bamboorelay.core.failure.RefusalReason;
import org.bamboorelay.core.request.KeyHiding;
import org.bamboorelay.core.version.Inventory;
import org.bamboorelay.core.version.KeyHash;
import org.bamboorelay.core.version.LiveConfiguration;
import org.bamboorelay.core.version.ServiceId;
import org.bamboorelay.core.version.WorkspaceId;
import org.bamboorelay.entry.connection.HttpEngineClient;
import org.bamboorelay.runtime.connection.HttpLimits;
import org.bamboorelay.runtime.connection.HttpListener;
import org.bamboorelay.runtime.connection.HttpListener.Responder;
import org.bamboorelay.runtime.process.Counters;
import org.jspecify.annotations.Nullable;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Takes every request of a caller: gives it an id, reads it within limits, authenticates
 * it, makes sure that the key goes no further, and passes it to its route. Nothing is
 * remembered between two requests of one connection.
 * <p>
 * Thread-safe.
 */
public final class CallerFront implements HttpListener.HttpHandler {

	private static final Logger LOG = LoggerFactory.getLogger(CallerFront.class);

	private static final String BEARER = "bearer ";

	private static final Set<String> METHODS = Set.of("GET", "HEAD", "OPTIONS", "POST", "PUT", "PATCH", "DELETE");

	private static final Set<String> NOT_TO_ROUTES = Set.of("authorization", "cookie", "proxy-authorization");

	private static final String OPERATOR_PREFIX = "/operator/";

	private final LiveConfiguration configuration;

	private final Problems problems;

	private final Counters counters;

	private final byte[] operatorToken;

	private final CallerRoute processRoute;

	private final List<CallerRoute> routes;

	private final String idPrefix = UUID.randomUUID().toString().substring(0, 18);

	private final AtomicLong nextId = new AtomicLong();

	private CallerFront(LiveConfiguration configuration, Counters counters, String operatorToken,
			CallerRoute processRoute, List<CallerRoute> routes) {
		this.configuration = Objects.requireNonNull(configuration, "configuration");
		this.counters = Objects.requireNonNull(counters, "counters");
		this.problems = Problems.of(counters);
		this.operatorToken = operatorToken.getBytes(StandardCharsets.UTF_8);
		this.processRoute = Objects.requireNonNull(processRoute, "processRoute");
		this.routes = List.copyOf(routes);
	}

	/**
	 * Creates the front of a process.
	 * @param configuration the configuration and keys
	 * @param counters the process's metrics
	 * @param operatorToken what operators send as bearer token
	 * @param processRoute serves health, metrics and operator paths, which need no key;
	 * operator paths have passed the check of the token
	 * @param routes the routes for callers; the first that accepts a request serves it
	 * @return the front
	 */
	public static CallerFront of(LiveConfiguration configuration, Counters counters, String operatorToken,
			CallerRoute processRoute, List<CallerRoute> routes) {
		return new CallerFront(configuration, counters, operatorToken, processRoute, routes);
	}

	@Override
	public void handle(ClassicHttpRequest request, Responder responder) throws HttpException, IOException {
		String requestId = this.idPrefix + "-" + this.nextId.incrementAndGet();
		Responder tagged = (response) -> {
			response.setHeader(HttpEngineClient.REQUEST_ID_HEADER, requestId);
			responder.send(response);
		};
		this.counters.counter("requests_total").inc();
		try {
			Either<Refusal, Accepted> accepted = accept(request, requestId);
			if (accepted.isLeft()) {
				refuse(request, tagged, requestId, accepted.getLeft());
				return;
			}
			accepted.get().route().serve(accepted.get().request(), tagged);
		}
		catch (RuntimeException ex) {
			LOG.atError()
				.addKeyValue("event", "request.internal-error")
				.addKeyValue("request_id", requestId)
				.addKeyValue("failure", ex.getClass().getSimpleName())
				.log("request.internal-error");
			this.counters.counter("internal_errors_total").inc();
			throw new HttpException("internal error", ex);
		}
	}

	private void refuse(ClassicHttpRequest request, Responder responder, String requestId, Refusal refusal)
			throws HttpException, IOException {
		LOG.atInfo()
			.addKeyValue("event", "request.refused")
			.addKeyValue("request_id", requestId)
			.addKeyValue("reason", refusal.code())
			.log("request.refused");
		boolean unread = request.getEntity() != null;
		this.problems.send((response) -> {
			if (unread) {
				// Parts of the body may be on their way and must not be taken for the
				// next request.
				response.setHeader(HttpHeaders.CONNECTION, "close");
			}
			if (refusal.reason().status() == HttpStatus.SC_UNAUTHORIZED) {
				response.setHeader(HttpHeaders.WWW_AUTHENTICATE, "Bearer");
			}
			responder.send(response);
		}, requestId, refusal);
	}

	private Either<Refusal, Accepted> accept(ClassicHttpRequest request, String requestId) throws IOException {
		String method = request.getMethod();
		String target = request.getPath();
		int mark = target.indexOf('?');
		String path = (mark < 0) ? target : target.substring(0, mark);
		String query = (mark < 0) ? null : target.substring(mark + 1);
		if (!METHODS.contains(method)) {
			return refusal(RefusalReason.BAD_REQUEST, "the method is not supported");
		}
		if (KeyHiding.isAmbiguous(path)) {
			return refusal(RefusalReason.BAD_REQUEST, "the path has segments that are not plain");
		}
		Header[] authorizations = request.getHeaders(HttpHeaders.AUTHORIZATION);
		if (authorizations.length > 1) {
			return refusal(RefusalReason.BAD_REQUEST, "there is more than one Authorization header");
		}
		String key = (authorizations.length == 0) ? null : bearer(authorizations[0].getValue());
		if (this.processRoute.accepts(method, path)) {
			if (path.startsWith(OPERATOR_PREFIX) && !isOperator(key)) {
				return refusal(RefusalReason.UNKNOWN_KEY, "operator paths need the operator token");
			}
			byte[] body = body(request);
			if (body == null) {
				return tooLarge();
			}
			return Either.right(new Accepted(this.processRoute,
					new CallerRequest(requestId, method, path, query, Map.of(), body, null, () -> true)));
		}
		if (key != null && KeyHiding.exposes(key, path, query, Map.of(), new byte[0])) {
			// Checked before the path is parsed, since later refusals name its service.
			return keyInRequest();
		}
		Either<Refusal, Caller> authenticated = caller(key, path);
		if (authenticated.isLeft()) {
			return Either.left(authenticated.getLeft());
		}
		// The body of a request without a valid key is not kept in memory.
		byte[] body = body(request);
		return (body != null) ? route(request, requestId, key, authenticated.get(), path, query, body) : tooLarge();
	}

	private Either<Refusal, Accepted> route(ClassicHttpRequest request, String requestId, @Nullable String key,
			Caller caller, String path, @Nullable String query, byte[] body) {
		Map<String, String> headers = headers(request);
		if (key != null && KeyHiding.exposes(key, path, query, headers, body)) {
			return keyInRequest();
		}
		CallerRequest accepted = new CallerRequest(requestId, request.getMethod(), path, query, headers, body,
				caller.workspace(), caller.stillAllowed());
		for (CallerRoute route : this.routes) {
			if (route.accepts(request.getMethod(), path)) {
				return Either.right(new Accepted(route, accepted));
			}
		}
		return refusal(RefusalReason.NO_SUCH_ROUTE, "the path does not exist");
	}

	private Either<Refusal, Caller> caller(@Nullable String key, String path) {
		ServiceId service = PlainRoute.service(path);
		if (service != null && isOpen(service, path)) {
			return Either.right(new Caller(null, () -> true));
		}
		if (key == null) {
			return refusal(RefusalReason.NO_KEY, "the request needs a bearer key");
		}
		KeyHash hash = KeyHash.ofKey(key);
		return this.configuration.authenticate(hash).flatMap((workspace) -> {
			Caller caller = new Caller(workspace, () -> this.configuration.isAllowed(hash, workspace));
			if (service == null) {
				return Either.right(caller);
			}
			return this.configuration.authorize(workspace, service).map((unused) -> caller);
		});
	}

	private boolean isOpen(ServiceId service, String path) {
		String rest = decoded(PlainRoute.rest(path));
		return this.configuration.service(service)
			.map(Inventory.ServiceEntry::openPaths)
			.getOrElse(List.of())
			.stream()
			.anyMatch((prefix) -> PlainRoute.isUnder(rest, prefix));
	}

	private boolean isOperator(@Nullable String token) {
		return token != null && MessageDigest.isEqual(this.operatorToken, token.getBytes(StandardCharsets.UTF_8));
	}

	private static String decoded(String path) {
		// Unlike in forms, a plus in a path is a plus.
		return URLDecoder.decode(path.replace("+", "%2B"), StandardCharsets.UTF_8);
	}

	private static byte @Nullable [] body(ClassicHttpRequest request) throws IOException {
		HttpEntity entity = request.getEntity();
		if (entity == null) {
			return new byte[0];
		}
		if (entity.getContentLength() > HttpLimits.MAX_REQUEST_BYTES) {
			return null;
		}
		InputStream content = entity.getContent();
		byte[] body = content.readNBytes(HttpLimits.MAX_REQUEST_BYTES + 1);
		return (body.length > HttpLimits.MAX_REQUEST_BYTES) ? null : body;
	}

	private static @Nullable String bearer(String value) {
		if (!value.toLowerCase(Locale.ROOT).startsWith(BEARER)) {
			return null;
		}
		String key = value.substring(BEARER.length()).strip();
		return key.isEmpty() ? null : key;
	}

	private static Map<String, String> headers(ClassicHttpRequest request) {
		Map<String, String> headers = new TreeMap<>(String.CASE_INSENSITIVE_ORDER);
		for (Header header : request.getHeaders()) {
			if (!NOT_TO_ROUTES.contains(header.getName().toLowerCase(Locale.ROOT)) && header.getValue() != null) {
				headers.merge(header.getName(), header.getValue(), (first, second) -> first + ", " + second);
			}
		}
		return headers;
	}

	private static <T> Either<Refusal, T> keyInRequest() {
		return refusal(RefusalReason.KEY_IN_REQUEST,
				"the key appears outside the Authorization header, where the endpoint would see it");
	}

	private static <T> Either<Refusal, T> tooLarge() {
		return refusal(RefusalReason.BODY_TOO_LARGE,
				"the body has more than " + HttpLimits.MAX_REQUEST_BYTES + " bytes");
	}

	private static <T> Either<Refusal, T> refusal(RefusalReason reason, String detail) {
		return Either.left(Refusal.notRun(reason, detail));
	}

	private record Caller(@Nullable WorkspaceId workspace, BooleanSupplier stillAllowed) {
	}

	private record Accepted(CallerRoute route, CallerRequest request) {
	}

}
