package org.bamboorelay.host.request;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Set;
import java.util.concurrent.atomic.AtomicLong;

import io.vavr.control.Either;
import org.apache.hc.core5.http.ClassicHttpRequest;
import org.apache.hc.core5.http.ClassicHttpResponse;
import org.apache.hc.core5.http.message.BasicClassicHttpRequest;
import org.apache.hc.core5.http.message.BasicClassicHttpResponse;
import org.bamboorelay.core.process.EndpointEntry;
import org.bamboorelay.core.process.EndpointRequirements;
import org.bamboorelay.core.process.EndpointTable;
import org.bamboorelay.core.process.PoisonRequestDetector;
import org.bamboorelay.core.request.RequestOrigin;
import org.bamboorelay.core.time.Clock;
import org.bamboorelay.host.connection.EndpointProtocol;
import org.bamboorelay.host.connection.EndpointRequest;
import org.bamboorelay.host.connection.EndpointResponse;
import org.bamboorelay.host.process.EventLog;
import org.bamboorelay.runtime.connection.ExchangeOptions;
import org.bamboorelay.runtime.connection.HttpConnectionPool;
import org.bamboorelay.runtime.connection.HttpFailure;
import org.bamboorelay.runtime.connection.HttpListener;
import org.bamboorelay.runtime.process.Counters;
import org.jspecify.annotations.Nullable;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests of {@link EndpointExchanges}: a response of another request or of another
 * endpoint must be neither returned nor recorded.
 */
@Timeout(20)
class EndpointExchangesTests {

	private static final String ID = "X-Request-Id";

	private static final String RATE = "rate";

	private static final String SEAL = "seal";

	private static final int MISDIRECTED = 421;

	private final HttpConnectionPool pool = HttpConnectionPool.builder().requestIdHeader(ID).build();

	private final AtomicLong nowMillis = new AtomicLong();

	private final EndpointTable table = EndpointTable.create(this.nowMillis::get);

	private final Counters counters = Counters.create();

	private volatile ClassicHttpResponse next = new BasicClassicHttpResponse(200);

	private final HttpListener server = HttpListener.open("127.0.0.1", 0, (request, responder) -> {
		if (request.getEntity() != null) {
			request.getEntity().getContent().readAllBytes();
		}
		responder.send(this.next);
	}, (error) -> {
	});

	private final EndpointExchanges exchanges = new EndpointExchanges(new HeaderProtocol(), this.pool,
			new EndpointNotices(this.table, PoisonRequestDetector.create(Clock.monotonic()), true, (message) -> {
			}, new EventLog()), this.counters);

	EndpointExchangesTests() throws IOException {
		this.table
			.put(new EndpointEntry("e1", "s", "127.0.0.1:" + this.server.port(), "domain-a", 4, false, 0, 1, Map.of()));
	}

	@AfterEach
	void close() {
		this.pool.close();
		this.server.close();
	}

	/** Guards against a failure or refusal of another request that is taken as own. */
	@ParameterizedTest
	@ValueSource(ints = { 200, 304, 400, MISDIRECTED, 422, 429, 500, 503 })
	void responseOfAnotherRequestIsRejected(int status) {
		Either<HttpFailure, EndpointExchanges.EndpointExchange> result = open(status, "another", null, SEAL);
		assertThat(result.getLeft()).isInstanceOf(HttpFailure.Mismatched.class);
		assertThat(this.counters.text()).contains("endpoint_responses_rejected_total{reason=\"mismatched\"} 1");
	}

	/** Guards against bytes of another program that are taken for a success. */
	@Test
	void successWithoutIdOrSealIsRejected() {
		assertThat(open(200, null, null, SEAL).isLeft()).isTrue();
		assertThat(open(200, "", null, SEAL).isLeft()).isTrue();
		assertThat(open(200, "r1", null, null).isLeft()).isTrue();
		assertThat(open(200, "r1", null, SEAL).isRight()).isTrue();
		assertThat(open(500, null, null, null).isRight()).isTrue();
		assertThat(this.counters.text()).contains("endpoint_responses_rejected_total{reason=\"unproven\"} 3");
	}

	/** Guards against an earlier response that ends or renews the rate named since. */
	@Test
	void announcementsOfAnotherRequestsResponseAreNotRecorded() {
		open(200, "r1", "50", SEAL);
		assertThat(isRateLimited()).isTrue();
		open(200, "another", null, SEAL);
		assertThat(isRateLimited()).isTrue();
		open(200, "r1", null, SEAL);
		assertThat(isRateLimited()).isFalse();
		open(200, "another", "50", SEAL);
		assertThat(isRateLimited()).isFalse();
	}

	/** Guards against the rate of the next endpoint at an address. */
	@Test
	void announcementsOfAnotherEndpointAreNotRecorded() {
		open(MISDIRECTED, "r1", "50", SEAL);
		assertThat(isRateLimited()).isFalse();
	}

	private boolean isRateLimited() {
		return this.table.isAnyRateLimited(requirements());
	}

	private static EndpointRequirements requirements() {
		return EndpointRequirements.plain(RequestOrigin.CALLER, "s", Set.of());
	}

	// Sends request "r1" and responds to it with the given head.
	private Either<HttpFailure, EndpointExchanges.EndpointExchange> open(int status, @Nullable String id,
			@Nullable String rate, @Nullable String seal) {
		BasicClassicHttpResponse response = new BasicClassicHttpResponse(status);
		setHeader(response, ID, id);
		setHeader(response, RATE, rate);
		setHeader(response, SEAL, seal);
		this.next = response;
		EndpointTable.Grant grant = new EndpointTable.Grant("e1", "127.0.0.1:" + this.server.port(), "domain-a", 1,
				this.nowMillis.incrementAndGet(), Double.POSITIVE_INFINITY);
		EndpointRequest request = new EndpointRequest("r1", "POST", "example", "/", List.of(), null, "e1", 1_000, 0,
				ByteBuffer.allocate(1));
		Either<HttpFailure, EndpointExchanges.EndpointExchange> result = this.exchanges.open(grant, request,
				ExchangeOptions.of(true, 10_000), (abort) -> {
				});
		result.forEach((exchange) -> exchange.http().close());
		return result;
	}

	private static void setHeader(ClassicHttpResponse response, String name, @Nullable String value) {
		if (value != null) {
			response.setHeader(name, value);
		}
	}

	/**
	 * Protocol whose responses carry their values in headers of the same name.
	 */
	private static final class HeaderProtocol implements EndpointProtocol {

		@Override
		public ClassicHttpRequest encodeRequest(EndpointRequest call) {
			ClassicHttpRequest request = new BasicClassicHttpRequest(call.method(), call.path());
			request.setHeader(ID, call.id());
			return request;
		}

		@Override
		public EndpointResponse decodeHead(ClassicHttpResponse response) {
			String rate = value(response, RATE);
			boolean misdirected = response.getCode() == MISDIRECTED;
			return new EndpointResponse(response.getCode(), value(response, ID), misdirected, misdirected, false,
					(rate != null) ? Double.parseDouble(rate) : Double.POSITIVE_INFINITY, null, value(response, SEAL),
					0, List.of());
		}

		@Override
		public long parseVersionLine(String line) {
			return 0;
		}

		@Override
		public long maxOutputTokens(Map<String, String> headers) {
			return Long.MAX_VALUE;
		}

		private static @Nullable String value(ClassicHttpResponse response, String name) {
			return response.containsHeader(name) ? Objects.requireNonNull(response.getFirstHeader(name)).getValue()
					: null;
		}

	}

}
