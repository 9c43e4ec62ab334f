package org.bamboorelay.standins.process;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.Deque;
import java.util.Iterator;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.SplittableRandom;
import java.util.TreeMap;
import java.util.stream.Stream;

import org.bamboorelay.core.time.Clock;
import org.bamboorelay.standins.connection.RequestRecord;

/**
 * Simulated model engine with continuous batching. Each call first advances the
 * simulation to the current time, so that an event carries the version that was loaded
 * when its token was generated.
 * <p>
 * Thread-safe. It has no thread of its own; the owner calls {@link #advance()}
 * periodically, and the interval determines how evenly the tokens are emitted.
 */
public final class SimulatedEngine {

	/** Number of prompt tokens that are processed in the time of one generated token. */
	private static final double PREFILL_TOKENS_PER_TOKEN = 20;

	/** Generation rate of a cold engine, as a fraction of the normal rate. */
	private static final double COLD_RATE_FACTOR = 0.25;

	/**
	 * Maximum step of the simulation, in milliseconds; requests join the batch only
	 * between steps.
	 */
	private static final long MAX_STEP_MILLIS = 10;

	private final List<Generation> running = new ArrayList<>();

	private final List<Generation> waiting = new ArrayList<>();

	private final Map<String, Long> versions = new TreeMap<>();

	private final Deque<EngineLoad> reportHistory = new ArrayDeque<>();

	private final EngineSettings settings;

	private final Clock clock;

	private final RequestRecord record;

	private final PrefixCache cache;

	private boolean started;

	private long incarnation = 1;

	private long warmAtMillis;

	private boolean reportsCold = true;

	private long advancedMillis;

	private long submittedCount;

	/**
	 * Creates an engine.
	 * @param settings the settings
	 * @param clock the clock
	 * @param record receives the counters
	 * @param started whether the engine starts immediately; false for an engine that the
	 * ordering stand-in starts
	 */
	public SimulatedEngine(EngineSettings settings, Clock clock, RequestRecord record, boolean started) {
		this.settings = Objects.requireNonNull(settings, "settings");
		this.clock = Objects.requireNonNull(clock, "clock");
		this.record = Objects.requireNonNull(record, "record");
		this.cache = new PrefixCache(settings.cacheBlocks(), settings.cacheEventLagMillis(),
				settings.cacheEventLossInterval());
		this.started = started;
		this.advancedMillis = clock.millis();
		reset();
	}

	/**
	 * Submits a request.
	 * @param request the request
	 * @return the events of the request; a stopped engine drops it immediately
	 */
	public synchronized Generation submit(EngineRequest request) {
		advance();
		Generation generation = new Generation(request, this.submittedCount++, completionTokens(request),
				this.settings.randomLengths());
		if (!this.started) {
			generation.finish("", GenerationEvent.DROPPED);
			return generation;
		}
		this.waiting.add(generation);
		if (!isWarm() && this.running.size() + this.waiting.size() > this.settings.coldCapacity()) {
			this.record.increment("cold_crashes");
			crash();
			return generation;
		}
		admit();
		return generation;
	}

	/**
	 * Advances the simulation to the current time.
	 */
	public synchronized void advance() {
		long now = this.clock.millis();
		while (this.advancedMillis < now && !this.running.isEmpty()) {
			long step = Math.min(MAX_STEP_MILLIS, now - this.advancedMillis);
			processBatch(step);
			this.advancedMillis += step;
			admit();
		}
		this.advancedMillis = Math.max(this.advancedMillis, now);
		if (this.settings.reportLagMillis() > 0) {
			this.reportHistory.addLast(report(now));
			trimReports(now);
		}
	}

	/**
	 * Cancels a request; its last event has the finish {@code cancelled}.
	 * @param id the request id
	 * @return whether the request was running or waiting
	 */
	public synchronized boolean cancel(String id) {
		advance();
		List<Generation> matching = Stream.concat(this.running.stream(), this.waiting.stream())
			.filter((generation) -> generation.request().id().equals(id))
			.toList();
		matching.forEach((generation) -> {
			generation.finish(version(generation), "cancelled");
			remove(generation);
			this.record.increment("cancelled");
		});
		return !matching.isEmpty();
	}

	/**
	 * Removes a request whose connection was closed.
	 * @param generation the request
	 */
	public synchronized void remove(Generation generation) {
		this.running.remove(generation);
		this.waiting.remove(generation);
		admit();
	}

	/**
	 * Replaces the weights of a line. Running streams continue with the new weights.
	 * @param line the line
	 * @param version the number of the version
	 */
	public synchronized void replaceWeights(String line, long version) {
		advance();
		load(line, version);
		this.cache.clear(this.clock.millis());
		this.record.increment("swaps");
	}

	/**
	 * Drops all streams and restarts the engine, cold and with version 0 of each line.
	 */
	public synchronized void crash() {
		this.record.increment("crashes");
		dropStreams();
		this.incarnation++;
		reset();
	}

