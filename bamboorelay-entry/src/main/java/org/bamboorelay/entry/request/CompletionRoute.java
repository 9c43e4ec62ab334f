package org.bamboorelay.entry.request;

import java.io.IOException;
import java.io.OutputStream;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;

import io.vavr.control.Either;
import io.vavr.control.Option;
import org.apache.hc.core5.http.HttpException;
import org.apache.hc.core5.http.HttpStatus;
import org.apache.hc.core5.http.message.BasicClassicHttpResponse;
import org.bamboorelay.core.failure.Refusal;
import org.bamboorelay.core.failure.RefusalReason;
import org.bamboorelay.core.failure.RetryReason;
import org.bamboorelay.core.request.RetryBudget;
import org.bamboorelay.core.version.Inventory;
import org.bamboorelay.core.version.LiveConfiguration;
import org.bamboorelay.core.version.WorkspaceId;
import org.bamboorelay.entry.connection.EngineClient.EngineEvent;
import org.bamboorelay.entry.connection.EngineClient.Finish;
import org.bamboorelay.entry.connection.EngineFailure;
import org.bamboorelay.entry.connection.HttpEngineClient;
import org.bamboorelay.entry.process.UsageMeter;
import org.bamboorelay.runtime.connection.HttpListener.Responder;
import org.bamboorelay.runtime.process.Counters;
import org.bamboorelay.runtime.request.Json;
import org.jspecify.annotations.Nullable;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Serves interactive completions, {@code POST /v1/completions}. A failure before the
 * first event reaches the caller is retried elsewhere; a later one ends the stream in an
 * error event.
 * <p>
 * Thread-safe.
 */
public final class CompletionRoute implements CallerRoute {

	/** The path of this route. */
	public static final String PATH = "/v1/completions";

	private static final Logger LOG = LoggerFactory.getLogger(CompletionRoute.class);

	/** The longest text of an answer that is not streamed, in characters. */
	private static final int MAX_TEXT_CHARS = 4 * 1_048_576;

	private final LiveConfiguration configuration;

	private final CreditSource credits;

	private final HttpEngineClient engines;

	private final RunningStreams running;

	private final UsageMeter usage;

	private final RetryBudget budget;

	private final Counters counters;

	private final Problems problems;

	private CompletionRoute(LiveConfiguration configuration, CreditSource credits, HttpEngineClient engines,
			RunningStreams running, UsageMeter usage, RetryBudget budget, Counters counters) {
		this.configuration = Objects.requireNonNull(configuration, "configuration");
		this.credits = Objects.requireNonNull(credits, "credits");
		this.engines = Objects.requireNonNull(engines, "engines");
		this.running = Objects.requireNonNull(running, "running");
		this.usage = Objects.requireNonNull(usage, "usage");
		this.budget = Objects.requireNonNull(budget, "budget");
		this.counters = Objects.requireNonNull(counters, "counters");
		this.problems = Problems.of(counters);
	}

	/**
	 * Creates the route.
	 * @param configuration the configuration
	 * @param credits admits requests
	 * @param engines the model engines
	 * @param running the streams that run at this host
	 * @param usage counts whole answers
	 * @param budget the budget of retries, shared by all routes
	 * @param counters the process's metrics
	 * @return the route
	 */
	public static CompletionRoute of(LiveConfiguration configuration, CreditSource credits, HttpEngineClient engines,
			RunningStreams running, UsageMeter usage, RetryBudget budget, Counters counters) {
		return new CompletionRoute(configuration, credits, engines, running, usage, budget, counters);
	}

	@Override
	public boolean accepts(String method, String path) {
		return "POST".equals(method) && PATH.equals(path);
	}

	@Override
	public void serve(CallerRequest request, Responder responder) throws HttpException, IOException {
		this.budget.requested();
		WorkspaceId workspace = Objects.requireNonNull(request.workspace(), "workspace");
		Either<Refusal, CompletionRequest> wanted = CompletionRequest.parse(request.body())
			.flatMap((parsed) -> this.configuration.authorize(workspace, parsed.service())
				.flatMap((service) -> (service.kind() == Inventory.ServiceKind.MODEL) ? Either.right(parsed)
						: Either.left(Refusal.notRun(RefusalReason.NO_SUCH_ROUTE,
								"service " + service.name() + " is not a model"))));
		if (wanted.isLeft()) {
			refuse(request, responder, wanted.getLeft());
			return;
		}
		Completion completion = new Completion(request, workspace, wanted.get());
		if (wanted.get().stream()) {
			completion.stream(responder);
		}
		else {
			completion.whole(responder);
		}
	}

