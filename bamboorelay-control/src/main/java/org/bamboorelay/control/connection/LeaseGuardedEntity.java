package org.bamboorelay.control.connection;

import java.io.ByteArrayInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.util.function.BooleanSupplier;

import org.apache.hc.core5.http.ContentType;
import org.apache.hc.core5.http.io.entity.AbstractHttpEntity;

/**
 * Request body whose last byte is sent only while a lease is held. A receiver cannot act
 * on a body that is shorter than its declared content length.
 * <p>
 * Used by one thread.
 */
final class LeaseGuardedEntity extends AbstractHttpEntity {

	private final byte[] body;

	private final BooleanSupplier isLeaseHeld;

	private boolean aborted;

	LeaseGuardedEntity(byte[] body, BooleanSupplier isLeaseHeld) {
		super(ContentType.APPLICATION_JSON, null);
		if (body.length == 0) {
			throw new IllegalArgumentException("order body must not be empty: 0 bytes");
		}
		this.body = body;
		this.isLeaseHeld = isLeaseHeld;
	}

	/**
	 * Returns whether the last byte was withheld.
	 * @return true if the order cannot have taken effect
	 */
	boolean isAborted() {
		return this.aborted;
	}

	@Override
	public void writeTo(OutputStream out) throws IOException {
		out.write(this.body, 0, this.body.length - 1);
		out.flush();
		if (!this.isLeaseHeld.getAsBoolean()) {
			this.aborted = true;
			throw new IOException("lease lost before the last byte of the order was sent");
		}
		out.write(this.body, this.body.length - 1, 1);
		out.flush();
	}

	@Override
	public long getContentLength() {
		return this.body.length;
	}

	@Override
	public InputStream getContent() {
		return new ByteArrayInputStream(this.body);
	}

	@Override
	public boolean isStreaming() {
		return false;
	}

	@Override
	public boolean isRepeatable() {
		return false;
	}

	@Override
	public void close() {
		// The body is in memory, so there is nothing to close.
	}

}
