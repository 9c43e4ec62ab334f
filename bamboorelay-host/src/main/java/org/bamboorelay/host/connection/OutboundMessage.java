package org.bamboorelay.host.connection;

import java.util.Objects;
import java.util.concurrent.atomic.AtomicInteger;

import io.vavr.control.Option;
import org.bamboorelay.core.process.MemoryBudget;
import org.bamboorelay.runtime.connection.EncodedMessage;

/**
 * An encoded message that waits to be sent on one or more links. Its bytes are reserved
 * once, and released when the last link has sent or dropped it.
 * <p>
 * Thread-safe.
 */
final class OutboundMessage implements AutoCloseable {

	private final EncodedMessage message;

	private final MemoryBudget budget;

	private final AtomicInteger holders = new AtomicInteger(1);

	private OutboundMessage(EncodedMessage message, MemoryBudget budget) {
		this.message = message;
		this.budget = budget;
	}

	/**
	 * Reserves the memory for a message. The creator holds the message until it calls
	 * {@link #close}.
	 * @param message the message
	 * @param budget the memory for messages of the process
	 * @return the message, or none if the budget doesn't permit it
	 */
	static Option<OutboundMessage> of(EncodedMessage message, MemoryBudget budget) {
		Objects.requireNonNull(message, "message");
		return budget.reserve(message.sizeBytes()) ? Option.some(new OutboundMessage(message, budget)) : Option.none();
	}

	EncodedMessage message() {
		return this.message;
	}

	/**
	 * Adds a holder, which must call {@link #close} once.
	 * @return this message
	 */
	OutboundMessage retain() {
		this.holders.incrementAndGet();
		return this;
	}

	@Override
	public void close() {
		if (this.holders.decrementAndGet() == 0) {
			this.budget.release(this.message.sizeBytes());
		}
	}

}