	private void refuse(CallerRequest request, Responder responder, Refusal refusal) throws HttpException, IOException {
		RequestAttempts.logRefused(request, refusal);
		this.problems.send(responder, request.requestId(), refusal);
	}

	private static void log(String event, CallerRequest request, String reason) {
		LOG.atInfo()
			.addKeyValue("event", event)
			.addKeyValue("request_id", request.requestId())
			.addKeyValue("reason", reason)
			.log(event);
	}

	/**
	 * The attempts of one request. Used by one thread.
	 */
	private final class Completion extends RequestAttempts {

		private final WorkspaceId workspace;

		private final CompletionRequest wanted;

		private Completion(CallerRequest request, WorkspaceId workspace, CompletionRequest wanted) {
			super(request, CompletionRoute.this.credits, CompletionRoute.this.budget, CompletionRoute.this.counters);
			this.workspace = workspace;
			this.wanted = wanted;
		}

		private void stream(Responder responder) throws HttpException, IOException {
			Either<Refusal, EngineAttempt> first = firstEvent();
			if (first.isLeft()) {
				refuse(request(), responder, first.getLeft());
				return;
			}
			EngineAttempt attempt = first.get();
			try {
				BasicClassicHttpResponse response = new BasicClassicHttpResponse(HttpStatus.SC_OK);
				response.setHeader("Cache-Control", "no-store");
				response.setEntity(new EventEntity((out) -> relay(attempt, out)));
				responder.send(response);
			}
			finally {
				attempt.close();
			}
		}

		private void whole(Responder responder) throws HttpException, IOException {
			while (true) {
				Either<Refusal, EngineAttempt> first = firstEvent();
				if (first.isLeft()) {
					refuse(request(), responder, first.getLeft());
					return;
				}
				try (EngineAttempt attempt = first.get()) {
					Either<EngineFailure, Map<String, Object>> answer = collect(attempt);
					if (answer.isRight()) {
						responder.send(HttpStatus.SC_OK, "application/json", Json.text(answer.get()));
						return;
					}
					Refusal refusal = retryOrRefusal(attempt, answer.getLeft());
					if (refusal != null) {
						refuse(request(), responder, refusal);
						return;
					}
				}
			}
		}

		/**
		 * Makes attempts until one has its first event, or ended whole without any.
		 * @return the attempt, which the caller closes, or the refusal
		 */
		private Either<Refusal, EngineAttempt> firstEvent() {
			while (true) {
				Either<Refusal, Credit> credit = acquire((excluded) -> new RouteRequest(this.wanted.service(),
						this.workspace, true, true, this.wanted.prefixHash(this.workspace),
						this.wanted.expectedTokens(), this.wanted.line(), excluded));
				if (credit.isLeft()) {
					return Either.left(credit.getLeft());
				}
				EngineAttempt attempt = new EngineAttempt(CompletionRoute.this.engines, CompletionRoute.this.running,
						credit.get(), this.wanted.toEngine(attemptId(), this.workspace), request());
				Either<EngineFailure, Boolean> started = attempt.start();
				if (started.isRight()) {
					return Either.right(attempt);
				}
				attempt.close();
				Refusal refusal = retryOrRefusal(attempt, started.getLeft());
				if (refusal != null) {
					return Either.left(refusal);
				}
			}
		}

		private @Nullable Refusal retryOrRefusal(EngineAttempt attempt, EngineFailure failure) {
			boolean notRun = failure instanceof EngineFailure.NotSent || failure instanceof EngineFailure.Refused;
			failed(attempt.credit().endpoint(), !notRun);
			if (!isAllowed()) {
				if (!notRun) {
					attempt.cancelAtEngine();
				}
				return withdrawn();
			}
			if (failure instanceof EngineFailure.Refused refused
					&& refused.status() < HttpStatus.SC_TOO_MANY_REQUESTS) {
				return truthful(Refusal.notRun(RefusalReason.BAD_REQUEST, failure.detail()));
			}
			if (tryAgain(retryReason(failure))) {
				return null;
			}
			return notRun ? noEndpoint(failure.detail())
					: Refusal.runUnknown(RefusalReason.ENDPOINT_FAILED, failure.detail());
		}

		private Either<EngineFailure, Map<String, Object>> collect(EngineAttempt attempt) {
			StringBuilder text = new StringBuilder();
			List<Map<String, Object>> versions = new ArrayList<>();
			while (true) {
				Either<EngineFailure, Option<EngineEvent>> next = attempt.next();
				if (next.isLeft()) {
					return Either.left(next.getLeft());
				}
				if (next.get().isEmpty()) {
					return Either.right(answer(finish(attempt), text.toString(), versions));
				}
				EngineEvent event = next.get().get();
				if (text.length() + event.text().length() > MAX_TEXT_CHARS) {
					return Either.left(
							new EngineFailure.WrongAnswer("the text has more than " + MAX_TEXT_CHARS + " characters"));
				}
				text.append(event.text());
				addVersion(versions, event);
			}
		}

