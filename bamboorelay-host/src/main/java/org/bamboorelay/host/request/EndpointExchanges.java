package org.bamboorelay.host.request;

import java.util.Objects;

import io.vavr.control.Either;
import org.bamboorelay.core.process.EndpointTable;
import org.bamboorelay.host.connection.EndpointProtocol;
import org.bamboorelay.host.connection.EndpointRequest;
import org.bamboorelay.host.connection.EndpointResponse;
import org.bamboorelay.runtime.connection.ExchangeOptions;
import org.bamboorelay.runtime.connection.HttpConnectionPool;
import org.bamboorelay.runtime.connection.HttpExchange;
import org.bamboorelay.runtime.connection.HttpFailure;
import org.bamboorelay.runtime.process.Counters;

/**
 * Sends requests to endpoints and accepts only responses that belong to them. This is the
 * only place that decides so; plain requests, streams, items and score calls all use it.
 * <p>
 * A response is accepted if it does not carry the id of another request, which the
 * connection pool ensures, and if a success carries the id of the request and the seal of
 * the endpoint. The connection of any other response is closed, and what it announces is
 * not recorded.
 * <p>
 * Thread-safe.
 */
public final class EndpointExchanges {

	private final EndpointProtocol protocol;

	private final HttpConnectionPool pool;

	private final EndpointNotices notices;

	private final Counters counters;

	/**
	 * Creates the sender of requests.
	 * @param protocol encodes requests to endpoints and decodes their responses
	 * @param pool the connections to endpoints, which compares the ids of requests and
	 * responses
	 * @param notices records what endpoints announce in their responses
	 * @param counters the metrics of the process
	 */
	public EndpointExchanges(EndpointProtocol protocol, HttpConnectionPool pool, EndpointNotices notices,
			Counters counters) {
		this.protocol = Objects.requireNonNull(protocol, "protocol");
		this.pool = Objects.requireNonNull(pool, "pool");
		this.notices = Objects.requireNonNull(notices, "notices");
		this.counters = Objects.requireNonNull(counters, "counters");
	}

	/**
	 * Sends a request and waits for the head of its response.
	 * @param grant the grant of the endpoint
	 * @param request the request
	 * @param options options and time limits of the exchange; the id of the request
	 * becomes their tag
	 * @param observer observes the attempt
	 * @return the exchange, whose HTTP exchange the caller must close; or the failure,
	 * {@link HttpFailure.Mismatched} if the response belongs to another request
	 */
	Either<HttpFailure, EndpointExchange> open(EndpointTable.Grant grant, EndpointRequest request,
			ExchangeOptions options, AttemptObserver observer) {
		Either<HttpFailure, EndpointExchange> result = this.pool
			.execute(grant.address(), this.protocol.encodeRequest(request), options.withTag(request.id()),
					observer::onConnecting, observer::onConnected)
			.flatMap((exchange) -> accept(grant, request, exchange));
		if (result.isLeft() && result.getLeft() instanceof HttpFailure.Mismatched) {
			this.counters.counter("endpoint_responses_rejected_total", "reason", "mismatched").inc();
		}
		return result;
	}

	private Either<HttpFailure, EndpointExchange> accept(EndpointTable.Grant grant, EndpointRequest request,
			HttpExchange exchange) {
		EndpointResponse response = this.protocol.decodeHead(exchange.response());
		if (!response.isProven(request.id())) {
			exchange.abort();
			exchange.close();
			this.counters.counter("endpoint_responses_rejected_total", "reason", "unproven").inc();
			return Either.left(new HttpFailure.Broken("success without the id of the request or without a seal: status "
					+ response.status() + ", id " + response.id() + ", request " + request.id()));
		}
		this.notices.onResponse(grant, response);
		return Either.right(new EndpointExchange(response, exchange));
	}

	/**
	 * A request to an endpoint and the response to it.
	 *
	 * @param response the head of the response
	 * @param http the HTTP exchange, from which the body can be read
	 */
	record EndpointExchange(EndpointResponse response, HttpExchange http) {

		EndpointExchange {
			Objects.requireNonNull(response, "response");
			Objects.requireNonNull(http, "http");
		}

	}

}
