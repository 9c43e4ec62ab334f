package org.bamboorelay.host.connection;

import java.util.Objects;
import java.util.Queue;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.Function;

import io.vavr.control.Either;
import org.bamboorelay.core.connection.PeerMessage;
import org.bamboorelay.core.connection.PeerProtocol;
import org.bamboorelay.core.time.Clock;
import org.bamboorelay.host.process.EventLog;
import org.bamboorelay.runtime.connection.PeerFailure;
import org.bamboorelay.runtime.connection.PeerLink;
import org.jspecify.annotations.Nullable;

/**
 * Link on which this host sends to one other host. It is reopened after it broke, and
 * replaced if it stops being acknowledged.
 * <p>
 * Thread-safe.
 */
final class OutgoingLink {

	/** Maximum number of queued messages; a link that falls further behind is closed. */
	private static final int MAX_OUTBOUND_MESSAGES = 200;

	/**
	 * Maximum size of the queued messages, in bytes: one message of the maximum size and
	 * several pages of a list of the store.
	 */
	private static final long MAX_OUTBOUND_BYTES = 2L * PeerProtocol.MAX_FRAME_BYTES;

	/**
	 * Time without an acknowledgement of a status after which the link is replaced, in
	 * milliseconds: a stalled connection reports no error.
	 */
	private static final long ACK_TIMEOUT_MILLIS = 1_500;

	/** Delay after a failed connection attempt, in milliseconds. */
	private static final long RECONNECT_DELAY_MILLIS = 500;

	private final String host;

	private final String address;

	private final Function<String, Either<PeerFailure, PeerLink>> connector;

	private final Clock clock;

	private final ExecutorService executor;

	private final EventLog log;

	private final Queue<OutboundMessage> outbound = new ConcurrentLinkedQueue<>();

	private final AtomicLong outboundBytes = new AtomicLong();

	private final AtomicBoolean sending = new AtomicBoolean();

	private final AtomicBoolean connecting = new AtomicBoolean();

	private final Object openLock = new Object();

	private volatile @Nullable PeerLink link;

	private volatile long lastAckMillis;

	private volatile long nextConnectMillis;

	/**
	 * Creates a link that is not open yet.
	 * @param host the other host
	 * @param address the address of the other host, {@code ip:port}
	 * @param connector opens a connection to an address
	 * @param clock the monotonic clock of the process
	 * @param executor the threads that send and connect
	 * @param log the log of the process
	 */
	OutgoingLink(String host, String address, Function<String, Either<PeerFailure, PeerLink>> connector, Clock clock,
			ExecutorService executor, EventLog log) {
		this.host = Objects.requireNonNull(host, "host");
		this.address = Objects.requireNonNull(address, "address");
		this.connector = Objects.requireNonNull(connector, "connector");
		this.clock = Objects.requireNonNull(clock, "clock");
		this.executor = Objects.requireNonNull(executor, "executor");
		this.log = Objects.requireNonNull(log, "log");
	}

	String address() {
		return this.address;
	}

	long lastAcknowledgedMillis() {
		return this.lastAckMillis;
	}

	boolean isOpen() {
		PeerLink currentLink = this.link;
		return currentLink != null && currentLink.isOpen();
	}

	/**
	 * Sends a message without blocking. A link whose remote end does not read blocks the
	 * writing thread, which must be neither the thread that watches the store nor the one
	 * that sends statuses.
	 * @param message the message, which the link holds until it was sent; dropped if the
	 * link is not open
	 */
	void send(OutboundMessage message) {
		int sizeBytes = message.message().sizeBytes();
		if (this.outbound.size() >= MAX_OUTBOUND_MESSAGES
				|| this.outboundBytes.get() + sizeBytes > MAX_OUTBOUND_BYTES) {
			discardQueued();
			return;
		}
		this.outboundBytes.addAndGet(sizeBytes);
		this.outbound.add(message.retain());
		if (this.sending.compareAndSet(false, true)) {
			this.executor.execute(this::sendQueued);
		}
	}

