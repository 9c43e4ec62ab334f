package review3;

import java.io.BufferedInputStream;
import java.io.ByteArrayOutputStream;
import java.io.EOFException;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.LinkedHashMap;
import java.util.Locale;
import java.util.Map;
import java.util.TreeMap;

/** A small HTTP/1.1 server and client on plain sockets. */
final class Http {

	private Http() {
	}

	/** The head and the body of a request or a response. */
	static final class Message {

		String first = "";

		final Map<String, String> headers = new TreeMap<>(String.CASE_INSENSITIVE_ORDER);

		byte[] body = new byte[0];

		String header(String name) {
			return this.headers.getOrDefault(name, "");
		}

		String method() {
			return this.first.split(" ")[0];
		}

		String path() {
			return this.first.split(" ")[1];
		}

		int status() {
			return Integer.parseInt(this.first.split(" ")[1]);
		}

		String text() {
			return new String(this.body, StandardCharsets.UTF_8);
		}

	}

	/** One accepted connection with its streams. */
	static final class Connection {

		final Socket socket;

		final InputStream in;

		final OutputStream out;

		Connection(Socket socket) throws IOException {
			this.socket = socket;
			this.in = new BufferedInputStream(socket.getInputStream());
			this.out = socket.getOutputStream();
		}

		void send(int status, Map<String, String> headers, byte[] body) throws IOException {
			StringBuilder head = new StringBuilder("HTTP/1.1 " + status + " X\r\n");
			headers.forEach((name, value) -> head.append(name).append(": ").append(value).append("\r\n"));
			head.append("Content-Length: ").append(body.length).append("\r\n\r\n");
			ByteArrayOutputStream bytes = new ByteArrayOutputStream();
			bytes.write(head.toString().getBytes(StandardCharsets.UTF_8));
			bytes.write(body);
			this.out.write(bytes.toByteArray());
			this.out.flush();
		}

		void startChunks(int status, Map<String, String> headers) throws IOException {
			StringBuilder head = new StringBuilder("HTTP/1.1 " + status + " X\r\n");
			headers.forEach((name, value) -> head.append(name).append(": ").append(value).append("\r\n"));
			head.append("Transfer-Encoding: chunked\r\n\r\n");
			this.out.write(head.toString().getBytes(StandardCharsets.UTF_8));
			this.out.flush();
		}

		void chunk(String text) throws IOException {
			byte[] bytes = text.getBytes(StandardCharsets.UTF_8);
			ByteArrayOutputStream frame = new ByteArrayOutputStream();
			frame.write((Integer.toHexString(bytes.length) + "\r\n").getBytes(StandardCharsets.UTF_8));
			frame.write(bytes);
			frame.write("\r\n".getBytes(StandardCharsets.UTF_8));
			this.out.write(frame.toByteArray());
			this.out.flush();
		}

		void endChunks() throws IOException {
			this.out.write("0\r\n\r\n".getBytes(StandardCharsets.UTF_8));
			this.out.flush();
		}

		void reset() throws IOException {
			this.socket.setSoLinger(true, 0);
			this.socket.close();
		}

	}

	/** Answers a request; returns false if the connection is to be closed. */
	interface Handler {

		boolean handle(Message request, Connection connection) throws Exception;

	}

	/** Starts a server on an address and returns its port. */
	static ServerSocket serve(String ip, int port, Handler handler) throws IOException {
		ServerSocket server = new ServerSocket(port, 1024, InetAddress.getByName(ip));
		Thread acceptor = new Thread(() -> {
			while (!server.isClosed()) {
				try {
					Socket socket = server.accept();
					socket.setTcpNoDelay(true);
					Thread worker = new Thread(() -> run(socket, handler));
					worker.setDaemon(true);
					worker.start();
				}
				catch (IOException ex) {
					// The server was closed.
				}
			}
		});
		acceptor.setDaemon(true);
		acceptor.start();
		return server;
	}

