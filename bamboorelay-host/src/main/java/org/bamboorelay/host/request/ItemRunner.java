package org.bamboorelay.host.request;

import java.io.IOException;
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
import org.bamboorelay.core.request.Submission;
import org.bamboorelay.core.request.SubmissionItem;
import org.bamboorelay.core.request.SubmissionPlan;
import org.bamboorelay.core.time.Clock;
import org.bamboorelay.core.version.RouteRule;
import org.bamboorelay.core.version.RoutingTable;
import org.bamboorelay.host.connection.EndpointAnswer;
import org.bamboorelay.host.connection.EndpointCall;
import org.bamboorelay.host.connection.EndpointProtocol;
import org.bamboorelay.host.process.EventLog;
import org.bamboorelay.runtime.connection.ExchangeOptions;
import org.bamboorelay.runtime.connection.HttpConnectionPool;
import org.bamboorelay.runtime.connection.HttpExchange;
import org.bamboorelay.runtime.connection.HttpFailure;
import org.bamboorelay.runtime.process.Counters;
import org.jspecify.annotations.Nullable;

/**
 * Runs one item of a submission at one endpoint, and has its text scored.
 * <p>
 * Thread-safe; each run uses one thread.
 */
public final class ItemRunner {

	/**
	 * The longest time from one whole event to the next, in milliseconds, also where
	 * bytes come meanwhile. An engine pauses its runs while it loads weights, for a
	 * second or so.
	 */
	private static final int MAX_PAUSE_MILLIS = 2_000;

	/** Status of an endpoint for an item that can never be done. */
	private static final int STATUS_IMPOSSIBLE = 422;

	/** Status of an endpoint for a run that failed. */
	private static final int STATUS_FAILED = 500;

	/** Time for one score call, in milliseconds. */
	private static final long SCORE_MILLIS = 1_500;

	/** Pause before a score call is made again, in milliseconds. */
	private static final long SCORE_RETRY_MILLIS = 20;

	/** Events over which the pace of an endpoint is measured. */
	private static final int PACE_EVENTS = 4;

	private final EndpointTable table;

	private final EndpointProtocol protocol;

	private final HttpConnectionPool pool;

	private final EndpointCaller caller;

	private final Supplier<@Nullable RoutingTable> routing;

	private final Clock clock;

	private final Counters counters;

	private final EventLog log;

	/**
	 * Creates a runner.
	 * @param table the endpoints
	 * @param protocol how requests to endpoints are written
	 * @param pool the connections
	 * @param caller makes score calls
	 * @param routing the routes in force
	 * @param clock the monotonic clock of the process
	 * @param counters the metrics of the process
	 * @param log the log of the process
	 */
	public ItemRunner(EndpointTable table, EndpointProtocol protocol, HttpConnectionPool pool, EndpointCaller caller,
			Supplier<@Nullable RoutingTable> routing, Clock clock, Counters counters, EventLog log) {
		this.table = Objects.requireNonNull(table, "table");
		this.protocol = Objects.requireNonNull(protocol, "protocol");
		this.pool = Objects.requireNonNull(pool, "pool");
		this.caller = Objects.requireNonNull(caller, "caller");
		this.routing = Objects.requireNonNull(routing, "routing");
		this.clock = Objects.requireNonNull(clock, "clock");
		this.counters = Objects.requireNonNull(counters, "counters");
		this.log = Objects.requireNonNull(log, "log");
	}

	/**
	 * Runs an item until its run ends, and scores the text where it is whole.
	 * @param active the submission that runs
	 * @param run the run
	 * @param grant the endpoint
	 */
	void run(ActiveSubmission active, SubmissionPlan.Run run, EndpointTable.Grant grant) {
		SubmissionPlan plan = active.plan();
		String id = run.item().id();
		long start = this.clock.millis();
		Ending ending = new Ending(EndpointTable.Outcome.FAILED, false, false, "internal", 0);
		try {
			ending = generate(active, run, grant);
		}
		catch (RuntimeException ex) {
			this.log.warn("item-run-error", "request_id", id, "error", ex.toString());
		}
		finally {
			this.table.release(grant, ending.outcome());
			active.abandoned(id);
		}
		if (ending.whole()) {
			boolean scored = plan.generated(id);
			this.log.info("item-generated", "request_id", id, "submission", plan.submission().id(), "endpoint",
					grant.id(), "after", run.after(), "events", ending.events(), "expected", run.item().expectedUnits(),
					"run_ms", this.clock.millis() - start, "age_ms", System.currentTimeMillis() - plan.acceptedMillis(),
					"group", run.item().group(), "usable", scored);
			if (scored) {
				score(plan, run.item());
			}
		}
		else {
			this.counters.counter("item_runs_broken_total", "reason", ending.reason()).inc();
			this.log.info("item-run-broken", "request_id", id, "submission", plan.submission().id(), "endpoint",
					grant.id(), "reason", ending.reason(), "detail", ending.detail(), "events", ending.events(),
					"run_ms", this.clock.millis() - start);
			plan.broken(id, ending.counted(), System.currentTimeMillis());
		}
	}

