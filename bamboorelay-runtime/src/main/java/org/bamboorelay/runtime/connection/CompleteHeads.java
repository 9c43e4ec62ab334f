package org.bamboorelay.runtime.connection;

import java.io.FilterInputStream;
import java.io.IOException;
import java.io.InputStream;

import org.apache.hc.core5.http.ClassicHttpRequest;
import org.apache.hc.core5.http.ClassicHttpResponse;
import org.apache.hc.core5.http.ConnectionClosedException;
import org.apache.hc.core5.http.HttpException;
import org.apache.hc.core5.http.config.Http1Config;
import org.apache.hc.core5.http.impl.io.DefaultHttpRequestParser;
import org.apache.hc.core5.http.impl.io.DefaultHttpResponseParser;
import org.apache.hc.core5.http.io.HttpMessageParserFactory;
import org.apache.hc.core5.http.io.SessionInputBuffer;

/**
 * Parsers of message heads that fail if the connection ends inside the head. HttpCore
 * takes such a head for complete, so that the message appears to have no body.
 * <p>
 * Stateless and thread-safe.
 */
final class CompleteHeads {

	private CompleteHeads() {
	}

	static HttpMessageParserFactory<ClassicHttpResponse> responses() {
		return (config) -> new DefaultHttpResponseParser(config) {

			@Override
			public ClassicHttpResponse parse(SessionInputBuffer buffer, InputStream in)
					throws IOException, HttpException {
				return super.parse(buffer, new HeadInputStream(in, buffer.length() > 0));
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
