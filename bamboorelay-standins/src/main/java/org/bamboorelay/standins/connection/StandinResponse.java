package org.bamboorelay.standins.connection;

import java.io.IOException;
import java.io.OutputStream;
import java.util.LinkedHashMap;
import java.util.Map;

import org.bamboorelay.runtime.request.Json;

/**
 * The HTTP response of a stand-in.
 * <p>
 * Immutable and thread-safe.
 *
 * @param status the status code, or 0 to close the connection without a response
 * @param headers header fields besides those of the framing
 * @param contentType the media type of the body
 * @param length length of the body in bytes, or -1 for a chunked one
 * @param body writes the body
 * @param outcome the outcome of the request in the record
 */
public record StandinResponse(int status, Map<String, String> headers, String contentType, long length, Body body,
		String outcome) {

	private static final String JSON = "application/json";

	/**
	 * Creates a response with a JSON body.
	 * @param status the status code
	 * @param value the value of the body
	 * @return the response
	 */
	public static StandinResponse json(int status, Object value) {
		return bytes(status, JSON, Json.bytes(value));
	}

	/**
	 * Creates an error response with status and detail as JSON body.
	 * @param status the status code
	 * @param detail what is wrong
	 * @return the response
	 */
	public static StandinResponse problem(int status, String detail) {
		return json(status, Map.of("status", status, "detail", detail)).withOutcome(status + " " + detail);
	}

	/**
	 * Creates a response with a body of known length.
	 * @param status the status code
	 * @param contentType the media type
	 * @param body the body
	 * @return the response
	 */
	public static StandinResponse bytes(int status, String contentType, byte[] body) {
		return new StandinResponse(status, Map.of(), contentType, body.length, (out) -> out.write(body),
				Integer.toString(status));
	}

	/**
	 * Creates a response with status 200 and a chunked body.
	 * @param contentType the media type
	 * @param body writes the body
	 * @return the response
	 */
	public static StandinResponse stream(String contentType, Body body) {
		return new StandinResponse(200, Map.of(), contentType, -1, body, "200");
	}

	/**
	 * Creates a response that closes the connection without sending anything.
	 * @param outcome the recorded outcome
	 * @return the response
	 */
	public static StandinResponse closeConnection(String outcome) {
		return new StandinResponse(0, Map.of(), JSON, 0, (out) -> {
		}, outcome);
	}

	/**
	 * Returns this response with an additional header field.
	 * @param name the name
	 * @param value the value
	 * @return the new response
	 */
	public StandinResponse withHeader(String name, String value) {
		Map<String, String> extended = new LinkedHashMap<>(this.headers);
		extended.put(name, value);
		return new StandinResponse(this.status, extended, this.contentType, this.length, this.body, this.outcome);
	}

	/**
	 * Returns this response with a different recorded outcome.
	 * @param text the outcome
	 * @return the new response
	 */
	public StandinResponse withOutcome(String text) {
		return new StandinResponse(this.status, this.headers, this.contentType, this.length, this.body, text);
	}

	/**
	 * Returns this response with a body that is truncated by closing the connection.
	 * @param bytes how many bytes of the body are sent
	 * @return the new response
	 */
	public StandinResponse truncatedAt(long bytes) {
		return new StandinResponse(this.status, this.headers, this.contentType, this.length,
				(out) -> this.body.writeTo(new TruncatingOutputStream(out, bytes)),
				this.outcome + " truncated at " + bytes);
	}

	/**
	 * Writes a body.
	 */
	@FunctionalInterface
	public interface Body {

		/**
		 * Writes the whole body. An exception leaves the response truncated.
		 * @param out the stream to write to
		 * @throws IOException if the connection breaks or is to be closed
		 */
		void writeTo(OutputStream out) throws IOException;

	}

	private static final class TruncatingOutputStream extends OutputStream {

		private final OutputStream out;

		private long remainingBytes;

		private TruncatingOutputStream(OutputStream out, long remainingBytes) {
			this.out = out;
			this.remainingBytes = remainingBytes;
		}

		@Override
		public void write(int value) throws IOException {
			write(new byte[] { (byte) value }, 0, 1);
		}

		@Override
		public void write(byte[] bytes, int offset, int length) throws IOException {
			int part = (int) Math.min(this.remainingBytes, length);
			this.out.write(bytes, offset, part);
			this.remainingBytes -= part;
			if (part < length) {
				this.out.flush();
				throw new IOException("fault: response truncated");
			}
		}

		@Override
		public void flush() throws IOException {
			this.out.flush();
		}

	}

}
