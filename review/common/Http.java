package review.common;

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
import java.net.SocketTimeoutException;
import java.nio.charset.StandardCharsets;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.concurrent.ConcurrentHashMap;

/**
 * A small HTTP/1.1 server and client for the stand-ins. Each connection has a thread.
 */
public final class Http {

	private Http() {
	}

	/** A request that was read completely. */
	public record Request(String method, String path, Map<String, String> headers, byte[] body) {

		public String header(String name) {
			return this.headers.getOrDefault(name, "");
		}

		public String pathWithoutQuery() {
			int query = this.path.indexOf('?');
			return (query < 0) ? this.path : this.path.substring(0, query);
		}

		public String parameter(String name, String defaultValue) {
			int query = this.path.indexOf('?');
			for (String pair : (query < 0) ? new String[0] : this.path.substring(query + 1).split("&")) {
				if (pair.startsWith(name + "=")) {
					return pair.substring(name.length() + 1);
				}
			}
			return defaultValue;
		}

		public String text() {
			return new String(this.body, StandardCharsets.UTF_8);
		}

	}

	/** Handles one request; an exception closes the connection. */
	@FunctionalInterface
	public interface Handler {

		void handle(Request request, Exchange exchange) throws Exception;

	}

	/** The response side of one request. */
	public static final class Exchange {

		private final Socket socket;

		private final OutputStream out;

		private boolean close;

		Exchange(Socket socket) throws IOException {
			this.socket = socket;
			this.out = socket.getOutputStream();
		}

		public void reply(int status, Map<String, String> headers, byte[] body) throws IOException {
			StringBuilder head = new StringBuilder("HTTP/1.1 " + status + " S\r\n");
			headers.forEach((name, value) -> head.append(name + ": " + value + "\r\n"));
			head.append("Content-Length: " + body.length + "\r\n\r\n");
			ByteArrayOutputStream bytes = new ByteArrayOutputStream();
			bytes.writeBytes(head.toString().getBytes(StandardCharsets.ISO_8859_1));
			bytes.writeBytes(body);
			this.out.write(bytes.toByteArray());
			this.out.flush();
		}

		public void reply(int status, String body) throws IOException {
			reply(status, Map.of("Content-Type", "application/json"), body.getBytes(StandardCharsets.UTF_8));
		}

		public void startChunked(int status, Map<String, String> headers) throws IOException {
			StringBuilder head = new StringBuilder("HTTP/1.1 " + status + " S\r\n");
			headers.forEach((name, value) -> head.append(name + ": " + value + "\r\n"));
			head.append("Transfer-Encoding: chunked\r\n\r\n");
			this.out.write(head.toString().getBytes(StandardCharsets.ISO_8859_1));
			this.out.flush();
		}

		public void chunk(byte[] bytes) throws IOException {
			this.out.write((Integer.toHexString(bytes.length) + "\r\n").getBytes(StandardCharsets.ISO_8859_1));
			this.out.write(bytes);
			this.out.write("\r\n".getBytes(StandardCharsets.ISO_8859_1));
			this.out.flush();
		}

		public void endChunked() throws IOException {
			this.out.write("0\r\n\r\n".getBytes(StandardCharsets.ISO_8859_1));
			this.out.flush();
		}

		/** Returns whether the other side has closed its connection. */
		public boolean isCallerGone() {
			try {
				this.socket.setSoTimeout(1);
				// A caller sends nothing while it waits, so a byte or an end means that it left.
				return this.socket.getInputStream().read() < 0;
			}
			catch (SocketTimeoutException ex) {
				return false;
			}
			catch (IOException ex) {
				return true;
			}
			finally {
				try {
					this.socket.setSoTimeout(0);
				}
				catch (IOException ex) {
					// The socket is closed.
				}
			}
		}

		public void close() {
			this.close = true;
		}

	}

	/** A listener. */
	public static final class Server implements AutoCloseable {

		private final ServerSocket socket;

		private final Handler handler;

		private final Set<Socket> open = ConcurrentHashMap.newKeySet();

		Server(ServerSocket socket, Handler handler) {
			this.socket = socket;
			this.handler = handler;
			daemon(this::accept);
		}

		public String address() {
			return this.socket.getInetAddress().getHostAddress() + ":" + this.socket.getLocalPort();
		}

		private void accept() {
			try {
				while (true) {
					Socket accepted = this.socket.accept();
					accepted.setTcpNoDelay(true);
					this.open.add(accepted);
					daemon(() -> serve(accepted));
				}
			}
			catch (IOException ex) {
				// The listener was closed.
			}
		}

		private void serve(Socket accepted) {
			try (accepted) {
				InputStream in = new BufferedInputStream(accepted.getInputStream());
				while (true) {
					Request request = readRequest(in);
					if (request == null) {
						return;
					}
					Exchange exchange = new Exchange(accepted);
					this.handler.handle(request, exchange);
					if (exchange.close) {
						return;
					}
				}
			}
			catch (Exception ex) {
				// The connection broke, or the handler broke it off.
			}
			finally {
				this.open.remove(accepted);
			}
		}

		/** Closes the listener and all connections, as the end of the process would. */
		@Override
		public void close() {
			try {
				this.socket.close();
				for (Socket accepted : this.open) {
					accepted.close();
				}
			}
			catch (IOException ex) {
				// It is closed.
			}
		}

	}

	/** Listens at an address; without a port, at a free one. */
	public static Server listen(String address, Handler handler) throws IOException {
		int colon = address.indexOf(':');
		String ip = (colon < 0) ? address : address.substring(0, colon);
		int port = (colon < 0) ? 0 : Integer.parseInt(address.substring(colon + 1));
		return new Server(new ServerSocket(port, 512, InetAddress.getByName(ip)), handler);
	}

