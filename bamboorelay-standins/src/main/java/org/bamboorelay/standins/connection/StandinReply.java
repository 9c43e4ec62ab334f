package org.bamboorelay.standins.connection;

import java.io.IOException;
import java.io.OutputStream;
import java.util.LinkedHashMap;
import java.util.Map;

import org.bamboorelay.runtime.request.Json;

/**
 * The answer to a request.
 * <p>
 * Immutable and thread-safe.
 *
 * @param status the status code, or 0 to close the connection without an answer
 * @param headers header fields besides those of the framing
 * @param contentType the media type of the body
 * @param length length of the body in bytes, or -1 for a chunked one
 * @param body writes the body
 * @param outcome what the record says about the request
 */
public record StandinReply(int status, Map<String, String> headers, String contentType, long length, Body body,
		String outcome) {

	private static final String JSON = "application/json";

	/**
	 * Creates an answer with a JSON body.
	 * @param status the status code
	 * @param value the value of the body
	 * @return the answer
	 */
	public static StandinReply json(int status, Object value) {
		return bytes(status, JSON, Json.bytes(value));
	}

	/**
	 * Creates an answer with a problem in its body.
	 * @param status the status code
	 * @param detail what is wrong
	 * @return the answer
	 */
	public static StandinReply problem(int status, String detail) {
		return json(status, Map.of("status", status, "detail", detail)).withOutcome(status + " " + detail);
	}

	/**
	 * Creates an answer.
	 * @param status the status code
	 * @param contentType the media type
	 * @param body the body
	 * @return the answer
	 */
	public static StandinReply bytes(int status, String contentType, byte[] body) {
		return new StandinReply(status, Map.of(), contentType, body.length, (out) -> out.write(body),
				Integer.toString(status));
	}

	/**
	 * Creates a chunked answer.
	 * @param contentType the media type
	 * @param body writes the body
	 * @return the answer
	 */
	public static StandinReply stream(String contentType, Body body) {
		return new StandinReply(200, Map.of(), contentType, -1, body, "200");
	}

	/**
	 * Creates the absence of an answer: the connection is closed.
	 * @param outcome what the record says
	 * @return the answer
	 */
	public static StandinReply closed(String outcome) {
		return new StandinReply(0, Map.of(), JSON, 0, (out) -> {
		}, outcome);
	}

	/**
	 * Returns an answer with one more header field.
	 * @param name the name
	 * @param value the value
	 * @return the new answer
	 */
	public StandinReply withHeader(String name, String value) {
		Map<String, String> more = new LinkedHashMap<>(this.headers);
		more.put(name, value);
		return new StandinReply(this.status, more, this.contentType, this.length, this.body, this.outcome);
	}

	/**
	 * Returns an answer with another outcome in the record.
	 * @param text the outcome
	 * @return the new answer
	 */
	public StandinReply withOutcome(String text) {
		return new StandinReply(this.status, this.headers, this.contentType, this.length, this.body, text);
	}

	/**
	 * Returns an answer whose connection is closed inside the body.
	 * @param bytes how many bytes of the body are sent
	 * @return the new answer
	 */
	public StandinReply withCutAt(long bytes) {
		return new StandinReply(this.status, this.headers, this.contentType, this.length,
				(out) -> this.body.writeTo(new CutStream(out, bytes)), this.outcome + " cut at " + bytes);
	}

	/**
	 * Writes a body.
	 */
	@FunctionalInterface
	public interface Body {

		/**
		 * Writes the whole body. Throwing leaves the answer truncated.
		 * @param out takes the bytes
		 * @throws IOException where the connection breaks or is to be closed
		 */
		void writeTo(OutputStream out) throws IOException;

	}

	private static final class CutStream extends OutputStream {

		private final OutputStream out;

		private long left;

		private CutStream(OutputStream out, long left) {
			this.out = out;
			this.left = left;
		}

		@Override
		public void write(int value) throws IOException {
			write(new byte[] { (byte) value }, 0, 1);
		}

		@Override
		public void write(byte[] bytes, int offset, int length) throws IOException {
			int part = (int) Math.min(this.left, length);
			this.out.write(bytes, offset, part);
			this.left -= part;
			if (part < length) {
				this.out.flush();
				throw new IOException("fault: the answer is cut");
			}
		}

		@Override
		public void flush() throws IOException {
			this.out.flush();
		}

	}

}
