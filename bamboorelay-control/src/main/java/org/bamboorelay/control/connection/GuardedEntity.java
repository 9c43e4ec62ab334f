package org.bamboorelay.control.connection;

import java.io.ByteArrayInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.util.function.BooleanSupplier;

import org.apache.hc.core5.http.ContentType;
import org.apache.hc.core5.http.io.entity.AbstractHttpEntity;

/**
 * Body of an order whose last byte goes out only while a lease is held. A receiver cannot
 * act on a body that lacks a byte of its announced length.
 * <p>
 * Used by one thread.
 */
final class GuardedEntity extends AbstractHttpEntity {

	private final byte[] body;

	private final BooleanSupplier allowed;

	private boolean refused;

	GuardedEntity(byte[] body, BooleanSupplier allowed) {
		super(ContentType.APPLICATION_JSON, null);
		if (body.length == 0) {
			throw new IllegalArgumentException("an order has a body: 0 bytes");
		}
		this.body = body;
		this.allowed = allowed;
	}

	/**
	 * Tells whether the last byte was held back.
	 * @return true where the order cannot have taken effect
	 */
	boolean isRefused() {
		return this.refused;
	}

	@Override
	public void writeTo(OutputStream out) throws IOException {
		out.write(this.body, 0, this.body.length - 1);
		out.flush();
		if (!this.allowed.getAsBoolean()) {
			this.refused = true;
			throw new IOException("the lease was lost before the last byte of the order");
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
		// Nothing is open.
	}

}
