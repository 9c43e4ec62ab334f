import java.io.BufferedInputStream;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.Socket;

/** Sends requests as a requester does. */
final class Client {

	private Client() {
	}

	// Sends a request on a new connection and reads its whole answer.
	static Message call(String ip, int port, String method, String target, int timeoutMillis, String... headers)
			throws IOException {
		return call(ip, port, method, target, new byte[0], timeoutMillis, headers);
	}

	static Message call(String ip, int port, String method, String target, byte[] body, int timeoutMillis,
			String... headers) throws IOException {
		try (Socket socket = new Socket()) {
			socket.setTcpNoDelay(true);
			socket.connect(new InetSocketAddress(ip, port), 1_000);
			socket.setSoTimeout(timeoutMillis);
			Message request = new Message(method + " " + target + " HTTP/1.1");
			for (int index = 0; index < headers.length; index += 2) {
				request.headers.add(new String[] { headers[index], headers[index + 1] });
			}
			if (request.header("Host") == null) {
				request.headers.add(new String[] { "Host", ip });
			}
			if (body.length > 0 || method.equals("POST")) {
				request.headers.add(new String[] { "Content-Length", Integer.toString(body.length) });
			}
			request.body = body;
			request.send(socket.getOutputStream());
			Message answer = Message.read(new BufferedInputStream(socket.getInputStream()));
			if (answer == null) {
				throw new IOException("connection ended without an answer");
			}
			return answer;
		}
	}

}
