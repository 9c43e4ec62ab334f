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
 * first event reaches the caller is retried at another endpoint; a later failure ends the
 * stream with an error event.
 * <p>
 * Thread-safe.
 */
public final class CompletionRoute implements CallerRoute {

	/** The path of this route. */
	public static final String PATH = "/v1/completions";

	private static final Logger LOG = LoggerFactory.getLogger(CompletionRoute.class);

	/** Maximum length of the text of a response that is not streamed, in characters. */
	private static final int MAX_TEXT_CHARS = 4 * 1_048_576;

	private final LiveConfiguration configuration;

	private final CreditSource credits;

	private final HttpEngineClient engines;

	private final RunningStreams runningStreams;

	private final UsageMeter usageMeter;

	private final RetryBudget retryBudget;

	private final Counters counters;

	private final ProblemResponder problems;

	private CompletionRoute(LiveConfiguration configuration, CreditSource credits, HttpEngineClient engines,
			RunningStreams running, UsageMeter usage, RetryBudget budget, Counters counters) {
		this.configuration = Objects.requireNonNull(configuration, "configuration");
		this.credits = Objects.requireNonNull(credits, "credits");
		this.engines = Objects.requireNonNull(engines, "engines");
		this.runningStreams = Objects.requireNonNull(running, "running");
		this.usageMeter = Objects.requireNonNull(usage, "usage");
		this.retryBudget = Objects.requireNonNull(budget, "budget");
		this.counters = Objects.requireNonNull(counters, "counters");
		this.problems = ProblemResponder.of(counters);
	}

	/**
	 * Creates the route.
	 * @param configuration the configuration
	 * @param credits admits requests
	 * @param engines the model engines
	 * @param running the open streams of this host
	 * @param usage counts complete responses
	 * @param budget the retry budget, shared by all routes
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
		this.retryBudget.recordRequest();
		WorkspaceId workspace = Objects.requireNonNull(request.workspace(), "workspace");
		Either<Refusal, CompletionRequest> completionRequest = CompletionRequest.parse(request.body())
			.flatMap((parsed) -> this.configuration.authorize(workspace, parsed.service())
				.flatMap((service) -> (service.kind() == Inventory.ServiceKind.MODEL) ? Either.right(parsed)
						: Either.left(Refusal.notExecuted(RefusalReason.NO_SUCH_ROUTE,
								"service " + service.name() + " is not a model service"))));
		if (completionRequest.isLeft()) {
			refuse(request, responder, completionRequest.getLeft());
			return;
		}
		Completion completion = new Completion(request, workspace, completionRequest.get());
		if (completionRequest.get().stream()) {
			completion.sendStream(responder);
		}
		else {
			completion.sendComplete(responder);
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
	 * The attempts of one request. Not thread-safe.
	 */
	private final class Completion extends RequestAttempts {

		private final WorkspaceId workspace;

		private final CompletionRequest completionRequest;

		private Completion(CallerRequest request, WorkspaceId workspace, CompletionRequest completionRequest) {
			super(request, CompletionRoute.this.credits, CompletionRoute.this.retryBudget,
					CompletionRoute.this.counters);
			this.workspace = workspace;
			this.completionRequest = completionRequest;
		}

		private void sendStream(Responder responder) throws HttpException, IOException {
			Either<Refusal, EngineAttempt> opened = openStream();
			if (opened.isLeft()) {
				refuse(request(), responder, opened.getLeft());
				return;
			}
			EngineAttempt attempt = opened.get();
			try {
				BasicClassicHttpResponse response = new BasicClassicHttpResponse(HttpStatus.SC_OK);
				response.setHeader("Cache-Control", "no-store");
				response.setEntity(new EventStreamEntity((out) -> relay(attempt, out)));
				responder.send(response);
			}
			finally {
				attempt.close();
			}
		}

