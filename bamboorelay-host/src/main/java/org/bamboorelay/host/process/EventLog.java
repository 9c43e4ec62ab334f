package org.bamboorelay.host.process;

import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;

import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import org.slf4j.spi.LoggingEventBuilder;

/**
 * Structured log of decisions. Each event has a stable name and named values. Lines above
 * the rate limit of an event are omitted and counted; the next line of that event reports
 * the number of omitted lines.
 * <p>
 * Thread-safe.
 */
public final class EventLog {

	private static final Logger LOGGER = LoggerFactory.getLogger("bamboorelay");

	/**
	 * Maximum number of lines of one event per second, to bound the cost of logging under
	 * load.
	 */
	private static final int MAX_LINES_PER_SECOND = 200;

	private final Map<String, RateLimit> limits = new ConcurrentHashMap<>();

	/**
	 * Writes an informational event.
	 * @param event the name of the event
	 * @param values alternating names and values
	 */
	public void info(String event, Object... values) {
		write(LOGGER.atInfo(), event, values);
	}

	/**
	 * Writes an event that may require an operator's attention.
	 * @param event the name of the event
	 * @param values alternating names and values
	 */
	public void warn(String event, Object... values) {
		write(LOGGER.atWarn(), event, values);
	}

	private void write(LoggingEventBuilder builder, String event, Object... values) {
		long omitted = this.limits.computeIfAbsent(event, (unused) -> new RateLimit()).admit();
		if (omitted < 0) {
			return;
		}
		LoggingEventBuilder line = builder;
		for (int index = 0; index + 1 < values.length; index += 2) {
			line = line.addKeyValue(String.valueOf(values[index]), values[index + 1]);
		}
		if (omitted > 0) {
			line = line.addKeyValue("omitted", omitted);
		}
		line.log(event);
	}

	private static final class RateLimit {

		private final AtomicLong second = new AtomicLong();

		private final AtomicInteger lines = new AtomicInteger();

		private final AtomicLong omitted = new AtomicLong();

		// Returns the number of lines omitted since the last one, or -1 if this line is
		// to be omitted.
		private long admit() {
			long now = System.nanoTime() / 1_000_000_000L;
			if (this.second.getAndSet(now) != now) {
				this.lines.set(0);
			}
			if (this.lines.incrementAndGet() > MAX_LINES_PER_SECOND) {
				this.omitted.incrementAndGet();
				return -1;
			}
			return this.omitted.getAndSet(0);
		}

	}

}
