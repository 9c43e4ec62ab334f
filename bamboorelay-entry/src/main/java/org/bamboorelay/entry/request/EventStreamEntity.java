package org.bamboorelay.entry.request;

import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;

import org.apache.hc.core5.http.ContentType;
import org.apache.hc.core5.http.io.entity.AbstractHttpEntity;

/**
 * Response body of server-sent events that are written as they arise.
 * <p>
 * Not thread-safe.
 */
final class EventStreamEntity extends AbstractHttpEntity {

	private final EventWriter writer;

	EventStreamEntity(EventWriter writer) {
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
		throw new UnsupportedOperationException("an event stream can only be written");
	}

	@Override
	public void writeTo(OutputStream out) throws IOException {
		this.writer.writeTo(out);
	}

	@Override
	public void close() {
		// The route closes the resources of the writer.
	}

	/**
	 * Writes events.
	 */
	@FunctionalInterface
	interface EventWriter {

		/**
		 * Writes all events.
		 * @param out the stream to write to
		 * @throws IOException if the caller has disconnected
		 */
		void writeTo(OutputStream out) throws IOException;

	}

}
