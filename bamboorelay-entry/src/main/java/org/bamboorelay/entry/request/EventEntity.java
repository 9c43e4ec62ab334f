package org.bamboorelay.entry.request;

import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;

import org.apache.hc.core5.http.ContentType;
import org.apache.hc.core5.http.io.entity.AbstractHttpEntity;

/**
 * A body of server-sent events that is written while it is made.
 * <p>
 * Used by one thread.
 */
final class EventEntity extends AbstractHttpEntity {

	private final EventWriter writer;

	EventEntity(EventWriter writer) {
		super(ContentType.TEXT_EVENT_STREAM, null, true);
		this.writer = writer;
	}

	@Override
	public boolean isRepeatable() {
		return false;
	}

	@Override
	public boolean isStreaming() {
		return true;
	}

	@Override
	public long getContentLength() {
		return -1;
	}

	@Override
	public InputStream getContent() {
		throw new UnsupportedOperationException("events are written, not read");
	}

	@Override
	public void writeTo(OutputStream out) throws IOException {
		this.writer.writeTo(out);
	}

	@Override
	public void close() {
		// What the writer holds is closed by the route.
	}

	/**
	 * Writes events.
	 */
	@FunctionalInterface
	interface EventWriter {

		/**
		 * Writes all events.
		 * @param out takes the events
		 * @throws IOException where the caller is gone
		 */
		void writeTo(OutputStream out) throws IOException;

	}

}
