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
import org.bamboorelay.standins.connection.CallRecord;

/**
 * Model engine with continuous batching, simulated by a token clock. Each call first
 * brings the batch up to the present time, so an event carries the version that was
 * loaded when its token was made.
 * <p>
 * Thread-safe. It has no thread of its own; somebody calls {@link #advance()} often
 * enough for the wanted smoothness.
 */
public final class EngineState {

	/** Prompt tokens that are read in the time of one generated token. */
	private static final double PREFILL_SPEED = 20;

	/** Share of its rate at which a cold engine works. */
	private static final double COLD_RATE = 0.25;

	/**
	 * The longest step of the token clock, in milliseconds; the batch is fixed in one.
	 */
	private static final long MAX_STEP_MILLIS = 10;

	private final List<Generation> running = new ArrayList<>();

	private final List<Generation> waiting = new ArrayList<>();

	private final Map<String, Long> versions = new TreeMap<>();

	private final Deque<EngineLoad> reports = new ArrayDeque<>();

	private final EngineSettings settings;

	private final Clock clock;

	private final CallRecord record;

	private final PrefixCache cache;

	private boolean on;

	private long incarnation = 1;

	private long warmAtMillis;

	private boolean admitsCold = true;

	private long advancedMillis;

	private long submitted;

	/**
	 * Creates an engine.
	 * @param settings the settings
	 * @param clock the clock
	 * @param record takes the counters
	 * @param on whether it starts at once; false for one of the ordering stand-in's pool
	 */
	public EngineState(EngineSettings settings, Clock clock, CallRecord record, boolean on) {
		this.settings = Objects.requireNonNull(settings, "settings");
		this.clock = Objects.requireNonNull(clock, "clock");
		this.record = Objects.requireNonNull(record, "record");
		this.cache = new PrefixCache(settings.cacheBlocks(), settings.cacheLagMillis(), settings.cacheGapEvery());
		this.on = on;
		this.advancedMillis = clock.millis();
		begin();
	}

	/**
	 * Takes a request.
	 * @param request the request
	 * @return its events; a stopped engine drops it at once
	 */
	public synchronized Generation submit(EngineRequest request) {
		advance();
		Generation generation = new Generation(request, this.submitted++, length(request),
				this.settings.drawnLengths());
		if (!this.on) {
			generation.finish("", GenerationEvent.DROPPED);
			return generation;
		}
		this.waiting.add(generation);
		if (!isWarm() && this.running.size() + this.waiting.size() > this.settings.coldBears()) {
			this.record.count("cold_crashes");
			crash();
			return generation;
		}
		admit();
		return generation;
	}

	/**
	 * Brings the batch up to the present time.
	 */
	public synchronized void advance() {
		long now = this.clock.millis();
		while (this.advancedMillis < now && !this.running.isEmpty()) {
			long step = Math.min(MAX_STEP_MILLIS, now - this.advancedMillis);
			work(step);
			this.advancedMillis += step;
			admit();
		}
		this.advancedMillis = Math.max(this.advancedMillis, now);
		if (this.settings.reportLagMillis() > 0) {
			this.reports.addLast(report(now));
			trimReports(now);
		}
	}

	/**
	 * Ends a request with {@code cancelled}.
	 * @param id the request id
	 * @return whether it was there
	 */
	public synchronized boolean cancel(String id) {
		advance();
		List<Generation> found = Stream.concat(this.running.stream(), this.waiting.stream())
			.filter((generation) -> generation.request().id().equals(id))
			.toList();
		found.forEach((generation) -> {
			generation.finish(version(generation), "cancelled");
			remove(generation);
			this.record.count("cancelled");
		});
		return !found.isEmpty();
	}

	/**
	 * Forgets a request whose connection was closed.
	 * @param generation the request
	 */
	public synchronized void remove(Generation generation) {
		this.running.remove(generation);
		this.waiting.remove(generation);
		admit();
	}

	/**
	 * Swaps the weights of a line. Running streams go on with the new weights.
	 * @param line the line
	 * @param version the number of the version
	 */
	public synchronized void swap(String line, long version) {
		advance();
		load(line, version);
		this.cache.clear(this.clock.millis());
		this.record.count("swaps");
	}

	/**
	 * Drops all streams and starts anew, cold and with the base weights.
	 */
	public synchronized void crash() {
		this.record.count("crashes");
		dropAll();
		this.incarnation++;
		begin();
	}

	/**
	 * Starts the engine, which begins its cold start.
	 */
	public synchronized void start() {
		if (!this.on) {
			this.on = true;
			this.incarnation++;
			this.record.count("starts");
			begin();
		}
	}

