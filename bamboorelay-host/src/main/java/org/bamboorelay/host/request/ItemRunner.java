package org.bamboorelay.host.request;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.List;
import java.util.Objects;
import java.util.concurrent.TimeUnit;
import java.util.function.Supplier;

import io.vavr.control.Either;
import io.vavr.control.Option;
import org.apache.hc.core5.http.Header;
import org.apache.hc.core5.http.message.BasicHeader;
import org.bamboorelay.core.process.EndpointTable;
import org.bamboorelay.core.process.ItemWork;
import org.bamboorelay.core.process.MigrationReason;
import org.bamboorelay.core.request.EnginePriority;
import org.bamboorelay.core.request.LengthEstimate;
import org.bamboorelay.core.request.RequestOrigin;
import org.bamboorelay.core.request.Submission;
import org.bamboorelay.core.request.SubmissionItem;
import org.bamboorelay.core.request.SubmissionState;
import org.bamboorelay.core.time.Clock;
import org.bamboorelay.core.version.RouteRule;
import org.bamboorelay.core.version.RoutingTable;
import org.bamboorelay.host.connection.EndpointProtocol;
import org.bamboorelay.host.connection.EndpointRequest;
import org.bamboorelay.host.connection.EndpointResponse;
import org.bamboorelay.host.connection.PromptTokens;
import org.bamboorelay.host.process.EventLog;
import org.bamboorelay.runtime.connection.ExchangeOptions;
import org.bamboorelay.runtime.connection.HttpExchange;
import org.bamboorelay.runtime.connection.HttpFailure;
import org.bamboorelay.runtime.process.Counters;
import org.jspecify.annotations.Nullable;

/**
 * Runs an item of a submission on an endpoint, and requests the score of the generated
 * text.
 * <p>
 * Thread-safe; each run uses one thread.
 */
public final class ItemRunner {

	/**
	 * Maximum time between two complete events, in milliseconds, even if bytes arrive in
	 * between. An engine pauses its runs while it loads weights, for about a second.
	 */
	private static final int EVENT_TIMEOUT_MILLIS = 2_000;

	/** Status with which an endpoint rejects an item that can never be completed. */
	private static final int STATUS_UNPROCESSABLE = 422;

	/** Status with which an endpoint reports a failed run. */
	private static final int STATUS_SERVER_ERROR = 500;

	/** Timeout of a score call, in milliseconds. */
	private static final long SCORE_TIMEOUT_MILLIS = 1_500;

	/** Delay before a score call is retried, in milliseconds. */
	private static final long SCORE_RETRY_DELAY_MILLIS = 20;

	/**
	 * Delay before a score call is retried if all endpoints limit their rate, in
	 * milliseconds.
	 */
	private static final long RATE_LIMITED_SCORE_RETRY_DELAY_MILLIS = 200;

	/**
	 * Maximum number of events that carry no token, such as one that marks the end of the
	 * text.
	 */
	private static final int MAX_EVENTS_WITHOUT_TOKENS = 8;

	/** Number of events over which the pace of an endpoint is measured. */
	private static final int EVENTS_PER_PACE_SAMPLE = 4;

	private final EndpointTable table;

	private final LengthEstimate lengths = new LengthEstimate();

	private final EndpointProtocol protocol;

	private final EndpointExchanges exchanges;

	private final EndpointClient endpointClient;

	private final Supplier<@Nullable RoutingTable> routing;

	private final Clock clock;

	private final Counters counters;

	private final EventLog log;

