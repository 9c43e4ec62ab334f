package org.bamboorelay.core.scenario;

import java.util.Comparator;
import java.util.PriorityQueue;
import java.util.Random;

import org.bamboorelay.core.time.ManualClock;

/**
 * Runs events in the order of their times on a manual clock. Messages to a frozen process
 * wait in order until it runs again, and its timers run shortly before or after them.
 * Events of a killed process are dropped.
 */
final class EventLoop {

	/** The most time by which the threads of a process differ after a freeze. */
	static final int WAKE_MILLIS = 40;

	final long start = 1_000_000;

	final ManualClock clock = ManualClock.of(this.start);

	private final PriorityQueue<Event> events = new PriorityQueue<>(
			Comparator.comparingLong(Event::at).thenComparingLong(Event::number));

	private final Random random;

	private long number;

	/** Events that ran. */
	long steps;

	EventLoop(Random random) {
		this.random = random;
	}

	long now() {
		return this.clock.millis();
	}

	long elapsed() {
		return now() - this.start;
	}

	/** Runs an action that no process carries out. */
	void after(long delay, Runnable action) {
		this.events.add(new Event(now() + delay, ++this.number, null, 0, false, action));
	}

	/** Runs an action of the present incarnation of a process. */
	void after(long delay, SimProcess process, Runnable action) {
		this.events.add(new Event(now() + delay, ++this.number, process, process.incarnation, false, action));
	}

	/** Runs an action of a process again and again. */
	void every(long interval, SimProcess process, Runnable action) {
		timer(1 + this.random.nextInt((int) interval), process, () -> repeat(interval, process, action));
	}

	private void repeat(long interval, SimProcess process, Runnable action) {
		action.run();
		timer(interval, process, () -> repeat(interval, process, action));
	}

	private void timer(long delay, SimProcess process, Runnable action) {
		this.events.add(new Event(now() + delay, ++this.number, process, process.incarnation, true, action));
	}

	void run(long untilElapsed, Runnable afterEach) {
		while (!this.events.isEmpty() && this.events.peek().at - this.start <= untilElapsed) {
			Event event = this.events.remove();
			if (event.at > now()) {
				this.clock.advance(event.at - now());
			}
			SimProcess process = event.process;
			if (process != null && (!process.alive || process.incarnation != event.incarnation)) {
				continue;
			}
			if (process != null && process.frozenUntil > now()) {
				long wake = event.timer ? this.random.nextInt(WAKE_MILLIS) : process.wakeMillis;
				this.events.add(new Event(process.frozenUntil + wake, event.number, process, event.incarnation,
						event.timer, event.action));
				continue;
			}
			event.action.run();
			this.steps++;
			afterEach.run();
		}
	}

	private record Event(long at, long number, SimProcess process, int incarnation, boolean timer, Runnable action) {
	}

}
