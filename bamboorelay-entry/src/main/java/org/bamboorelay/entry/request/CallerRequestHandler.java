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
import org.bamboorelay.core.request.CallerKeyFilter;
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
 * Handles all requests of callers: assigns a request id, reads the body within the size
 * limit, authenticates the caller, ensures that the key is not forwarded, and dispatches
 * the request to its route. No state is kept between requests of one connection.
 * <p>
 * Thread-safe.
 */
public final class CallerRequestHandler implements HttpListener.HttpHandler {

	private static final Logger LOG = LoggerFactory.getLogger(CallerRequestHandler.class);

	private static final String BEARER_PREFIX = "bearer ";

	private static final Set<String> SUPPORTED_METHODS = Set.of("GET", "HEAD", "OPTIONS", "POST", "PUT", "PATCH",
			"DELETE");

	private static final Set<String> UNFORWARDED_HEADERS = Set.of("authorization", "cookie", "proxy-authorization");

	private static final String OPERATOR_PREFIX = "/operator/";

	private final LiveConfiguration configuration;

	private final ProblemResponder problems;

	private final Counters counters;

	private final byte[] operatorToken;

	private final CallerRoute processRoute;

	private final List<CallerRoute> routes;

	private final String idPrefix = UUID.randomUUID().toString().substring(0, 18);

	private final AtomicLong nextId = new AtomicLong();

	private CallerRequestHandler(LiveConfiguration configuration, Counters counters, String operatorToken,
			CallerRoute processRoute, List<CallerRoute> routes) {
		this.configuration = Objects.requireNonNull(configuration, "configuration");
		this.counters = Objects.requireNonNull(counters, "counters");
		this.problems = ProblemResponder.of(counters);
		this.operatorToken = operatorToken.getBytes(StandardCharsets.UTF_8);
		this.processRoute = Objects.requireNonNull(processRoute, "processRoute");
		this.routes = List.copyOf(routes);
	}

	/**
	 * Creates the handler of a process.
	 * @param configuration the configuration and keys
	 * @param counters the process's metrics
	 * @param operatorToken the bearer token of operators
	 * @param processRoute serves health, metrics and operator paths, which need no key;
	 * the token is checked before operator paths are passed on
	 * @param routes the routes for callers; the first that accepts a request serves it
	 * @return the handler
	 */
	public static CallerRequestHandler of(LiveConfiguration configuration, Counters counters, String operatorToken,
			CallerRoute processRoute, List<CallerRoute> routes) {
		return new CallerRequestHandler(configuration, counters, operatorToken, processRoute, routes);
	}