	/**
	 * Stops the engine and drops all streams.
	 */
	public synchronized void stop() {
		if (this.on) {
			this.on = false;
			this.record.count("stops");
			dropAll();
		}
	}

	/**
	 * Turns a warm engine cold.
	 * @param silently whether the load report goes on saying that it is warm
	 */
	public synchronized void turnCold(boolean silently) {
		advance();
		this.warmAtMillis = this.clock.millis() + this.settings.coldStartMillis();
		this.admitsCold = !silently;
	}

	/**
	 * Tells whether the engine is started.
	 * @return whether it is
	 */
	public synchronized boolean isOn() {
		return this.on;
	}

	/**
	 * Tells whether the engine has a line.
	 * @param line the line
	 * @return whether it has
	 */
	public synchronized boolean hasLine(String line) {
		return this.versions.containsKey(line);
	}

	/**
	 * Returns the load report, which is as old as the settings say.
	 * @return the report
	 */
	public synchronized EngineLoad load() {
		advance();
		long now = this.clock.millis();
		return this.reports.isEmpty() ? report(now) : this.reports.getFirst();
	}

	/**
	 * Returns cache events.
	 * @param after the sequence number after which events are wanted
	 * @return the events that are visible by now
	 */
	public synchronized List<Map<String, Object>> cacheEvents(long after) {
		return this.cache.eventsAfter(after, this.clock.millis());
	}

	private void begin() {
		this.settings.lines().forEach((line) -> load(line, 0));
		this.warmAtMillis = this.clock.millis() + this.settings.coldStartMillis();
		this.admitsCold = true;
		this.cache.clear(this.clock.millis());
	}

	private void load(String line, long version) {
		this.versions.put(line, version);
		this.record
			.add(Map.of("loaded", line + "@" + version, "incarnation", this.incarnation, "at_ms", this.clock.millis()));
	}

	private void dropAll() {
		Stream.concat(this.running.stream(), this.waiting.stream())
			.forEach((generation) -> generation.finish("", GenerationEvent.DROPPED));
		this.running.clear();
		this.waiting.clear();
	}

	private boolean isWarm() {
		return this.clock.millis() >= this.warmAtMillis;
	}

	private void work(long stepMillis) {
		double rate = this.settings.tokensPerSecond() / (1 + (this.running.size() - 1.0) / this.settings.capacity());
		double speed = (this.advancedMillis >= this.warmAtMillis) ? 1 : COLD_RATE;
		double work = rate * speed * stepMillis / 1000;
		Iterator<Generation> each = this.running.iterator();
		while (each.hasNext()) {
			Generation generation = each.next();
			if (generation.work(work, PREFILL_SPEED, version(generation))) {
				each.remove();
			}
		}
	}

	private void admit() {
		if (this.waiting.isEmpty()) {
			return;
		}
		this.waiting.sort(Comparator.<Generation, Boolean>comparing((generation) -> !generation.request().interactive())
			.thenComparing(Generation::order));
		while (this.running.size() < this.settings.capacity() && !this.waiting.isEmpty()) {
			Generation next = this.waiting.remove(0);
			String[] words = next.request().prompt().split(" ");
			int hit = this.cache.use(next.request().cacheSalt(), words, this.clock.millis());
			next.prefill(words.length - hit);
			this.running.add(next);
			if (hit > 0) {
				this.record.count("cache_hits");
			}
		}
	}

	private int length(EngineRequest request) {
		if (!this.settings.drawnLengths()) {
			return request.maxTokens();
		}
		// The seed and the prompt decide, so that a resumed answer ends where the first
		// one would have ended. The cube makes a few answers much longer than the rest.
		double draw = new SplittableRandom(request.seed() * 31 + request.prompt().hashCode()).nextDouble();
		return (int) Math.max(1, Math.ceil(request.maxTokens() * (0.25 + 0.75 * draw * draw * draw)));
	}

	private String version(Generation generation) {
		String line = generation.request().line();
		return line + "@" + this.versions.get(line);
	}

	private EngineLoad report(long now) {
		return new EngineLoad(this.incarnation, !this.admitsCold || now >= this.warmAtMillis, this.running.size(),
				this.waiting.size(), this.settings.capacity(), false, new TreeMap<>(this.versions), now);
	}

	private void trimReports(long now) {
		while (this.reports.size() > 1) {
			EngineLoad oldest = this.reports.removeFirst();
			if (this.reports.getFirst().atMs() > now - this.settings.reportLagMillis()) {
				this.reports.addFirst(oldest);
				return;
			}
		}
	}

}
