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
import org.bamboorelay.standins.connection.CallRecord;
import org.bamboorelay.standins.connection.Faults;
import org.bamboorelay.standins.connection.StandinReply;
import org.bamboorelay.standins.connection.StandinRequest;
import org.bamboorelay.standins.connection.StandinService;

/**
 * A plain service. It counts how often each call ran, by {@code Idempotency-Key} or else
 * by the digest of method, path and body; {@code GET /executions} lists the counts.
 * Faults: {@code reset-before}, {@code reset-after} (ran, answer lost), {@code truncate}
 * (bytes of the body that are sent), {@code leaving}, {@code wrong-id}; {@code start} and
 * {@code stop} are sent by the ordering stand-in.
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

	private final CallRecord record;

	private final Clock clock;

	private final long latencyMillis;

	private final int capacity;

	private final Semaphore slots;

	private long incarnation = 1;

	private boolean on;

	private String lastRequestId = "none";

	/**
	 * Creates the service.
	 * @param identity the identity of the endpoint
	 * @param faults the faults that are on
	 * @param record takes the counters
	 * @param clock the wall clock
	 * @param latencyMillis how long a call runs, in milliseconds
	 * @param capacity the most calls that run at once
	 * @param on whether the endpoint serves from the start; false for one of the ordering
	 * stand-in's pool
	 */
	public PlainService(EndpointIdentity identity, Faults faults, CallRecord record, Clock clock, long latencyMillis,
			int capacity, boolean on) {
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
		this.on = on;
	}

	@Override
	public StandinReply serve(StandinRequest request) {
		if (!isOn()) {
			return StandinReply.closed("the endpoint is stopped");
		}
		if (request.is("GET", "/load")) {
			return StandinReply.json(200, load());
		}
		if (request.is("GET", "/executions")) {
			synchronized (this) {
				return StandinReply.json(200, new HashMap<>(this.executions));
			}
		}
		if (this.faults.takeOne("reset-before", request.path())) {
			return StandinReply.closed("fault: reset before the call ran");
		}
		try {
			run(request);
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
			return StandinReply.closed("interrupted");
		}
		if (this.faults.takeOne("reset-after", request.path())) {
			return StandinReply.closed("fault: ran, reset before the answer");
		}
		return answer(request);
	}

	@Override
	public String countName(StandinRequest request) {
		return request.path().equals("/load") ? "LOAD" : request.method();
	}

	@Override
	public boolean showsBody(StandinRequest request) {
		// The checks of a run search the bodies for callers' keys.
		return true;
	}

	@Override
	public synchronized void onFault(String name, JsonNode value) {
		if ("start".equals(name) && !value.isNull()) {
			this.on = true;
			this.incarnation++;
			this.record.count("starts");
		}
		else if ("stop".equals(name) && !value.isNull()) {
			this.on = false;
			this.record.count("stops");
		}
	}

	/**
	 * Returns how often each call ran.
	 * @return the number of runs by {@code Idempotency-Key} or digest
	 */
	public synchronized Map<String, Integer> executions() {
		return new HashMap<>(this.executions);
	}

	private synchronized boolean isOn() {
		return this.on;
	}

	private void run(StandinRequest request) throws InterruptedException {
		this.waiting.incrementAndGet();
		try {
			this.slots.acquire();
		}
		finally {
			this.waiting.decrementAndGet();
		}
		this.running.incrementAndGet();
		try {
			count(request);
			if (this.latencyMillis > 0) {
				TimeUnit.MILLISECONDS.sleep(this.latencyMillis);
			}
		}
		finally {
			this.running.decrementAndGet();
			this.slots.release();
		}
	}

	private synchronized void count(StandinRequest request) {
		String key = request.header("idempotency-key");
		String name = key.isEmpty() ? request.method() + " " + request.path() + " " + request.digest() : key;
		int runs = this.executions.merge(name, 1, Integer::sum);
		this.record.count("executions");
		if (runs > 1 && request.isWrite()) {
			this.record.count("executions_repeated");
		}
	}

	private StandinReply answer(StandinRequest request) {
		String id = echoedId(request.header(REQUEST_ID));
		Map<String, Object> body = new LinkedHashMap<>();
		body.put("endpoint", this.identity.endpoint());
		body.put("service", this.identity.service());
		body.put("method", request.method());
		body.put("path", request.path());
		body.put("request_id", id);
		// A balance that depends on the path only, so that any endpoint answers the same.
		body.put("balance", Math.floorMod(request.path().hashCode(), 100_000));
		StandinReply reply = StandinReply.json(200, body).withHeader("X-Request-Id", id);
		Option<JsonNode> truncate = this.faults.value("truncate", request.path());
		if (truncate.isDefined()) {
			return reply.withCutAt(Faults.number(truncate.get(), "n", reply.length() / 2));
		}
		return reply;
	}

	private synchronized String echoedId(String id) {
		String other = this.lastRequestId;
		this.lastRequestId = id;
		return this.faults.isOn("wrong-id") ? other : id;
	}

	private synchronized Map<String, Object> load() {
		Map<String, Object> load = new LinkedHashMap<>();
		load.put("incarnation", this.incarnation);
		load.put("warm", true);
		load.put("running", this.running.get());
		load.put("waiting", this.waiting.get());
		load.put("capacity", this.capacity);
		load.put("leaving", this.faults.isOn("leaving"));
		load.put("weight_versions", Map.of());
		load.put("at_ms", this.clock.millis());
		return load;
	}

}