		private void sendComplete(Responder responder) throws HttpException, IOException {
			while (true) {
				Either<Refusal, EngineAttempt> opened = openStream();
				if (opened.isLeft()) {
					refuse(request(), responder, opened.getLeft());
					return;
				}
				try (EngineAttempt attempt = opened.get()) {
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
		 * Makes attempts until one has delivered its first event or has ended completely
		 * without events.
		 * @return the attempt, which the caller closes, or the refusal
		 */
		private Either<Refusal, EngineAttempt> openStream() {
			while (true) {
				Either<Refusal, Credit> credit = acquire(
						(excluded) -> new RouteRequest(this.completionRequest.service(), this.workspace, true, true,
								this.completionRequest.prefixHash(this.workspace),
								this.completionRequest.expectedTokens(), this.completionRequest.line(), excluded));
				if (credit.isLeft()) {
					return Either.left(credit.getLeft());
				}
				EngineAttempt attempt = new EngineAttempt(CompletionRoute.this.engines,
						CompletionRoute.this.runningStreams, credit.get(),
						this.completionRequest.toEngineRequest(attemptId(), this.workspace), request());
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
			boolean notExecuted = failure instanceof EngineFailure.NotSent || failure instanceof EngineFailure.Refused;
			recordFailure(attempt.credit().endpoint(), !notExecuted);
			if (!isKeyValid()) {
				if (!notExecuted) {
					attempt.cancelAtEngine();
				}
				return keyWithdrawn();
			}
			if (failure instanceof EngineFailure.Refused refused
					&& refused.status() < HttpStatus.SC_TOO_MANY_REQUESTS) {
				return withExecutionState(Refusal.notExecuted(RefusalReason.BAD_REQUEST, failure.detail()));
			}
			if (tryAcquireRetry(retryReason(failure))) {
				return null;
			}
			return notExecuted ? noEndpoint(failure.detail())
					: Refusal.executionUnknown(RefusalReason.ENDPOINT_FAILED, failure.detail());
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
					return Either.right(completionBody(finish(attempt), text.toString(), versions));
				}
				EngineEvent event = next.get().get();
				if (text.length() + event.text().length() > MAX_TEXT_CHARS) {
					return Either.left(new EngineFailure.InvalidEvent(
							"the completion text exceeds " + MAX_TEXT_CHARS + " characters"));
				}
				text.append(event.text());
				addSpan(versions, event);
			}
		}

		private void addSpan(List<Map<String, Object>> versions, EngineEvent event) {
			String version = String.valueOf(event.weightVersion());
			Map<String, Object> last = versions.isEmpty() ? null : versions.get(versions.size() - 1);
			if (last != null && version.equals(last.get("weight_version"))) {
				last.merge("tokens", event.tokens(), (sum, added) -> (Integer) sum + (Integer) added);
				return;
			}
			Map<String, Object> span = new LinkedHashMap<>();
			span.put("weight_version", version);
			span.put("tokens", event.tokens());
			versions.add(span);
		}

		private Finish finish(EngineAttempt attempt) {
			Finish finish = attempt.finish();
			CompletionRoute.this.usageMeter.recordUsage(this.workspace, this.completionRequest.service(),
					finish.tokens());
			return finish;
		}

		private Map<String, Object> completionBody(Finish finish, String text, List<Map<String, Object>> versions) {
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
			chunk.put("model", this.completionRequest.service().value());
			chunk.put("choices", List.of(choice));
			return chunk;
		}

		private void relay(EngineAttempt attempt, OutputStream out) throws IOException {
			ChunkWriter writer = new ChunkWriter(request().requestId(), this.completionRequest.service().value());
			while (true) {
				Either<EngineFailure, Option<EngineEvent>> next = attempt.next();
				if (!isKeyValid()) {
					attempt.cancel(Credit.Outcome.UNUSED);
					writeError(out, Refusal.executionUnknown(RefusalReason.WITHDRAWN_KEY, "the key was withdrawn"));
					return;
				}
				if (next.isLeft()) {
					log("stream.failed", request(), next.getLeft().code());
					attempt.fail();
					writeError(out, Refusal.executionUnknown(RefusalReason.ENDPOINT_FAILED, next.getLeft().detail()));
					return;
				}
				if (next.get().isEmpty()) {
					Finish finish = finish(attempt);
					Map<String, Object> last = chunk("", finish.reason());
					last.put("usage", Map.of("completion_tokens", finish.tokens()));
					writeData(out, Json.bytes(last));
					writeData(out, "[DONE]".getBytes(StandardCharsets.US_ASCII));
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

		private void writeError(OutputStream out, Refusal refusal) throws IOException {
			CompletionRoute.this.counters.refusal(refusal.reason()).inc();
			log("stream.ended-in-error", request(), refusal.code());
			out.write("event: error\n".getBytes(StandardCharsets.US_ASCII));
			writeData(out, Json.bytes(Map.of("error", ProblemResponder.body(request().requestId(), refusal))));
			out.flush();
		}

		private void writeData(OutputStream out, byte[] data) throws IOException {
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
