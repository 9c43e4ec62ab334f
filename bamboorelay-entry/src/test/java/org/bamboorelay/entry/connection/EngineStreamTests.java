package org.bamboorelay.entry.connection;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicReference;

import io.vavr.control.Either;
import org.bamboorelay.core.version.ServiceId;
import org.bamboorelay.runtime.connection.HttpConnectionPool;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Guards against streams with lost, duplicated or foreign events that are accepted as
 * complete.
 */
@Timeout(30)
class EngineStreamTests {

	private static final String FIRST = event("$ID", 0, "");

	private static final String LAST = event("$ID", 1, ",\"finish_reason\":\"stop\"");

	private static final String DONE = "data: [DONE]\n\n";

	private final List<EngineClient.EngineEvent> events = new ArrayList<>();

	@Test
	void completeStreamEndsWithItsTokenCount() throws IOException {
		Either<EngineFailure, EngineClient.Finish> result = run(FIRST + LAST + DONE, true);
		assertThat(result.get().reason()).isEqualTo("stop");
		assertThat(result.get().tokens()).isEqualTo(4);
		assertThat(this.events).hasSize(2);
	}

	@Test
	void duplicatedEventIsInvalid() throws IOException {
		assertThat(run(FIRST + FIRST + LAST + DONE, true).getLeft()).isInstanceOf(EngineFailure.InvalidEvent.class);
	}

	@Test
	void streamWithMissingEventIsInvalid() throws IOException {
		assertThat(run(LAST + DONE, true).getLeft()).isInstanceOf(EngineFailure.InvalidEvent.class);
	}

	@Test
	void eventOfAnotherRequestIsInvalid() throws IOException {
		assertThat(run(FIRST + event("other", 1, "") + LAST + DONE, true).getLeft())
			.isInstanceOf(EngineFailure.InvalidEvent.class);
		assertThat(this.events).hasSize(1);
	}

	@Test
	void streamWithoutLastEventDoneOrFramingIsTruncated() throws IOException {
		assertThat(run(FIRST + DONE, true).getLeft()).isInstanceOf(EngineFailure.Truncated.class);
		assertThat(run(FIRST + LAST, true).getLeft()).isInstanceOf(EngineFailure.Truncated.class);
		assertThat(run(FIRST + LAST + DONE, false).getLeft()).isInstanceOf(EngineFailure.Truncated.class);
		assertThat(run(FIRST + LAST.substring(0, 20), true).getLeft()).isInstanceOf(EngineFailure.Truncated.class);
	}

	@Test
	void errorStatusIsARefusalOnlyWithNotRunHeader() throws IOException {
		assertThat(response("503 Busy", "").getLeft()).isInstanceOf(EngineFailure.Truncated.class);
		assertThat(response("503 Busy", "X-Not-Run: true\r\n").getLeft()).isInstanceOf(EngineFailure.Refused.class);
		assertThat(response("503 Busy", "X-Not-Run: no\r\n").getLeft()).isInstanceOf(EngineFailure.Truncated.class);
	}

	/** Guards against a refusal of another request that restarts a running one. */
	@Test
	void errorStatusOfAnotherRequestIsNoRefusal() throws IOException {
		String id = "X-Request-Id: another\r\n";
		assertThat(response("503 Busy", "X-Not-Run: true\r\n" + id).getLeft())
			.isInstanceOf(EngineFailure.Truncated.class);
		assertThat(response("422 Unprocessable", id).getLeft()).isInstanceOf(EngineFailure.Truncated.class);
	}

	@Test
	void requestIsCancelledAtTheEngineWhenTheListenerReturnsFalse() throws Exception {
		try (RawEndpoint engine = new RawEndpoint((request, count) -> RawEndpoint.stream(request, FIRST + LAST, true));
				HttpConnectionPool pool = new HttpConnectionPool()) {
			List<Runnable> cancellations = new ArrayList<>();
			HttpEngineClient client = HttpEngineClient.of(pool, cancellations::add);
			assertThat(client.stream(engine.address(), request(), (event) -> false).get().reason())
				.isEqualTo("cancelled");
			cancellations.forEach(Runnable::run);
			assertThat(engine.requests().get(1).head()).startsWith("POST /requests/request-1/cancel ");
		}
	}

