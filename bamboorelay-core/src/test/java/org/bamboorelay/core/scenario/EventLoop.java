package org.bamboorelay.core.scenario;

import java.util.Comparator;
import java.util.PriorityQueue;
import java.util.Random;

import org.bamboorelay.core.time.ManualClock;

/**
 * Runs events in order of time on a manual clock. Messages to a frozen process are queued
 * in order until the freeze ends; its timers fire shortly before or after them. Events of
 * a killed process are discarded.
 */
final class EventLoop {

	/**
	 * Bound on the delay, in milliseconds, after which each thread of a process resumes
	 * when a freeze ends.
	 */
	static final int MAX_WAKE_DELAY_MILLIS = 40;

	final long startMillis = 1_000_000;

	final ManualClock clock = ManualClock.of(this.startMillis);

	private final PriorityQueue<Event> events = new PriorityQueue<>(
			Comparator.comparingLong(Event::at).thenComparingLong(Event::sequence));

	private final Random random;

	private long sequence;

	/** The number of events that have run. */
	long eventCount;

	EventLoop(Random random) {
		this.random = random;
	}

	long now() {
		return this.clock.millis();
	}

	long elapsed() {
		return now() - this.startMillis;
	}

	/** Schedules an action that does not belong to a process. */
	void after(long delayMillis, Runnable action) {
		this.events.add(new Event(now() + delayMillis, ++this.sequence, null, 0, false, action));
	}

	/** Schedules an action of the current incarnation of a process. */
	void after(long delayMillis, SimulatedProcess process, Runnable action) {
		this.events.add(new Event(now() + delayMillis, ++this.sequence, process, process.incarnation, false, action));
	}

	/** Runs an action of a process periodically, with a random first delay. */
	void every(long intervalMillis, SimulatedProcess process, Runnable action) {
		timer(1 + this.random.nextInt((int) intervalMillis), process, () -> repeat(intervalMillis, process, action));
	}

	private void repeat(long intervalMillis, SimulatedProcess process, Runnable action) {
		action.run();
		timer(intervalMillis, process, () -> repeat(intervalMillis, process, action));
	}

	private void timer(long delayMillis, SimulatedProcess process, Runnable action) {
		this.events.add(new Event(now() + delayMillis, ++this.sequence, process, process.incarnation, true, action));
	}

	void run(long untilElapsedMillis, Runnable afterEach) {
		while (!this.events.isEmpty() && this.events.peek().at - this.startMillis <= untilElapsedMillis) {
			Event event = this.events.remove();
			if (event.at > now()) {
				this.clock.advance(event.at - now());
			}
			SimulatedProcess process = event.process;
			if (process != null && (!process.alive || process.incarnation != event.incarnation)) {
				continue;
			}
			if (process != null && process.frozenUntil > now()) {
				long wakeDelay = event.timer ? this.random.nextInt(MAX_WAKE_DELAY_MILLIS) : process.wakeDelayMillis;
				this.events.add(new Event(process.frozenUntil + wakeDelay, event.sequence, process, event.incarnation,
						event.timer, event.action));
				continue;
			}
			event.action.run();
			this.eventCount++;
			afterEach.run();
		}
	}

	private record Event(long at, long sequence, SimulatedProcess process, int incarnation, boolean timer,
			Runnable action) {
	}

}