	/**
	 * Creates a runner.
	 * @param table the table of endpoints
	 * @param protocol decodes the headers and events of items
	 * @param exchanges sends requests to single endpoints
	 * @param endpointClient makes score calls
	 * @param routing supplies the current routes; null until they have been read
	 * @param clock the monotonic clock of the process
	 * @param counters the metrics of the process
	 * @param log the log of the process
	 */
	public ItemRunner(EndpointTable table, EndpointProtocol protocol, EndpointExchanges exchanges,
			EndpointClient endpointClient, Supplier<@Nullable RoutingTable> routing, Clock clock, Counters counters,
			EventLog log) {
		this.table = Objects.requireNonNull(table, "table");
		this.protocol = Objects.requireNonNull(protocol, "protocol");
		this.exchanges = Objects.requireNonNull(exchanges, "exchanges");
		this.endpointClient = Objects.requireNonNull(endpointClient, "endpointClient");
		this.routing = Objects.requireNonNull(routing, "routing");
		this.clock = Objects.requireNonNull(clock, "clock");
		this.counters = Objects.requireNonNull(counters, "counters");
		this.log = Objects.requireNonNull(log, "log");
	}

	/**
	 * Returns the estimate of the lengths of items, from those that were completed.
	 * @return the estimate
	 */
	LengthEstimate lengths() {
		return this.lengths;
	}

	/**
	 * Returns the work of a run.
	 * @param state the submission
	 * @param run the run
	 * @return the work that remains
	 */
	ItemWork work(SubmissionState state, SubmissionState.Run run) {
		return work(state, run.item()).after(run.after());
	}

	private ItemWork work(SubmissionState state, SubmissionItem item) {
		PromptTokens prompt = this.protocol.promptTokens(item.headers());
		long expectedEvents = Math.min(Math.round(this.lengths.remainingEvents(item.expectedUnits(), 0)),
				this.protocol.maxOutputTokens(item.headers()));
		String group = item.group().isEmpty() ? "" : state.submission().workspace() + '/' + item.group();
		return new ItemWork(prompt.total(), prompt.shared(), Math.max(0, item.tokens()), expectedEvents, group,
				state.isLastWaitingOfGroup(item.id()));
	}

	/**
	 * Runs an item until its run ends, and requests the score if the text is complete.
	 * @param active the submission
	 * @param run the run
	 * @param grant the slot at the endpoint
	 */
	void run(ActiveSubmission active, SubmissionState.Run run, EndpointTable.Grant grant) {
		SubmissionState state = active.state();
		String id = run.item().id();
		long start = this.clock.millis();
		RunOutcome runOutcome = new RunOutcome(EndpointTable.Outcome.FAILED, false, false, "internal", 0);
		try {
			runOutcome = generate(active, run, grant);
		}
		catch (RuntimeException ex) {
			this.log.warn("item-run-error", "request_id", id, "error", ex.toString());
		}
		finally {
			this.table.release(grant, runOutcome.outcome());
			active.onRunEnded(id);
		}
		if (runOutcome.complete()) {
			boolean scored = state.onGenerated(id);
			this.log.info("item-generated", "request_id", id, "submission", state.submission().id(), "endpoint",
					grant.id(), "after", run.after(), "events", runOutcome.events(), "expected",
					run.item().expectedUnits(), "run_ms", this.clock.millis() - start, "age_ms",
					System.currentTimeMillis() - state.acceptedMillis(), "group", run.item().group(), "usable", scored);
			if (scored) {
				score(state, run.item());
			}
		}
		else {
			this.counters.counter("item_runs_broken_total", "reason", runOutcome.reason()).inc();
			this.log.info("item-run-broken", "request_id", id, "submission", state.submission().id(), "endpoint",
					grant.id(), "reason", runOutcome.reason(), "detail", runOutcome.detail(), "events",
					runOutcome.events(), "run_ms", this.clock.millis() - start);
			state.onInterrupted(id, runOutcome.countsAsFailure(), System.currentTimeMillis());
		}
	}