	private Ending generate(ActiveSubmission active, SubmissionPlan.Run run, EndpointTable.Grant grant) {
		Submission submission = active.plan().submission();
		SubmissionItem item = run.item();
		List<Header> headers = new ArrayList<>();
		item.headers().forEach((name, value) -> headers.add(new BasicHeader(name, value)));
		long left = Math.max(1, active.endMillis() - System.currentTimeMillis());
		EndpointCall call = new EndpointCall(item.id(), "POST", submission.host(), item.path(), headers,
				submission.workspace().isEmpty() ? null : submission.workspace(), grant.id(), left, run.after(),
				item.body());
		Either<HttpFailure, HttpExchange> result = this.pool.execute(grant.address(), this.protocol.request(call),
				ExchangeOptions.of(true, MAX_PAUSE_MILLIS).withTag(item.id()).withWholeMillis(MAX_PAUSE_MILLIS),
				(abort) -> active.running(item.id(), grant.id(), abort));
		if (result.isLeft()) {
			return new Ending(EndpointTable.Outcome.FAILED, false, false, result.getLeft().code(), 0,
					result.getLeft().detail());
		}
		try (HttpExchange exchange = result.get()) {
			EndpointAnswer answer = this.protocol.head(exchange.response());
			this.table.heard(grant.id(), grant.bornMillis(), answer.leaving());
			if (answer.isSuccess() && !item.id().equals(answer.id())) {
				exchange.abort();
				return new Ending(EndpointTable.Outcome.FAILED, false, false, "crossed-answer", 0);
			}
			if (answer.notRun()) {
				exchange.readWhole(0xFFFF);
				return new Ending(EndpointTable.Outcome.REFUSED, false, false, "refused-" + answer.status(), 0);
			}
			if (answer.isSuccess()) {
				return read(active, item, grant, exchange, answer);
			}
			if (exchange.readWhole(0xFFFF).isLeft()) {
				return new Ending(EndpointTable.Outcome.FAILED, false, false, "cut-failure", 0);
			}
			if (answer.status() == STATUS_IMPOSSIBLE) {
				active.plan().impossible(item.id());
			}
			return new Ending(EndpointTable.Outcome.SERVED, false, answer.status() == STATUS_FAILED,
					"status-" + answer.status(), 0);
		}
	}

	private Ending read(ActiveSubmission active, SubmissionItem item, EndpointTable.Grant grant, HttpExchange exchange,
			EndpointAnswer answer) {
		long paceFrom = this.clock.millis();
		int events = 0;
		String model = active.plan().submission().model();
		try {
			EventStreamReader reader = EventStreamReader.of(exchange.body(), this.protocol::versionLine,
					answer.weightVersion());
			long version = 0;
			exchange.within(MAX_PAUSE_MILLIS);
			for (EventStreamReader.Event event = reader.next(); event != null; event = reader.next()) {
				if (!active.plan().event(item.id(), event.number(), event.data(), event.version())) {
					exchange.abort();
					return new Ending(EndpointTable.Outcome.ABANDONED, false, false, "not-next-event", events);
				}
				events++;
				exchange.within(MAX_PAUSE_MILLIS);
				if (events % PACE_EVENTS == 0) {
					long now = this.clock.millis();
					this.table.pace(grant.id(), (double) (now - paceFrom) / PACE_EVENTS);
					paceFrom = now;
				}
				if (event.version() != version && model != null) {
					version = event.version();
					this.table.version(grant.id(), model, version);
				}
			}
			exchange.markWhole();
			// A stream without framing ends alike whether it is whole or cut. Asked to go
			// on
			// after its last event, an engine that has no more answers with nothing.
			if (!exchange.isFramed() && events > 0) {
				return new Ending(EndpointTable.Outcome.SERVED, false, false, "unframed-end", events);
			}
			return new Ending(EndpointTable.Outcome.SERVED, true, false, "whole", events);
		}
		catch (IOException ex) {
			exchange.abort();
			if (!active.plan().mayRun(item.id())) {
				return new Ending(EndpointTable.Outcome.ABANDONED, false, false, "abandoned", events);
			}
			if (active.isMoved(item.id())) {
				return new Ending(EndpointTable.Outcome.ABANDONED, false, false, "moved", events);
			}
			return new Ending(EndpointTable.Outcome.FAILED, false, false, "stream-broke", events, String.valueOf(ex));
		}
	}

	private void score(SubmissionPlan plan, SubmissionItem item) {
		SubmissionItem.ScoreCall score = Objects.requireNonNull(item.score());
		int failures = 0;
		while (!plan.isEnded()) {
			RoutingTable present = this.routing.get();
			Option<RouteRule> route = (present != null) ? present.route(score.host(), score.path()) : Option.none();
			if (route.isEmpty()) {
				this.log.warn("score-without-route", "request_id", score.id(), "host", score.host());
				pause(SCORE_RETRY_MILLIS * 10);
				continue;
			}
			CallOrder order = new CallOrder(score.id(), "POST", score.host(), score.path(), List.of(), score.body(),
					null, route.get().service(Math.random()), true, 1, this.clock.millis() + SCORE_MILLIS, (abort) -> {
						if (plan.isEnded()) {
							abort.run();
						}
					});
			CallResult result = this.caller.call(order);
			if (result instanceof CallResult.Answered answered) {
				String seal = answered.answer().seal();
				if (answered.answer().isSuccess() && seal != null) {
					plan.scored(item.id(), seal);
					return;
				}
				if (answered.answer().status() >= STATUS_FAILED && ++failures >= route.get().maxAttempts()) {
					this.log.info("item-given-up", "request_id", item.id(), "reason", "score-failed", "failures",
							failures);
					plan.scoreFailed(item.id());
					return;
				}
			}
			pause(SCORE_RETRY_MILLIS);
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

	private record Ending(EndpointTable.Outcome outcome, boolean whole, boolean counted, String reason, int events,
			String detail) {

		private Ending(EndpointTable.Outcome outcome, boolean whole, boolean counted, String reason, int events) {
			this(outcome, whole, counted, reason, events, "");
		}

	}

}