		private void addVersion(List<Map<String, Object>> versions, EngineEvent event) {
			String version = String.valueOf(event.weightVersion());
			Map<String, Object> last = versions.isEmpty() ? null : versions.get(versions.size() - 1);
			if (last != null && version.equals(last.get("weight_version"))) {
				last.merge("tokens", event.tokens(), (sum, more) -> (Integer) sum + (Integer) more);
				return;
			}
			Map<String, Object> span = new LinkedHashMap<>();
			span.put("weight_version", version);
			span.put("tokens", event.tokens());
			versions.add(span);
		}

		private Finish finish(EngineAttempt attempt) {
			Finish finish = attempt.finish();
			CompletionRoute.this.usage.served(this.workspace, this.wanted.service(), finish.tokens());
			return finish;
		}

		private Map<String, Object> answer(Finish finish, String text, List<Map<String, Object>> versions) {
			Map<String, Object> answer = chunk(text, finish.reason());
			answer.put("usage", Map.of("completion_tokens", finish.tokens()));
			answer.put("weight_versions", versions);
			return answer;
		}

		private Map<String, Object> chunk(String text, @Nullable String finishReason) {
			Map<String, Object> choice = new LinkedHashMap<>();
			choice.put("index", 0);
			choice.put("text", text);
			choice.put("finish_reason", finishReason);
			Map<String, Object> chunk = new LinkedHashMap<>();
			chunk.put("id", request().requestId());
			chunk.put("object", "text_completion");
			chunk.put("model", this.wanted.service().value());
			chunk.put("choices", List.of(choice));
			return chunk;
		}

		private void relay(EngineAttempt attempt, OutputStream out) throws IOException {
			ChunkWriter writer = new ChunkWriter(request().requestId(), this.wanted.service().value());
			while (true) {
				Either<EngineFailure, Option<EngineEvent>> next = attempt.next();
				if (!isAllowed()) {
					attempt.cancel(Credit.Outcome.UNUSED);
					error(out, Refusal.runUnknown(RefusalReason.WITHDRAWN_KEY, "the key was withdrawn"));
					return;
				}
				if (next.isLeft()) {
					log("stream.failed", request(), next.getLeft().code());
					attempt.fail();
					error(out, Refusal.runUnknown(RefusalReason.ENDPOINT_FAILED, next.getLeft().detail()));
					return;
				}
				if (next.get().isEmpty()) {
					Finish finish = finish(attempt);
					Map<String, Object> last = chunk("", finish.reason());
					last.put("usage", Map.of("completion_tokens", finish.tokens()));
					write(out, Json.bytes(last));
					write(out, "[DONE]".getBytes(StandardCharsets.US_ASCII));
					out.flush();
					return;
				}
				EngineEvent event = next.get().get();
				try {
					writer.write(event.text(), event.weightVersion(), out);
					if (!attempt.isBuffered()) {
						out.flush();
					}
				}
				catch (IOException ex) {
					log("stream.caller-gone", request(), "caller-gone");
					attempt.cancel(Credit.Outcome.UNUSED);
					throw ex;
				}
			}
		}

		private void error(OutputStream out, Refusal refusal) throws IOException {
			CompletionRoute.this.counters.refusal(refusal.reason()).inc();
			log("stream.ended-in-error", request(), refusal.code());
			out.write("event: error\n".getBytes(StandardCharsets.US_ASCII));
			write(out, Json.bytes(Map.of("error", Problems.body(request().requestId(), refusal))));
			out.flush();
		}

		private void write(OutputStream out, byte[] data) throws IOException {
			out.write("data: ".getBytes(StandardCharsets.US_ASCII));
			out.write(data);
			out.write("\n\n".getBytes(StandardCharsets.US_ASCII));
		}

		private static RetryReason retryReason(EngineFailure failure) {
			if (failure instanceof EngineFailure.NotSent) {
				return RetryReason.CONNECT_FAILED;
			}
			if (failure instanceof EngineFailure.Refused) {
				return RetryReason.ENDPOINT_REFUSED;
			}
			return (failure instanceof EngineFailure.Truncated) ? RetryReason.STREAM_TRUNCATED
					: RetryReason.EXCHANGE_FAILED;
		}

	}

}