	@Override
	public void handle(ClassicHttpRequest request, Responder responder) throws HttpException, IOException {
		String requestId = this.idPrefix + "-" + this.nextId.incrementAndGet();
		Responder withRequestId = (response) -> {
			response.setHeader(HttpEngineClient.REQUEST_ID_HEADER, requestId);
			responder.send(response);
		};
		this.counters.counter("requests_total").inc();
		try {
			Either<Refusal, RoutedRequest> accepted = accept(request, requestId);
			if (accepted.isLeft()) {
				refuse(request, withRequestId, requestId, accepted.getLeft());
				return;
			}
			accepted.get().route().serve(accepted.get().request(), withRequestId);
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
		boolean bodyUnread = request.getEntity() != null;
		this.problems.send((response) -> {
			if (bodyUnread) {
				// Unread bytes of the body may still arrive and must not be parsed as the
				// next request.
				response.setHeader(HttpHeaders.CONNECTION, "close");
			}
			if (refusal.reason().status() == HttpStatus.SC_UNAUTHORIZED) {
				response.setHeader(HttpHeaders.WWW_AUTHENTICATE, "Bearer");
			}
			responder.send(response);
		}, requestId, refusal);
	}

	private Either<Refusal, RoutedRequest> accept(ClassicHttpRequest request, String requestId) throws IOException {
		String method = request.getMethod();
		String target = request.getPath();
		int queryMark = target.indexOf('?');
		String path = (queryMark < 0) ? target : target.substring(0, queryMark);
		String query = (queryMark < 0) ? null : target.substring(queryMark + 1);
		if (!SUPPORTED_METHODS.contains(method)) {
			return refusal(RefusalReason.BAD_REQUEST, "the HTTP method is not supported");
		}
		if (CallerKeyFilter.isAmbiguousPath(path)) {
			return refusal(RefusalReason.BAD_REQUEST, "the path has ambiguous segments");
		}
		Header[] authorizations = request.getHeaders(HttpHeaders.AUTHORIZATION);
		if (authorizations.length > 1) {
			return refusal(RefusalReason.BAD_REQUEST, "the request has more than one Authorization header");
		}
		String key = (authorizations.length == 0) ? null : bearerToken(authorizations[0].getValue());
		if (this.processRoute.accepts(method, path)) {
			if (path.startsWith(OPERATOR_PREFIX) && !isOperatorToken(key)) {
				return refusal(RefusalReason.UNKNOWN_KEY, "operator paths require the operator token");
			}
			byte[] body = readBody(request);
			if (body == null) {
				return bodyTooLarge();
			}
			return Either.right(new RoutedRequest(this.processRoute,
					new CallerRequest(requestId, method, path, query, Map.of(), body, null, () -> true)));
		}
		if (key != null && CallerKeyFilter.exposesKey(key, path, query, Map.of(), new byte[0])) {
			// Checked before the path is parsed, since later error messages contain the
			// service name taken from it.
			return keyInRequest();
		}
		Either<Refusal, Caller> authenticated = authenticateCaller(key, path);
		if (authenticated.isLeft()) {
			return Either.left(authenticated.getLeft());
		}
		// Read only now, so that bodies of unauthenticated requests are not buffered.
		byte[] body = readBody(request);
		return (body != null) ? route(request, requestId, key, authenticated.get(), path, query, body) : bodyTooLarge();
	}

	private Either<Refusal, RoutedRequest> route(ClassicHttpRequest request, String requestId, @Nullable String key,
			Caller caller, String path, @Nullable String query, byte[] body) {
		Map<String, String> headers = forwardedHeaders(request);
		if (key != null && CallerKeyFilter.exposesKey(key, path, query, headers, body)) {
			return keyInRequest();
		}
		CallerRequest accepted = new CallerRequest(requestId, request.getMethod(), path, query, headers, body,
				caller.workspace(), caller.stillAllowed());
		for (CallerRoute route : this.routes) {
			if (route.accepts(request.getMethod(), path)) {
				return Either.right(new RoutedRequest(route, accepted));
			}
		}
		return refusal(RefusalReason.NO_SUCH_ROUTE, "the path does not exist");
	}

	private Either<Refusal, Caller> authenticateCaller(@Nullable String key, String path) {
		ServiceId service = PlainRoute.parseService(path);
		if (service != null && isOpenPath(service, path)) {
			return Either.right(new Caller(null, () -> true));
		}
		if (key == null) {
			return refusal(RefusalReason.NO_KEY, "the request requires a bearer key");
		}
		KeyHash hash = KeyHash.ofKey(key);
		return this.configuration.authenticate(hash).flatMap((workspace) -> {
			Caller caller = new Caller(workspace, () -> this.configuration.isGranted(hash, workspace));
			if (service == null) {
				return Either.right(caller);
			}
			return this.configuration.authorize(workspace, service).map((authorized) -> caller);
		});
	}

	private boolean isOpenPath(ServiceId service, String path) {
		String rest = decodePath(PlainRoute.pathAfterService(path));
		return this.configuration.service(service)
			.map(Inventory.ServiceEntry::openPaths)
			.getOrElse(List.of())
			.stream()
			.anyMatch((prefix) -> PlainRoute.isUnder(rest, prefix));
	}

	private boolean isOperatorToken(@Nullable String token) {
		return token != null && MessageDigest.isEqual(this.operatorToken, token.getBytes(StandardCharsets.UTF_8));
	}

	private static String decodePath(String path) {
		// URLDecoder decodes form data, in which a plus is a space; in a path it is a
		// plus.
		return URLDecoder.decode(path.replace("+", "%2B"), StandardCharsets.UTF_8);
	}

	private static byte @Nullable [] readBody(ClassicHttpRequest request) throws IOException {
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

	private static @Nullable String bearerToken(String value) {
		if (!value.toLowerCase(Locale.ROOT).startsWith(BEARER_PREFIX)) {
			return null;
		}
		String key = value.substring(BEARER_PREFIX.length()).strip();
		return key.isEmpty() ? null : key;
	}

	private static Map<String, String> forwardedHeaders(ClassicHttpRequest request) {
		Map<String, String> headers = new TreeMap<>(String.CASE_INSENSITIVE_ORDER);
		for (Header header : request.getHeaders()) {
			if (!UNFORWARDED_HEADERS.contains(header.getName().toLowerCase(Locale.ROOT)) && header.getValue() != null) {
				headers.merge(header.getName(), header.getValue(), (first, second) -> first + ", " + second);
			}
		}
		return headers;
	}

	private static <T> Either<Refusal, T> keyInRequest() {
		return refusal(RefusalReason.KEY_IN_REQUEST,
				"the key appears outside the Authorization header and would be forwarded to the endpoint");
	}

	private static <T> Either<Refusal, T> bodyTooLarge() {
		return refusal(RefusalReason.BODY_TOO_LARGE,
				"the request body exceeds " + HttpLimits.MAX_REQUEST_BYTES + " bytes");
	}

	private static <T> Either<Refusal, T> refusal(RefusalReason reason, String detail) {
		return Either.left(Refusal.notExecuted(reason, detail));
	}

	private record Caller(@Nullable WorkspaceId workspace, BooleanSupplier stillAllowed) {
	}

	private record RoutedRequest(CallerRoute route, CallerRequest request) {
	}

}
