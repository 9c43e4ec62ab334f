package org.bamboorelay.host.process;

import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;

import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import org.slf4j.spi.LoggingEventBuilder;

/**
 * Structured log of decisions. Each event has a stable name and named values. An event
 * that comes too often is left out and counted; the next line of that event says how many
 * are missing.
 * <p>
 * Thread-safe.
 */
public final class EventLog {

	private static final Logger LOGGER = LoggerFactory.getLogger("bamboorelay");

	/** Lines of one event in one second, so that logging stays cheap under load. */
	private static final int LINES_PER_SECOND = 200;

	private final Map<String, Limit> limits = new ConcurrentHashMap<>();

	/**
	 * Writes an event.
	 * @param event the event's name
	 * @param values names and values in turn
	 */
	public void info(String event, Object... values) {
		write(LOGGER.atInfo(), event, values);
	}

	/**
	 * Writes an event that an operator should look at.
	 * @param event the event's name
	 * @param values names and values in turn
	 */
	public void warn(String event, Object... values) {
		write(LOGGER.atWarn(), event, values);
	}

	private void write(LoggingEventBuilder builder, String event, Object... values) {
		long omitted = this.limits.computeIfAbsent(event, (unused) -> new Limit()).admit();
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

	private static final class Limit {

		private final AtomicLong second = new AtomicLong();

		private final AtomicInteger lines = new AtomicInteger();

		private final AtomicLong omitted = new AtomicLong();

		// Returns the number of lines left out before, or -1 to leave out this one.
		private long admit() {
			long now = System.nanoTime() / 1_000_000_000L;
			if (this.second.getAndSet(now) != now) {
				this.lines.set(0);
			}
			if (this.lines.incrementAndGet() > LINES_PER_SECOND) {
				this.omitted.incrementAndGet();
				return -1;
			}
			return this.omitted.getAndSet(0);
		}

	}

}
