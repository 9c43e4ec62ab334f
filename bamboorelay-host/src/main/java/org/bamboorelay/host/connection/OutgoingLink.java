package org.bamboorelay.host.connection;

import java.util.Objects;
import java.util.Queue;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.function.Function;

import io.vavr.control.Either;
import org.bamboorelay.core.connection.PeerMessage;
import org.bamboorelay.core.time.Clock;
import org.bamboorelay.host.process.EventLog;
import org.bamboorelay.runtime.connection.PeerFailure;
import org.bamboorelay.runtime.connection.PeerLink;
import org.jspecify.annotations.Nullable;

/**
 * The link on which this host sends to one other host: opened again after it broke, and
 * replaced where it went silent.
 * <p>
 * Thread-safe.
 */
final class OutgoingLink {

	/** Messages that wait for the link; one that falls further behind is closed. */
	private static final int MAX_OUTBOUND = 200;

	/**
	 * A link on which statuses go unacknowledged for this long is replaced, in
	 * milliseconds: a connection that went silent does not say so.
	 */
	private static final long SILENT_MILLIS = 1_500;

	/** Pause after a failed try to connect, in milliseconds. */
	private static final long RECONNECT_MILLIS = 500;

	private final String host;

	private final String address;

	private final Function<String, Either<PeerFailure, PeerLink>> connector;

	private final Clock clock;

	private final ExecutorService threads;

	private final EventLog log;

	private final Queue<PeerMessage> outbound = new ConcurrentLinkedQueue<>();

	private final AtomicBoolean sending = new AtomicBoolean();

	private final AtomicBoolean connecting = new AtomicBoolean();

	private final Object opening = new Object();

	private volatile @Nullable PeerLink link;

	private volatile long acknowledgedAt;

	private volatile long nextConnectAt;

	/**
	 * Creates a link that is not open yet.
	 * @param host the other host
	 * @param address {@code ip:port}
	 * @param connector opens a connection to an address
	 * @param clock the monotonic clock of the process
	 * @param threads sends and connects
	 * @param log the log of the process
	 */
	OutgoingLink(String host, String address, Function<String, Either<PeerFailure, PeerLink>> connector, Clock clock,
			ExecutorService threads, EventLog log) {
		this.host = Objects.requireNonNull(host, "host");
		this.address = Objects.requireNonNull(address, "address");
		this.connector = Objects.requireNonNull(connector, "connector");
		this.clock = Objects.requireNonNull(clock, "clock");
		this.threads = Objects.requireNonNull(threads, "threads");
		this.log = Objects.requireNonNull(log, "log");
	}

	String address() {
		return this.address;
	}

	boolean isOpen() {
		PeerLink present = this.link;
		return present != null && present.isOpen();
	}

	/**
	 * Sends a message without waiting. A link whose other end does not read blocks its
	 * writer, which must be neither the thread that watches the store nor the one that
	 * keeps hosts alive.
	 * @param message the message; lost where the link is not open
	 */
	void send(PeerMessage message) {
		if (this.outbound.size() >= MAX_OUTBOUND) {
			close();
			this.outbound.clear();
			return;
		}
		this.outbound.add(message);
		if (this.sending.compareAndSet(false, true)) {
			this.threads.execute(this::drain);
		}
	}

	/**
	 * Sends a question and waits for its answer.
	 * @param message the question
	 * @param timeoutMillis the longest wait, in milliseconds
	 * @return the answer
	 */
	Either<PeerFailure, PeerMessage> call(PeerMessage message, long timeoutMillis) {
		PeerLink present = this.link;
		if (present == null || !present.isOpen()) {
			return Either.left(new PeerFailure.Unreachable("no link to " + this.host));
		}
		return present.call(message, timeoutMillis);
	}

	/**
	 * Starts to connect, unless that failed just now or is being tried.
	 */
	void connect() {
		if (this.clock.millis() < this.nextConnectAt || !this.connecting.compareAndSet(false, true)) {
			return;
		}
		this.threads.execute(() -> {
			try {
				open();
			}
			finally {
				this.connecting.set(false);
			}
		});
	}

	/**
	 * Connects, unless that failed just now, and waits for it.
	 */
	void open() {
		synchronized (this.opening) {
			if (isOpen() || this.clock.millis() < this.nextConnectAt) {
				return;
			}
			Either<PeerFailure, PeerLink> opened = this.connector.apply(this.address);
			if (opened.isRight()) {
				this.acknowledgedAt = this.clock.millis();
				this.link = opened.get();
			}
			else {
				this.nextConnectAt = this.clock.millis() + RECONNECT_MILLIS;
			}
		}
	}

	/**
	 * Notes that the other host acknowledged a status.
	 */
	void acknowledged() {
		this.acknowledgedAt = this.clock.millis();
	}

	/**
	 * Closes the link where statuses on it were not acknowledged for long.
	 */
	void closeIfSilent() {
		long silent = this.clock.millis() - this.acknowledgedAt;
		if (isOpen() && silent > SILENT_MILLIS) {
			this.log.info("peer-link-silent", "peer", this.host, "silent_ms", silent);
			close();
			this.nextConnectAt = this.clock.millis();
		}
	}

	void close() {
		PeerLink present = this.link;
		if (present != null) {
			present.close();
		}
	}

	private void drain() {
		while (true) {
			PeerMessage next = this.outbound.poll();
			PeerLink present = this.link;
			if (next != null && present != null) {
				present.send(next);
			}
			if (next == null) {
				this.sending.set(false);
				if (this.outbound.isEmpty() || !this.sending.compareAndSet(false, true)) {
					return;
				}
			}
		}
	}

}
