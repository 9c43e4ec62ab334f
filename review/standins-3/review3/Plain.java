package review3;

import java.io.IOException;
import java.net.ServerSocket;
import java.nio.charset.StandardCharsets;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;

/** An application server: answers each request with a seal and a body. */
class Plain {

	final String id;

	final ServerSocket server;

	/** How often each request began to run here. */
	final Map<String, AtomicInteger> runs = new ConcurrentHashMap<>();

	/** The open connections. */
	final java.util.Set<Http.Connection> connections = ConcurrentHashMap.newKeySet();

	volatile int workMillis = 10;

	/** Whether this server says in its answers that it leaves. */
	volatile boolean leaving;

	Plain(String ip, String id) throws IOException {
		this.id = id;
		this.server = Http.serve(ip, 0, this::handle);
	}

	String address() {
		return this.server.getInetAddress().getHostAddress() + ":" + this.server.getLocalPort();
	}

	/** Ends the server: closes its port and its connections. */
	void closeAll() throws IOException {
		this.server.close();
		for (Http.Connection connection : this.connections) {
			connection.socket.close();
		}
	}

	boolean handle(Http.Message request, Http.Connection connection) throws Exception {
		this.connections.add(connection);
		if (!request.header("X-Expect-Instance").isEmpty() && !request.header("X-Expect-Instance").equals(this.id)) {
			connection.send(421, Map.of("X-Instance-Id", this.id), new byte[0]);
			return true;
		}
		String number = request.header("X-Request-Id");
		this.runs.computeIfAbsent(number, (unused) -> new AtomicInteger()).incrementAndGet();
		TimeUnit.MILLISECONDS.sleep(this.workMillis);
		return answer(request, number, connection);
	}

	boolean answer(Http.Message request, String number, Http.Connection connection) throws Exception {
		Map<String, String> headers = new LinkedHashMap<>();
		headers.put("X-Request-Id", number);
		headers.put("X-Server-Seal", "seal." + number);
		if (this.leaving) {
			headers.put("Server-Leaving", "1");
		}
		connection.send(200, headers, ("answer to " + number).getBytes(StandardCharsets.UTF_8));
		return true;
	}

}
