package org.bamboorelay.processtests;

import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.locks.LockSupport;
import java.util.function.Consumer;

/**
 * Forwards TCP connections to one address. It can cut, delay or half-open them. The first
 * bytes of a peer link name the domain of the connecting process, so that connections of
 * some domains can be cut and others not.
 * <p>
 * Thread-safe.
 */
final class Forwarder implements AutoCloseable {

	private static final int BUFFER_BYTES = 16_384;

	private final ServerSocket listener;

	private final String target;

	private final Map<Pair, String> pairs = new ConcurrentHashMap<>();

	private volatile Set<String> cut = Set.of();

	private volatile boolean cutAll;

	private volatile boolean halfOpen;

	private volatile long delayMillis;

	private volatile Consumer<String> beforeAnswer = (request) -> {
	};

	private Forwarder(ServerSocket listener, String target) {
		this.listener = listener;
		this.target = target;
	}

	static Forwarder open(String address, String target) throws IOException {
		Forwarder forwarder = new Forwarder(new ServerSocket(port(address), 50, InetAddress.getLoopbackAddress()),
				target);
		daemon(forwarder::accept);
		return forwarder;
	}

	/**
	 * Closes all connections and refuses new ones until {@link #heal()}.
	 */
	void cut() {
		this.cutAll = true;
		this.pairs.keySet().forEach(Pair::close);
	}

	/**
	 * Cuts the connections of some domains only.
	 * @param domains the domains of the connecting processes
	 */
	void cutFrom(Set<String> domains) {
		this.cut = domains;
		this.pairs.forEach((pair, first) -> {
			if (isCut(first)) {
				pair.close();
			}
		});
	}

	/**
	 * Keeps connections open and drops what they carry.
	 */
	void halfOpen() {
		this.halfOpen = true;
	}

	void delay(long millis) {
		this.delayMillis = millis;
	}

	/**
	 * Runs a task before bytes of an answer are passed on, so that the caller is known to
	 * wait for them meanwhile.
	 * @param task takes the first bytes that the caller sent on the connection
	 */
	void beforeAnswer(Consumer<String> task) {
		this.beforeAnswer = task;
	}

	void heal() {
		this.cutAll = false;
		this.cut = Set.of();
		if (this.halfOpen) {
			this.halfOpen = false;
			// Bytes are missing from these connections.
			this.pairs.keySet().forEach(Pair::close);
		}
	}

	@Override
	public void close() throws IOException {
		this.listener.close();
		cut();
	}

	private void accept() {
		while (!this.listener.isClosed()) {
			try {
				Socket inner = this.listener.accept();
				if (this.cutAll) {
					inner.close();
					continue;
				}
				daemon(() -> serve(inner));
			}
			catch (IOException ex) {
				return;
			}
		}
	}

	private void serve(Socket inner) {
		try (inner; Socket outer = new Socket(InetAddress.getLoopbackAddress(), port(this.target))) {
			Pair pair = new Pair(inner, outer);
			this.pairs.put(pair, "");
			inner.setTcpNoDelay(true);
			outer.setTcpNoDelay(true);
			daemon(() -> copy(outer, inner, pair, false));
			copy(inner, outer, pair, true);
			this.pairs.remove(pair);
		}
		catch (IOException ex) {
			// The closed socket tells the caller.
		}
	}

	private void copy(Socket from, Socket to, Pair pair, boolean fromCaller) {
		byte[] buffer = new byte[BUFFER_BYTES];
		boolean first = fromCaller;
		try {
			InputStream in = from.getInputStream();
			OutputStream out = to.getOutputStream();
			for (int n = in.read(buffer); n >= 0; n = in.read(buffer)) {
				if (first) {
					first = false;
					this.pairs.replace(pair, new String(buffer, 0, n, StandardCharsets.ISO_8859_1));
				}
				if (this.cutAll || isCut(this.pairs.getOrDefault(pair, ""))) {
					break;
				}
				LockSupport.parkNanos(TimeUnit.MILLISECONDS.toNanos(this.delayMillis));
				if (!fromCaller) {
					this.beforeAnswer.accept(this.pairs.getOrDefault(pair, ""));
				}
				if (!this.halfOpen) {
					out.write(buffer, 0, n);
				}
			}
		}
		catch (IOException ex) {
			// Both sides are closed below.
		}
		pair.close();
	}

	private boolean isCut(String firstBytes) {
		return this.cut.stream().anyMatch(firstBytes::contains);
	}

	private static int port(String address) {
		return Integer.parseInt(address.substring(address.lastIndexOf(':') + 1));
	}

	private static void daemon(Runnable task) {
		Thread thread = new Thread(task, "forwarder");
		thread.setDaemon(true);
		thread.start();
	}

	private record Pair(Socket inner, Socket outer) {

		void close() {
			try {
				this.inner.close();
				this.outer.close();
			}
			catch (IOException ex) {
				// Closing is all that is wanted.
			}
		}

	}

}