	private static void run(Socket socket, Handler handler) {
		try (socket) {
			Connection connection = new Connection(socket);
			while (true) {
				Message request = read(connection.in, true, "");
				if (request == null || !handler.handle(request, connection)) {
					return;
				}
			}
		}
		catch (Exception ex) {
			// The peer left, or the case closed the connection.
		}
	}

	/** Reads a message; null if the connection ends before its first byte. */
	static Message read(InputStream in, boolean request, String method) throws IOException {
		Message message = new Message();
		String line = line(in);
		if (line == null) {
			return null;
		}
		message.first = line;
		for (line = line(in); line != null && !line.isEmpty(); line = line(in)) {
			int colon = line.indexOf(':');
			message.headers.put(line.substring(0, colon).trim(), line.substring(colon + 1).trim());
		}
		if (line == null) {
			throw new EOFException("the connection ended inside a head");
		}
		if (message.header("Transfer-Encoding").toLowerCase(Locale.ROOT).contains("chunked")) {
			ByteArrayOutputStream body = new ByteArrayOutputStream();
			while (true) {
				String size = line(in);
				if (size == null) {
					throw new EOFException("the connection ended inside a body");
				}
				int length = Integer.parseInt(size.trim().split(";")[0], 16);
				if (length == 0) {
					line(in);
					break;
				}
				body.write(exactly(in, length));
				line(in);
			}
			message.body = body.toByteArray();
		}
		else if (!message.header("Content-Length").isEmpty()) {
			message.body = exactly(in, Integer.parseInt(message.header("Content-Length")));
		}
		else if (!request && !method.equals("HEAD") && message.status() != 204 && message.status() != 304) {
			message.body = in.readAllBytes();
		}
		return message;
	}

	private static byte[] exactly(InputStream in, int length) throws IOException {
		byte[] bytes = in.readNBytes(length);
		if (bytes.length < length) {
			throw new EOFException("the connection ended inside a body");
		}
		return bytes;
	}

	private static String line(InputStream in) throws IOException {
		ByteArrayOutputStream bytes = new ByteArrayOutputStream();
		for (int value = in.read(); value != '\n'; value = in.read()) {
			if (value < 0) {
				if (bytes.size() == 0) {
					return null;
				}
				throw new EOFException("the connection ended inside a line");
			}
			if (value != '\r') {
				bytes.write(value);
			}
		}
		return bytes.toString(StandardCharsets.ISO_8859_1);
	}

	/** Returns the bytes of a request. */
	static byte[] request(String method, String path, Map<String, String> headers, byte[] body) throws IOException {
		StringBuilder head = new StringBuilder(method + " " + path + " HTTP/1.1\r\n");
		Map<String, String> all = new LinkedHashMap<>(headers);
		if (body.length > 0 || !method.equals("GET")) {
			all.put("Content-Length", String.valueOf(body.length));
		}
		all.forEach((name, value) -> head.append(name).append(": ").append(value).append("\r\n"));
		head.append("\r\n");
		ByteArrayOutputStream bytes = new ByteArrayOutputStream();
		bytes.write(head.toString().getBytes(StandardCharsets.UTF_8));
		bytes.write(body);
		return bytes.toByteArray();
	}

	/** Sends a request on a new connection and reads the answer. */
	static Message call(String address, String method, String path, Map<String, String> headers, byte[] body,
			int timeoutMillis) throws IOException {
		int colon = address.lastIndexOf(':');
		try (Socket socket = new Socket()) {
			socket.setTcpNoDelay(true);
			socket.connect(new InetSocketAddress(address.substring(0, colon),
					Integer.parseInt(address.substring(colon + 1))), Math.min(1_000, timeoutMillis));
			socket.setSoTimeout(timeoutMillis);
			socket.getOutputStream().write(request(method, path, headers, body));
			Message answer = read(new BufferedInputStream(socket.getInputStream()), false, method);
			if (answer == null) {
				throw new EOFException("the connection ended without an answer");
			}
			return answer;
		}
	}

}
