package org.bamboorelay.entry.connection;

import java.io.ByteArrayOutputStream;
import java.io.EOFException;
import java.io.IOException;
import java.io.InputStream;
import java.nio.charset.StandardCharsets;
import java.util.Locale;

/**
 * A raw HTTP message as transmitted, including trailers, for tests that check exact
 * bytes.
 *
 * @param head the first line and the headers
 * @param raw the whole message, head and body
 * @param body the body as transmitted, including chunk framing
 */
public record RawHttpMessage(String head, String raw, String body) {

	/**
	 * Reads one message.
	 * @param in the stream, at the start of a message
	 * @return the message
	 * @throws IOException if the stream ends before the end of the message
	 */
	public static RawHttpMessage read(InputStream in) throws IOException {
		String head = until(in, "\r\n\r\n");
		String lower = head.toLowerCase(Locale.ROOT);
		String body = "";
		int length = lower.indexOf("\r\ncontent-length: ");
		if (lower.contains("transfer-encoding: chunked")) {
			body = until(in, "0\r\n");
			// Any trailers are followed by an empty line.
			String line = until(in, "\r\n");
			while (!line.equals("\r\n")) {
				body += line;
				line = until(in, "\r\n");
			}
		}
		else if (length >= 0) {
			int bytes = Integer.parseInt(lower.substring(length + 18, lower.indexOf('\r', length + 2)).strip());
			body = new String(in.readNBytes(bytes), StandardCharsets.ISO_8859_1);
		}
		return new RawHttpMessage(head, head + body, body);
	}

	/**
	 * Returns the value of a header.
	 * @param name the name
	 * @return the value; empty if the header is absent
	 */
	public String header(String name) {
		return this.head.lines()
			.filter((line) -> line.toLowerCase(Locale.ROOT).startsWith(name.toLowerCase(Locale.ROOT) + ":"))
			.map((line) -> line.substring(name.length() + 1).strip())
			.findFirst()
			.orElse("");
	}

	/**
	 * Returns the status of a response.
	 * @return the status code
	 */
	public int status() {
		return Integer.parseInt(this.head.substring(9, 12));
	}

	private static String until(InputStream in, String end) throws IOException {
		ByteArrayOutputStream bytes = new ByteArrayOutputStream();
		while (true) {
			int next = in.read();
			if (next < 0) {
				throw new EOFException("the stream ended after: " + bytes);
			}
			bytes.write(next);
			String text = bytes.toString(StandardCharsets.ISO_8859_1);
			if (text.endsWith(end) && (!end.startsWith("0") || text.equals(end) || text.endsWith("\n" + end))) {
				return text;
			}
		}
	}

}
