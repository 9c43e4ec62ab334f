package org.bamboorelay.entry.connection;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;

import io.vavr.control.Either;
import org.bamboorelay.core.version.ServiceId;
import org.bamboorelay.runtime.connection.HttpConnectionPool;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Guards against streams that lost, repeated or mixed up their events and still count as
 * whole.
 */
@Timeout(30)
class EngineStreamTests {

	private static final String FIRST = event("$ID", 0, "");

	private static final String LAST = event("$ID", 1, ",\"finish_reason\":\"stop\"");

	private static final String DONE = "data: [DONE]\n\n";

	private final List<EngineClient.EngineEvent> events = new ArrayList<>();

	@Test
	void wholeStreamEndsWithItsTokens() throws IOException {
		Either<EngineFailure, EngineClient.Finish> result = run(FIRST + LAST + DONE, true);
		assertThat(result.get().reason()).isEqualTo("stop");
		assertThat(result.get().tokens()).isEqualTo(4);
		assertThat(this.events).hasSize(2);
	}

	@Test
	void doubledEventIsWrong() throws IOException {
		assertThat(run(FIRST + FIRST + LAST + DONE, true).getLeft()).isInstanceOf(EngineFailure.WrongAnswer.class);
	}

	@Test
	void missingEventIsWrong() throws IOException {
		assertThat(run(LAST + DONE, true).getLeft()).isInstanceOf(EngineFailure.WrongAnswer.class);
	}

	@Test
	void eventOfAnotherRequestIsWrong() throws IOException {
		assertThat(run(FIRST + event("other", 1, "") + LAST + DONE, true).getLeft())
			.isInstanceOf(EngineFailure.WrongAnswer.class);
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
	void engineThatAnswersOnlyBusyMayHaveRunTheRequest() throws IOException {
		assertThat(answer("503 Busy", "").getLeft()).isInstanceOf(EngineFailure.Truncated.class);
		assertThat(answer("503 Busy", "X-Not-Run: true\r\n").getLeft()).isInstanceOf(EngineFailure.Refused.class);
		assertThat(answer("503 Busy", "X-Not-Run: no\r\n").getLeft()).isInstanceOf(EngineFailure.Truncated.class);
	}

	@Test
	void listenerCancelsAtTheEngine() throws Exception {
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

	private Either<EngineFailure, EngineClient.Finish> run(String body, boolean whole) throws IOException {
		return run((request, count) -> RawEndpoint.stream(request, body, whole));
	}

	private Either<EngineFailure, EngineClient.Finish> answer(String status, String header) throws IOException {
		return run((request, count) -> RawEndpoint.ok(request, status, "busy")
			.replace("Content-Length", header + "Content-Length"));
	}

	private Either<EngineFailure, EngineClient.Finish> run(RawEndpoint.Answers answers) throws IOException {
		this.events.clear();
		try (RawEndpoint engine = new RawEndpoint(answers); HttpConnectionPool pool = new HttpConnectionPool()) {
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

	private static String event(String id, int index, String more) {
		return "data: {\"id\":\"" + id + "\",\"index\":" + index + ",\"text\":\" t\",\"tokens\":2" + more + "}\n\n";
	}

}
