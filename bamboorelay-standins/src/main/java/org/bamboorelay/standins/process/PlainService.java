package org.bamboorelay.standins.process;

import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Objects;
import java.util.concurrent.Semaphore;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;

import com.fasterxml.jackson.databind.JsonNode;
import io.vavr.control.Option;
import org.bamboorelay.core.time.Clock;
import org.bamboorelay.standins.connection.Faults;
import org.bamboorelay.standins.connection.RequestRecord;
import org.bamboorelay.standins.connection.StandinRequest;
import org.bamboorelay.standins.connection.StandinResponse;
import org.bamboorelay.standins.connection.StandinService;

/**
 * A plain service. It counts the executions of each call, identified by the
 * {@code Idempotency-Key} or else by method, path and digest of the body;
 * {@code GET /executions} lists the counts. Faults: {@code reset-before},
 * {@code reset-after} (executed, response lost), {@code truncate} (number of body bytes
 * that are sent), {@code leaving}, {@code wrong-id}; the ordering stand-in sends
 * {@code start} and {@code stop}.
 * <p>
 * Thread-safe.
 */
public final class PlainService implements StandinService {

	private static final String REQUEST_ID = "x-request-id";

	private final Map<String, Integer> executions = new HashMap<>();

	private final AtomicInteger running = new AtomicInteger();

	private final AtomicInteger waiting = new AtomicInteger();

	private final EndpointIdentity identity;

	private final Faults faults;

	private final RequestRecord record;

	private final Clock clock;

	private final long latencyMillis;

	private final int capacity;

	private final Semaphore slots;

	private long incarnation = 1;

	private boolean started;

	private String lastRequestId = "none";

	/**
	 * Creates the service.
	 * @param identity the identity of the endpoint
	 * @param faults the active faults
	 * @param record receives the counters
	 * @param clock the wall clock
	 * @param latencyMillis duration of a call, in milliseconds
	 * @param capacity the maximum number of concurrent calls
	 * @param started whether the endpoint starts immediately; false for an endpoint that
	 * the ordering stand-in starts
	 */
	public PlainService(EndpointIdentity identity, Faults faults, RequestRecord record, Clock clock, long latencyMillis,
			int capacity, boolean started) {
		this.identity = Objects.requireNonNull(identity, "identity");
		this.faults = Objects.requireNonNull(faults, "faults");
		this.record = Objects.requireNonNull(record, "record");
		this.clock = Objects.requireNonNull(clock, "clock");
		if (capacity <= 0) {
			throw new IllegalArgumentException("capacity must be positive: " + capacity);
		}
		this.latencyMillis = latencyMillis;
		this.capacity = capacity;
		this.slots = new Semaphore(capacity, true);
		this.started = started;
	}

	@Override
	public StandinResponse serve(StandinRequest request) {
		if (!isStarted()) {
			return StandinResponse.closeConnection("the endpoint is stopped");
		}
		if (request.hasRoute("GET", "/load")) {
			return StandinResponse.json(200, load());
		}
		if (request.hasRoute("GET", "/executions")) {
			synchronized (this) {
				return StandinResponse.json(200, new HashMap<>(this.executions));
			}
		}
		if (this.faults.consume("reset-before", request.path())) {
			return StandinResponse.closeConnection("fault: reset before execution");
		}
		try {
			execute(request);
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
			return StandinResponse.closeConnection("interrupted");
		}
		if (this.faults.consume("reset-after", request.path())) {
			return StandinResponse.closeConnection("fault: executed, reset before the response");
		}
		return respond(request);
	}

	@Override
	public String counterName(StandinRequest request) {
		return request.path().equals("/load") ? "LOAD" : request.method();
	}

	@Override
	public boolean recordsBody(StandinRequest request) {
		// The checks after a run search the recorded bodies for callers' keys.
		return true;
	}

	@Override
	public synchronized void onFault(String name, JsonNode value) {
		if ("start".equals(name) && !value.isNull()) {
			this.started = true;
			this.incarnation++;
			this.record.increment("starts");
		}
		else if ("stop".equals(name) && !value.isNull()) {
			this.started = false;
			this.record.increment("stops");
		}
	}

	/**
	 * Returns the execution count of each call.
	 * @return the counts by {@code Idempotency-Key}, or by method, path and digest
	 */
	public synchronized Map<String, Integer> executions() {
		return new HashMap<>(this.executions);
	}

	private synchronized boolean isStarted() {
		return this.started;
	}

	private void execute(StandinRequest request) throws InterruptedException {
		this.waiting.incrementAndGet();
		try {
			this.slots.acquire();
		}
		finally {
			this.waiting.decrementAndGet();
		}
		this.running.incrementAndGet();
		try {
			countExecution(request);
			if (this.latencyMillis > 0) {
				TimeUnit.MILLISECONDS.sleep(this.latencyMillis);
			}
		}
		finally {
			this.running.decrementAndGet();
			this.slots.release();
		}
	}

	private synchronized void countExecution(StandinRequest request) {
		String key = request.header("idempotency-key");
		String name = key.isEmpty() ? request.method() + " " + request.path() + " " + request.bodyDigest() : key;
		int executionCount = this.executions.merge(name, 1, Integer::sum);
		this.record.increment("executions");
		if (executionCount > 1 && request.isWrite()) {
			this.record.increment("executions_repeated");
		}
	}

	private StandinResponse respond(StandinRequest request) {
		String id = responseId(request.header(REQUEST_ID));
		Map<String, Object> body = new LinkedHashMap<>();
		body.put("endpoint", this.identity.endpoint());
		body.put("service", this.identity.service());
		body.put("method", request.method());
		body.put("path", request.path());
		body.put("request_id", id);
		// The balance depends on the path only, so that all endpoints return the same
		// value.
		body.put("balance", Math.floorMod(request.path().hashCode(), 100_000));
		StandinResponse response = StandinResponse.json(200, body).withHeader("X-Request-Id", id);
		Option<JsonNode> truncate = this.faults.value("truncate", request.path());
		if (truncate.isDefined()) {
			return response.truncatedAt(Faults.numberOf(truncate.get(), "n", response.length() / 2));
		}
		return response;
	}

	private synchronized String responseId(String id) {
		String previousId = this.lastRequestId;
		this.lastRequestId = id;
		return this.faults.isActive("wrong-id") ? previousId : id;
	}

	private synchronized Map<String, Object> load() {
		Map<String, Object> load = new LinkedHashMap<>();
		load.put("incarnation", this.incarnation);
		load.put("warm", true);
		load.put("running", this.running.get());
		load.put("waiting", this.waiting.get());
		load.put("capacity", this.capacity);
		load.put("leaving", this.faults.isActive("leaving"));
		load.put("weight_versions", Map.of());
		load.put("at_ms", this.clock.millis());
		return load;
	}

}
