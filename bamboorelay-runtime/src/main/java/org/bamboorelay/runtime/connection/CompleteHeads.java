package org.bamboorelay.runtime.connection;

import java.io.FilterInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.util.regex.Pattern;

import org.apache.hc.core5.http.ClassicHttpRequest;
import org.apache.hc.core5.http.ClassicHttpResponse;
import org.apache.hc.core5.http.ConnectionClosedException;
import org.apache.hc.core5.http.HttpException;
import org.apache.hc.core5.http.ProtocolException;
import org.apache.hc.core5.http.config.Http1Config;
import org.apache.hc.core5.http.impl.io.DefaultHttpRequestParser;
import org.apache.hc.core5.http.impl.io.DefaultHttpResponseParser;
import org.apache.hc.core5.http.io.HttpMessageParserFactory;
import org.apache.hc.core5.http.io.SessionInputBuffer;
import org.apache.hc.core5.util.CharArrayBuffer;

/**
 * Parsers of message heads that fail if the connection ends inside the head, or if a
 * status line has no valid status. HttpCore takes an incomplete head for complete, so
 * that the message appears to have no body, and accepts any positive status.
 * <p>
 * Stateless and thread-safe.
 */
final class CompleteHeads {

	/** Status codes of HTTP: three digits, of which the first is the class. */
	private static final Pattern STATUS = Pattern.compile("[1-5][0-9]{2}");

	/**
	 * Status with which a server leaves HTTP. No request of this process asks for that,
	 * and HttpCore would wait for a further response.
	 */
	private static final String SWITCHING_PROTOCOLS = "101";

	private static final int MAX_REPORTED_LENGTH = 16;

	private CompleteHeads() {
	}

	static HttpMessageParserFactory<ClassicHttpResponse> responses() {
		return (config) -> new DefaultHttpResponseParser(config) {

			@Override
			public ClassicHttpResponse parse(SessionInputBuffer buffer, InputStream in)
					throws IOException, HttpException {
				return super.parse(buffer, new HeadInputStream(in, buffer.length() > 0));
			}

			@Override
			protected ClassicHttpResponse createMessage(CharArrayBuffer statusLine) throws IOException, HttpException {
				checkStatus(statusLine);
				return super.createMessage(statusLine);
			}

		};
	}

	static HttpMessageParserFactory<ClassicHttpRequest> requests(Http1Config config,
			RequestHeadBuffer.LineListener listener) {
		// HttpCore passes its default configuration, which limits a head to 100 lines.
		return (unused) -> new DefaultHttpRequestParser(config) {

			@Override
			public ClassicHttpRequest parse(SessionInputBuffer buffer, InputStream in)
					throws IOException, HttpException {
				return super.parse(new RequestHeadBuffer(buffer, listener),
						new HeadInputStream(in, buffer.length() > 0));
			}

		};
	}

	private static void checkStatus(CharArrayBuffer statusLine) throws ProtocolException {
		String[] parts = statusLine.toString().trim().split(" +", 3);
		String status = (parts.length > 1) ? parts[1] : "";
		if (!STATUS.matcher(status).matches() || status.equals(SWITCHING_PROTOCOLS)) {
			throw new ProtocolException("response has no valid status: \""
					+ status.substring(0, Math.min(status.length(), MAX_REPORTED_LENGTH)) + "\"");
		}
	}

	/**
	 * The bytes of one head. A connection that ends before the first byte has no message,
	 * which is no failure of a head.
	 */
	private static final class HeadInputStream extends FilterInputStream {

		private boolean started;

		private HeadInputStream(InputStream in, boolean started) {
			super(in);
			this.started = started;
		}

		@Override
		public int read(byte[] buffer, int offset, int length) throws IOException {
			int count = super.read(buffer, offset, length);
			if (count < 0 && this.started) {
				throw new ConnectionClosedException("connection ended inside the head of a message");
			}
			this.started |= count > 0;
			return count;
		}

	}

}