	/**
	 * Returns the size of the messages that wait on this link or are being sent.
	 * @return the number of bytes
	 */
	long outboundBytes() {
		return this.outboundBytes.get();
	}

	/**
	 * Returns whether messages wait behind the one that is being sent.
	 * @return whether the link is behind
	 */
	boolean hasQueued() {
		return !this.outbound.isEmpty();
	}

	/**
	 * Closes the link and drops the messages that wait on it.
	 */
	void discardQueued() {
		this.log.info("peer-link-behind", "peer", this.host, "messages", this.outbound.size(), "bytes",
				this.outboundBytes.get());
		close();
		for (OutboundMessage next = this.outbound.poll(); next != null; next = this.outbound.poll()) {
			release(next);
		}
	}

	/**
	 * Sends a request and waits for the response.
	 * @param message the request
	 * @param timeoutMillis the maximum wait, in milliseconds
	 * @return the response, or the reason why there is none
	 */
	Either<PeerFailure, PeerMessage> call(PeerMessage message, long timeoutMillis) {
		PeerLink currentLink = this.link;
		if (currentLink == null || !currentLink.isOpen()) {
			return Either.left(new PeerFailure.Unreachable("no open link to " + this.host));
		}
		if (!currentLink.remote().supports(message.getClass())) {
			return Either.left(new PeerFailure.Rejected("unsupported",
					"earlier release at " + this.host + " does not know " + message.getClass().getSimpleName()));
		}
		return currentLink.call(message, timeoutMillis);
	}

	/**
	 * Starts to connect, unless an attempt is in progress or the last one failed
	 * recently.
	 */
	void connect() {
		if (this.clock.millis() < this.nextConnectMillis || !this.connecting.compareAndSet(false, true)) {
			return;
		}
		this.executor.execute(() -> {
			try {
				open();
			}
			finally {
				this.connecting.set(false);
			}
		});
	}

	/**
	 * Connects and waits for the connection, unless the last attempt failed recently.
	 */
	void open() {
		synchronized (this.openLock) {
			if (isOpen() || this.clock.millis() < this.nextConnectMillis) {
				return;
			}
			Either<PeerFailure, PeerLink> opened = this.connector.apply(this.address);
			if (opened.isRight()) {
				this.lastAckMillis = this.clock.millis();
				this.link = opened.get();
			}
			else {
				this.nextConnectMillis = this.clock.millis() + RECONNECT_DELAY_MILLIS;
			}
		}
	}

	/**
	 * Records that the other host acknowledged a status.
	 */
	void onAcknowledged() {
		this.lastAckMillis = this.clock.millis();
	}

	/**
	 * Closes the link if its statuses have not been acknowledged for too long.
	 */
	void closeIfUnacknowledged() {
		long silentMillis = this.clock.millis() - this.lastAckMillis;
		if (isOpen() && silentMillis > ACK_TIMEOUT_MILLIS) {
			this.log.info("peer-link-silent", "peer", this.host, "silent_ms", silentMillis);
			close();
			this.nextConnectMillis = this.clock.millis();
		}
	}

	void close() {
		PeerLink currentLink = this.link;
		if (currentLink != null) {
			currentLink.close();
		}
	}

	private void release(OutboundMessage message) {
		this.outboundBytes.addAndGet(-message.message().sizeBytes());
		message.close();
	}

	private void sendQueued() {
		while (true) {
			OutboundMessage next = this.outbound.poll();
			if (next != null) {
				PeerLink currentLink = this.link;
				// A process of an earlier release closes the link if it receives a later
				// type.
				if (currentLink != null && currentLink.remote().supports(next.message().type())) {
					currentLink.send(next.message());
				}
				release(next);
			}
			else {
				this.sending.set(false);
				if (this.outbound.isEmpty() || !this.sending.compareAndSet(false, true)) {
					return;
				}
			}
		}
	}

}