	/** What a client got for a request; a status of 0 means no complete answer. */
	public record Response(int status, Map<String, String> headers, byte[] body, String end) {

		public String text() {
			return new String(this.body, StandardCharsets.UTF_8);
		}

	}

	/** A connection of a client. */
	public static final class Connection implements AutoCloseable {

		private final Socket socket;

		private final InputStream in;

		public Connection(String address, int timeoutMillis) throws IOException {
			this.socket = new Socket();
			this.socket.setTcpNoDelay(true);
			int colon = address.lastIndexOf(':');
			this.socket.connect(
					new InetSocketAddress(address.substring(0, colon), Integer.parseInt(address.substring(colon + 1))),
					1_000);
			this.socket.setSoTimeout(timeoutMillis);
			this.in = new BufferedInputStream(this.socket.getInputStream());
		}

		public Response send(String method, String path, Map<String, String> headers, byte[] body) {
			try {
				StringBuilder head = new StringBuilder(method + " " + path + " HTTP/1.1\r\n");
				headers.forEach((name, value) -> head.append(name + ": " + value + "\r\n"));
				head.append("Content-Length: " + body.length + "\r\n\r\n");
				OutputStream out = this.socket.getOutputStream();
				out.write(head.toString().getBytes(StandardCharsets.ISO_8859_1));
				out.write(body);
				out.flush();
				return readResponse(this.in);
			}
			catch (SocketTimeoutException ex) {
				return new Response(0, Map.of(), new byte[0], "no answer in time");
			}
			catch (IOException ex) {
				return new Response(0, Map.of(), new byte[0], "connection ended: " + ex.getMessage());
			}
		}

		@Override
		public void close() {
			try {
				this.socket.close();
			}
			catch (IOException ex) {
				// It is closed.
			}
		}

	}

	/** Sends a request on a new connection. */
	public static Response call(String address, int timeoutMillis, String method, String path,
			Map<String, String> headers, byte[] body) {
		try (Connection connection = new Connection(address, timeoutMillis)) {
			return connection.send(method, path, headers, body);
		}
		catch (IOException ex) {
			return new Response(0, Map.of(), new byte[0], "not connected: " + ex.getMessage());
		}
	}

	private static Request readRequest(InputStream in) throws IOException {
		String line = readLine(in);
		if (line == null || line.isEmpty()) {
			return null;
		}
		String[] parts = line.split(" ");
		Map<String, String> headers = readHeaders(in);
		byte[] body = headers.getOrDefault("Transfer-Encoding", "").equalsIgnoreCase("chunked") ? readChunks(in)
				: readExactly(in, Integer.parseInt(headers.getOrDefault("Content-Length", "0")));
		return new Request(parts[0], parts[1], headers, body);
	}

	private static Response readResponse(InputStream in) throws IOException {
		String line = readLine(in);
		if (line == null) {
			throw new EOFException("closed before the answer");
		}
		int status = Integer.parseInt(line.split(" ")[1]);
		Map<String, String> headers = readHeaders(in);
		byte[] body;
		if (headers.getOrDefault("Transfer-Encoding", "").equalsIgnoreCase("chunked")) {
			body = readChunks(in);
		}
		else if (headers.containsKey("Content-Length")) {
			body = readExactly(in, Integer.parseInt(headers.get("Content-Length")));
		}
		else {
			body = in.readAllBytes();
		}
		return new Response(status, headers, body, "complete");
	}

	private static Map<String, String> readHeaders(InputStream in) throws IOException {
		Map<String, String> headers = new TreeMap<>(String.CASE_INSENSITIVE_ORDER);
		for (String line = readLine(in); line != null && !line.isEmpty(); line = readLine(in)) {
			int colon = line.indexOf(':');
			headers.put(line.substring(0, colon), line.substring(colon + 1).trim());
		}
		return headers;
	}

	private static byte[] readChunks(InputStream in) throws IOException {
		ByteArrayOutputStream body = new ByteArrayOutputStream();
		while (true) {
			String line = readLine(in);
			if (line == null) {
				throw new EOFException("closed inside the answer");
			}
			int length = Integer.parseInt(line.trim(), 16);
			if (length == 0) {
				readLine(in);
				return body.toByteArray();
			}
			body.writeBytes(readExactly(in, length));
			readLine(in);
		}
	}

	private static byte[] readExactly(InputStream in, int length) throws IOException {
		byte[] bytes = in.readNBytes(length);
		if (bytes.length < length) {
			throw new EOFException("closed inside the body");
		}
		return bytes;
	}

	private static String readLine(InputStream in) throws IOException {
		ByteArrayOutputStream line = new ByteArrayOutputStream();
		for (int value = in.read(); value >= 0; value = in.read()) {
			if (value == '\n') {
				return line.toString(StandardCharsets.ISO_8859_1);
			}
			if (value != '\r') {
				line.write(value);
			}
		}
		return (line.size() > 0) ? line.toString(StandardCharsets.ISO_8859_1) : null;
	}

	static Thread daemon(Runnable task) {
		Thread thread = new Thread(task);
		thread.setDaemon(true);
		thread.start();
		return thread;
	}

	static Map<String, String> orderedMap(String... namesAndValues) {
		Map<String, String> map = new LinkedHashMap<>();
		for (int index = 0; index < namesAndValues.length; index += 2) {
			map.put(namesAndValues[index], namesAndValues[index + 1]);
		}
		return map;
	}

}
