import java.io.ByteArrayOutputStream;
import java.io.EOFException;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;

/** An HTTP/1.1 request or response with its whole body. */
final class Message {

	final String start;

	final List<String[]> headers = new ArrayList<>();

	byte[] body = new byte[0];

	Message(String start) {
		this.start = start;
	}

	static Message response(int status, byte[] body, String... headers) {
		Message response = new Message("HTTP/1.1 " + status + " Status");
		for (int index = 0; index < headers.length; index += 2) {
			response.headers.add(new String[] { headers[index], headers[index + 1] });
		}
		response.headers.add(new String[] { "Content-Length", Integer.toString(body.length) });
		response.body = body;
		return response;
	}

	String header(String name) {
		return this.headers.stream()
			.filter((header) -> header[0].equalsIgnoreCase(name))
			.map((header) -> header[1])
			.findFirst()
			.orElse(null);
	}

	String method() {
		return this.start.split(" ")[0];
	}

	// The path with its query.
	String target() {
		return this.start.split(" ")[1];
	}

	int status() {
		return Integer.parseInt(this.start.split(" ")[1]);
	}

	String text() {
		return new String(this.body, StandardCharsets.UTF_8);
	}

	byte[] bytes() {
		ByteArrayOutputStream out = new ByteArrayOutputStream();
		out.writeBytes(head());
		out.writeBytes(this.body);
		return out.toByteArray();
	}

	byte[] head() {
		StringBuilder head = new StringBuilder(this.start).append("\r\n");
		this.headers.forEach((header) -> head.append(header[0]).append(": ").append(header[1]).append("\r\n"));
		return head.append("\r\n").toString().getBytes(StandardCharsets.ISO_8859_1);
	}

	void send(OutputStream out) throws IOException {
		out.write(bytes());
		out.flush();
	}

	// Returns null if the connection ends before the first byte.
	static Message read(InputStream in) throws IOException {
		String start = line(in);
		if (start == null) {
			return null;
		}
		Message message = new Message(start);
		for (String line = line(in); line == null || !line.isEmpty(); line = line(in)) {
			if (line == null) {
				throw new EOFException("connection ended inside a head");
			}
			int colon = line.indexOf(':');
			if (colon > 0) {
				message.headers.add(new String[] { line.substring(0, colon), line.substring(colon + 1).trim() });
			}
		}
		String length = message.header("Content-Length");
		String coding = message.header("Transfer-Encoding");
		if (coding != null && coding.equalsIgnoreCase("chunked")) {
			message.body = chunks(in);
		}
		else if (length != null) {
			message.body = in.readNBytes(Integer.parseInt(length));
			if (message.body.length < Integer.parseInt(length)) {
				throw new EOFException("connection ended inside a body");
			}
		}
		else if (start.startsWith("HTTP/")) {
			message.body = in.readAllBytes();
		}
		return message;
	}

	private static byte[] chunks(InputStream in) throws IOException {
		ByteArrayOutputStream body = new ByteArrayOutputStream();
		while (true) {
			String size = line(in);
			if (size == null) {
				throw new EOFException("connection ended between chunks");
			}
			int length = Integer.parseInt(size.split(";")[0].trim(), 16);
			byte[] chunk = in.readNBytes(length);
			if (chunk.length < length || line(in) == null) {
				throw new EOFException("connection ended inside a chunk");
			}
			body.writeBytes(chunk);
			if (length == 0) {
				return body.toByteArray();
			}
		}
	}

	private static String line(InputStream in) throws IOException {
		ByteArrayOutputStream line = new ByteArrayOutputStream();
		for (int next = in.read(); next != '\n'; next = in.read()) {
			if (next < 0) {
				if (line.size() > 0) {
					throw new EOFException("connection ended inside a line");
				}
				return null;
			}
			if (next != '\r') {
				line.write(next);
			}
		}
		return line.toString(StandardCharsets.ISO_8859_1);
	}

}