	private RunOutcome generate(ActiveSubmission active, SubmissionState.Run run, EndpointTable.Grant grant) {
		Submission submission = active.state().submission();
		SubmissionItem item = run.item();
		List<Header> headers = new ArrayList<>();
		item.headers().forEach((name, value) -> headers.add(new BasicHeader(name, value)));
		ItemWork work = work(active.state(), item);
		long remainingMillis = Math.max(1, active.deadlineMillis() - System.currentTimeMillis());
		EndpointRequest call = new EndpointRequest(item.id(), "POST", submission.host(), item.path(), headers,
				submission.workspace().isEmpty() ? null : submission.workspace(), grant.id(), remainingMillis,
				run.after(), ByteBuffer.wrap(item.body()))
			.withPriority(EnginePriority.ofItem(hasPriorities(), run.inTime()));
		this.counters.counter("endpoint_requests_total", "origin", RequestOrigin.ITEM.label()).inc();
		Either<HttpFailure, EndpointExchanges.EndpointExchange> result = this.exchanges.open(grant, call,
				ExchangeOptions.of(true, EVENT_TIMEOUT_MILLIS).withTotalTimeoutMillis(EVENT_TIMEOUT_MILLIS),
				(abort) -> active.onRunStarted(item.id(), grant.id(), work, abort));
		if (result.isLeft()) {
			return new RunOutcome(EndpointTable.Outcome.FAILED, false, false, result.getLeft().code(), 0,
					result.getLeft().detail());
		}
		EndpointResponse response = result.get().response();
		try (HttpExchange exchange = result.get().http()) {
			if (response.notExecuted()) {
				exchange.readFully(0xFFFF);
				return new RunOutcome(EndpointTable.Outcome.REFUSED, false, false, "refused-" + response.status(), 0);
			}
			if (response.isSuccess()) {
				return readEvents(active, item, grant, exchange, response);
			}
			if (exchange.readFully(0xFFFF).isLeft()) {
				return new RunOutcome(EndpointTable.Outcome.FAILED, false, false, "cut-failure", 0);
			}
			if (response.status() == STATUS_UNPROCESSABLE) {
				active.state().onImpossible(item.id());
			}
			return new RunOutcome(EndpointTable.Outcome.SERVED, false, response.status() == STATUS_SERVER_ERROR,
					"status-" + response.status(), 0);
		}
	}

	private boolean hasPriorities() {
		RoutingTable currentRouting = this.routing.get();
		return currentRouting != null && currentRouting.hasPriorities();
	}

	private RunOutcome readEvents(ActiveSubmission active, SubmissionItem item, EndpointTable.Grant grant,
			HttpExchange exchange, EndpointResponse response) {
		long paceStartMillis = this.clock.millis();
		int events = 0;
		String model = active.state().submission().model();
		long maxEvents = maxEvents(item);
		try {
			EventStreamReader reader = EventStreamReader.of(exchange.body(), this.protocol::parseVersionLine,
					exchange::retain, response.weightVersion());
			long version = 0;
			exchange.setDeadline(EVENT_TIMEOUT_MILLIS);
			for (EventStreamReader.Event event = reader.next(); event != null; event = reader.next()) {
				if (event.id() > maxEvents) {
					// The endpoint is faulty, so none of its events can be trusted.
					active.state().discardText(item.id());
					exchange.abort();
					return new RunOutcome(EndpointTable.Outcome.FAILED, false, false, "too-many-events", events,
							"event " + event.id() + " of at most " + maxEvents);
				}
				SubmissionState.EventOutcome outcome = active.state()
					.onEvent(item.id(), event.id(), event.data(), event.version());
				if (outcome == SubmissionState.EventOutcome.TOO_LARGE) {
					exchange.abort();
					return new RunOutcome(EndpointTable.Outcome.FAILED, false, false, "text-too-large", events,
							"event " + event.id() + " of " + event.data().length() + " characters");
				}
				if (outcome != SubmissionState.EventOutcome.APPENDED) {
					exchange.abort();
					return new RunOutcome(EndpointTable.Outcome.ABANDONED, false, false, "not-next-event", events);
				}
				events++;
				exchange.setDeadline(EVENT_TIMEOUT_MILLIS);
				if (events % EVENTS_PER_PACE_SAMPLE == 0) {
					long now = this.clock.millis();
					this.table.unitTime(grant.id(), (double) (now - paceStartMillis) / EVENTS_PER_PACE_SAMPLE);
					paceStartMillis = now;
				}
				if (event.version() != version && model != null) {
					version = event.version();
					this.table.version(grant.id(), model, version);
				}
			}
			exchange.markComplete();
			// Without length or chunk framing, a complete stream cannot be told from a
			// truncated one. If the run is resumed after its last event, an engine
			// without further events returns an empty stream.
			if (!exchange.isFramed() && events > 0) {
				return new RunOutcome(EndpointTable.Outcome.SERVED, false, false, "unframed-end", events);
			}
			return new RunOutcome(EndpointTable.Outcome.SERVED, true, false, "whole", events);
		}
		catch (IOException ex) {
			exchange.abort();
			if (!active.state().mayContinue(item.id())) {
				return new RunOutcome(EndpointTable.Outcome.ABANDONED, false, false, "abandoned", events);
			}
			Option<MigrationReason> migration = active.clearMigration(item.id());
			if (migration.isDefined()) {
				return new RunOutcome(EndpointTable.Outcome.ABANDONED, false, false, "moved", events,
						migration.get().label());
			}
			return new RunOutcome(EndpointTable.Outcome.FAILED, false, false, "stream-broke", events,
					String.valueOf(ex));
		}
	}