	/**
	 * Guards against a stream that cannot be aborted while its engine sends nothing,
	 * either before the head of the response or after the first event.
	 */
	@ParameterizedTest
	@ValueSource(booleans = { true, false })
	@Timeout(20)
	void abortOfASilentStreamTakesEffectImmediately(boolean beforeTheHead) throws Exception {
		CountDownLatch engineReleased = new CountDownLatch(1);
		CountDownLatch requestReceived = new CountDownLatch(1);
		try (RawEndpoint engine = new RawEndpoint(new SilentEngine(beforeTheHead, requestReceived, engineReleased));
				HttpConnectionPool pool = new HttpConnectionPool()) {
			List<Runnable> cancellations = new CopyOnWriteArrayList<>();
			HttpEngineClient client = HttpEngineClient.of(pool, cancellations::add);
			AtomicReference<Runnable> abort = new AtomicReference<>();
			CompletableFuture<Either<EngineFailure, EngineClient.Finish>> result = CompletableFuture
				.supplyAsync(() -> client.stream(engine.address(), request(), new EngineClient.Listener() {

					@Override
					public boolean onEvent(EngineClient.EngineEvent event) {
						requestReceived.countDown();
						return true;
					}

					@Override
					public void onOpen(Runnable task) {
						abort.set(task);
					}

				}));
			assertThat(requestReceived.await(10, TimeUnit.SECONDS)).isTrue();
			abort.get().run();
			assertThat(result.get(5, TimeUnit.SECONDS).get().reason()).isEqualTo("cancelled");
			assertThat(cancellations).hasSize(1);
		}
		finally {
			engineReleased.countDown();
		}
	}

	private Either<EngineFailure, EngineClient.Finish> run(String body, boolean whole) throws IOException {
		return run((request, count) -> RawEndpoint.stream(request, body, whole));
	}

	private Either<EngineFailure, EngineClient.Finish> response(String status, String header) throws IOException {
		return run((request, count) -> RawEndpoint.ok(request, status, "busy")
			.replace("Content-Length", header + "Content-Length"));
	}

	private Either<EngineFailure, EngineClient.Finish> run(RawEndpoint.Responder responder) throws IOException {
		this.events.clear();
		try (RawEndpoint engine = new RawEndpoint(responder);
				HttpConnectionPool pool = HttpConnectionPool.builder()
					.requestIdHeader(HttpEngineClient.REQUEST_ID_HEADER)
					.build()) {
			return HttpEngineClient.of(pool, Runnable::run).stream(engine.address(), request(), (event) -> {
				this.events.add(event);
				return true;
			});
		}
	}

	private static EngineClient.EngineRequest request() {
		return new EngineClient.EngineRequest("request-1", ServiceId.of("modelo-huerto"), "hola", 4, true, null, "salt",
				"", 0, 7);
	}

	private static String event(String id, int index, String moreFields) {
		return "data: {\"id\":\"" + id + "\",\"index\":" + index + ",\"text\":\" t\",\"tokens\":2" + moreFields
				+ "}\n\n";
	}

	private record SilentEngine(boolean beforeTheHead, CountDownLatch requestReceived,
			CountDownLatch engineReleased) implements RawEndpoint.Responder {

		@Override
		public String response(RawHttpMessage request, int count) {
			if (this.beforeTheHead) {
				this.requestReceived.countDown();
				beforeClose();
				return null;
			}
			return RawEndpoint.stream(request, FIRST, false);
		}

		@Override
		public void beforeClose() {
			try {
				this.engineReleased.await();
			}
			catch (InterruptedException ex) {
				Thread.currentThread().interrupt();
			}
		}

	}

}
