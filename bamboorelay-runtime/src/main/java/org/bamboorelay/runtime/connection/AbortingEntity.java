package org.bamboorelay.runtime.connection;

import java.io.IOException;
import java.io.OutputStream;

import org.apache.hc.core5.http.HttpEntity;
import org.apache.hc.core5.http.impl.io.DefaultBHttpServerConnection;
import org.apache.hc.core5.http.io.entity.HttpEntityWrapper;

/**
 * Response body whose connection is closed if writing it fails.
 * <p>
 * Must be used by one thread.
 */
final class AbortingEntity extends HttpEntityWrapper {

	private final DefaultBHttpServerConnection connection;

	AbortingEntity(HttpEntity entity, DefaultBHttpServerConnection connection) {
		super(entity);
		this.connection = connection;
	}

	@Override
	public void writeTo(OutputStream out) throws IOException {
		boolean complete = false;
		try {
			super.writeTo(out);
			complete = true;
		}
		finally {
			if (!complete) {
				this.connection.close();
			}
		}
	}

}