	private long maxEvents(SubmissionItem item) {
		long maxTokens = this.protocol.maxOutputTokens(item.headers());
		return (maxTokens > Long.MAX_VALUE - MAX_EVENTS_WITHOUT_TOKENS) ? Long.MAX_VALUE
				: maxTokens + MAX_EVENTS_WITHOUT_TOKENS;
	}

	private void score(SubmissionState state, SubmissionItem item) {
		SubmissionItem.ScoreCall score = Objects.requireNonNull(item.score());
		int failures = 0;
		boolean mayHaveRun = false;
		while (!state.isEnded()) {
			RoutingTable currentRouting = this.routing.get();
			Option<RouteRule> route = (currentRouting != null) ? currentRouting.route(score.host(), score.path())
					: Option.none();
			if (route.isEmpty()) {
				this.log.warn("score-without-route", "request_id", score.id(), "host", score.host());
				pause(SCORE_RETRY_DELAY_MILLIS * 10);
				continue;
			}
			ServiceRequest serviceRequest = new ServiceRequest(RequestOrigin.SCORE, score.id(), "POST", score.host(),
					score.path(), List.of(), ByteBuffer.wrap(score.body()), null, route.get().name(),
					route.get().service(Math.random()), true, 1, mayHaveRun ? 1 : route.get().maxAttempts(),
					this.clock.millis() + SCORE_TIMEOUT_MILLIS, (abort) -> {
						if (state.isEnded()) {
							abort.run();
						}
					}, () -> {
					});
			CallResult result = this.endpointClient.call(serviceRequest);
			mayHaveRun |= !(result instanceof CallResult.NotRun);
			if (result instanceof CallResult.Responded responded) {
				String seal = responded.response().seal();
				if (responded.response().isSuccess() && seal != null) {
					state.onScored(item.id(), seal);
					return;
				}
				if (responded.response().status() >= STATUS_SERVER_ERROR && ++failures >= route.get().maxAttempts()) {
					this.log.info("item-given-up", "request_id", item.id(), "reason", "score-failed", "failures",
							failures);
					state.onScoreFailed(item.id());
					return;
				}
			}
			boolean rateLimited = result instanceof CallResult.NotRun notRun
					&& notRun.reason().equals(CallResult.NotRun.RATE_LIMITED);
			pause(rateLimited ? RATE_LIMITED_SCORE_RETRY_DELAY_MILLIS : SCORE_RETRY_DELAY_MILLIS);
		}
	}

	private static void pause(long millis) {
		try {
			TimeUnit.MILLISECONDS.sleep(millis);
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
		}
	}

	private record RunOutcome(EndpointTable.Outcome outcome, boolean complete, boolean countsAsFailure, String reason,
			int events, String detail) {

		private RunOutcome(EndpointTable.Outcome outcome, boolean complete, boolean countsAsFailure, String reason,
				int events) {
			this(outcome, complete, countsAsFailure, reason, events, "");
		}

	}

}