	/**
	 * Starts the engine with a cold start.
	 */
	public synchronized void start() {
		if (!this.started) {
			this.started = true;
			this.incarnation++;
			this.record.increment("starts");
			reset();
		}
	}

	/**
	 * Stops the engine and drops all streams.
	 */
	public synchronized void stop() {
		if (this.started) {
			this.started = false;
			this.record.increment("stops");
			dropStreams();
		}
	}

	/**
	 * Makes a warm engine cold for the duration of a cold start.
	 * @param silently whether the load report continues to show the engine as warm
	 */
	public synchronized void makeCold(boolean silently) {
		advance();
		this.warmAtMillis = this.clock.millis() + this.settings.coldStartMillis();
		this.reportsCold = !silently;
	}

	/**
	 * Tells whether the engine is started.
	 * @return whether it is started
	 */
	public synchronized boolean isStarted() {
		return this.started;
	}

	/**
	 * Tells whether the engine has a weight line.
	 * @param line the line
	 * @return whether the engine has the line
	 */
	public synchronized boolean hasLine(String line) {
		return this.versions.containsKey(line);
	}

	/**
	 * Returns the load report, delayed by the report lag of the settings.
	 * @return the report
	 */
	public synchronized EngineLoad load() {
		advance();
		long now = this.clock.millis();
		return this.reportHistory.isEmpty() ? report(now) : this.reportHistory.getFirst();
	}

	/**
	 * Returns cache events.
	 * @param after the sequence number after which events are returned
	 * @return the events that are visible at the current time
	 */
	public synchronized List<Map<String, Object>> cacheEvents(long after) {
		return this.cache.eventsAfter(after, this.clock.millis());
	}

	private void reset() {
		this.settings.lines().forEach((line) -> load(line, 0));
		this.warmAtMillis = this.clock.millis() + this.settings.coldStartMillis();
		this.reportsCold = true;
		this.cache.clear(this.clock.millis());
	}

	private void load(String line, long version) {
		this.versions.put(line, version);
		this.record
			.add(Map.of("loaded", line + "@" + version, "incarnation", this.incarnation, "at_ms", this.clock.millis()));
	}

	private void dropStreams() {
		Stream.concat(this.running.stream(), this.waiting.stream())
			.forEach((generation) -> generation.finish("", GenerationEvent.DROPPED));
		this.running.clear();
		this.waiting.clear();
	}

	private boolean isWarm() {
		return this.clock.millis() >= this.warmAtMillis;
	}

	private void processBatch(long stepMillis) {
		double rate = this.settings.tokensPerSecond() / (1 + (this.running.size() - 1.0) / this.settings.capacity());
		double speed = (this.advancedMillis >= this.warmAtMillis) ? 1 : COLD_RATE_FACTOR;
		double work = rate * speed * stepMillis / 1000;
		Iterator<Generation> runningIterator = this.running.iterator();
		while (runningIterator.hasNext()) {
			Generation generation = runningIterator.next();
			if (generation.process(work, PREFILL_TOKENS_PER_TOKEN, version(generation))) {
				runningIterator.remove();
			}
		}
	}

	private void admit() {
		if (this.waiting.isEmpty()) {
			return;
		}
		this.waiting.sort(Comparator.<Generation, Boolean>comparing((generation) -> !generation.request().interactive())
			.thenComparing(Generation::submissionOrder));
		while (this.running.size() < this.settings.capacity() && !this.waiting.isEmpty()) {
			Generation next = this.waiting.remove(0);
			String[] words = next.request().prompt().split(" ");
			int cachedWords = this.cache.lookUpAndStore(next.request().cacheSalt(), words, this.clock.millis());
			next.startPrefill(words.length - cachedWords);
			this.running.add(next);
			if (cachedWords > 0) {
				this.record.increment("cache_hits");
			}
		}
	}

	private int completionTokens(EngineRequest request) {
		if (!this.settings.randomLengths()) {
			return request.maxTokens();
		}
		// The length depends on the seed and the prompt only, so that a resumed
		// completion ends where the original would have ended. The cube makes a few
		// completions much longer than the rest.
		double draw = new SplittableRandom(request.seed() * 31 + request.prompt().hashCode()).nextDouble();
		return (int) Math.max(1, Math.ceil(request.maxTokens() * (0.25 + 0.75 * draw * draw * draw)));
	}

	private String version(Generation generation) {
		String line = generation.request().line();
		return line + "@" + this.versions.get(line);
	}

	private EngineLoad report(long now) {
		return new EngineLoad(this.incarnation, !this.reportsCold || now >= this.warmAtMillis, this.running.size(),
				this.waiting.size(), this.settings.capacity(), false, new TreeMap<>(this.versions), now);
	}

	private void trimReports(long now) {
		while (this.reportHistory.size() > 1) {
			EngineLoad oldest = this.reportHistory.removeFirst();
			if (this.reportHistory.getFirst().atMs() > now - this.settings.reportLagMillis()) {
				this.reportHistory.addFirst(oldest);
				return;
			}
		}
	}

}
