package org.bamboorelay.runtime.connection;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.Consumer;

import io.vavr.control.Either;
import jdk.net.ExtendedSocketOptions;
import org.apache.hc.core5.http.ClassicHttpRequest;
import org.apache.hc.core5.http.ClassicHttpResponse;
import org.apache.hc.core5.http.HttpException;
import org.apache.hc.core5.http.HttpHeaders;
import org.apache.hc.core5.http.config.Http1Config;
import org.apache.hc.core5.http.impl.DefaultConnectionReuseStrategy;
import org.apache.hc.core5.http.impl.io.HttpRequestExecutor;
import org.apache.hc.core5.http.protocol.HttpCoreContext;
import org.apache.hc.core5.http.protocol.HttpProcessor;
import org.apache.hc.core5.http.protocol.HttpProcessorBuilder;
import org.apache.hc.core5.http.protocol.RequestConnControl;
import org.apache.hc.core5.http.protocol.RequestContent;
import org.apache.hc.core5.io.CloseMode;
import org.jspecify.annotations.Nullable;

/**
 * HTTP client that keeps idle connections per address, carries one exchange a connection
 * at a time, never retries by itself, and tells for each failure whether a byte of the
 * request can have been sent.
 * <p>
 * Thread-safe; idle connections are kept in a shard per address, each under its own lock.
 */
public final class HttpConnectionPool implements AutoCloseable {

	private static final int MAX_IDLE_PER_ADDRESS = 64;

	/**
	 * Idle connections older than this are closed, in milliseconds. It stays below the
	 * listener's own idle timeout, so that a reused connection is rarely a closed one.
	 */
	private static final long MAX_IDLE_MILLIS = 20_000;

	/**
	 * Connections that were idle for less are used without a check, in milliseconds. The
	 * check of HttpCore waits 1 ms for a byte, which was most of the latency of a hop.
	 */
	private static final long CHECK_AFTER_MILLIS = 100;

	private static final int CONNECT_TIMEOUT_MILLIS = 1_000;

	/** Idle time before a probe and time between probes, in seconds. */
	private static final int KEEPALIVE_SECONDS = 1;

	/** Unanswered probes after which a connection is given up. */
	private static final int KEEPALIVE_PROBES = 2;

	/**
	 * The most bytes of buffered answers that are being read at once, as a share of the
	 * heap: an answer takes up to three times its size while it grows.
	 */
	private static final long ANSWER_MEMORY_SHARE = 8;

	private final Map<String, Deque<Idle>> idle = new ConcurrentHashMap<>();

	private final HttpRequestExecutor executor = new HttpRequestExecutor();

	private final HttpProcessor processor = HttpProcessorBuilder.create()
		.add(new RequestContent())
		.add(new RequestConnControl())
		.build();

	private final Http1Config config = Http1Config.custom()
		.setMaxLineLength(HttpLimits.MAX_LINE_BYTES)
		.setMaxHeaderCount(HttpLimits.MAX_HEADERS)
		.build();

	/** When an address last began to answer, by the steady clock in nanoseconds. */
	private final Map<String, Long> answeredNanos = new ConcurrentHashMap<>();

	/** Connections that carry an exchange, so that closing the pool ends them. */
	private final Set<GuardedConnection> leased = ConcurrentHashMap.newKeySet();

	private final boolean probed;

	private final long answerBytes;

	private final AtomicLong answerBytesHeld = new AtomicLong();

	private volatile boolean closed;

	/**
	 * Creates a pool that probes its connections, so that one that went silent ends by
	 * itself.
	 */
	public HttpConnectionPool() {
		this(true, Runtime.getRuntime().maxMemory() / ANSWER_MEMORY_SHARE);
	}

	HttpConnectionPool(boolean probed, long answerBytes) {
		this.probed = probed;
		this.answerBytes = answerBytes;
	}

	/**
	 * Creates a pool that does not probe its connections. A connection that ends through
	 * its probes while a request is on its way leaves the bytes of that request to the
	 * network, which may deliver them seconds later; one that this side resets takes them
	 * back.
	 * @return the pool
	 */
	public static HttpConnectionPool withoutProbes() {
		return new HttpConnectionPool(false, Runtime.getRuntime().maxMemory() / ANSWER_MEMORY_SHARE);
	}

	/**
	 * Sends a request and waits for the head of the answer.
	 * @param address {@code ip:port}
	 * @param request the request; a body must be repeatable only for the caller's sake
	 * @param reuse whether an idle connection may be used; false for requests that must
	 * not be sent twice
	 * @param readTimeoutMillis the longest pause between two bytes of the answer, in
	 * milliseconds
	 * @return the exchange, which the caller closes
	 */
	public Either<HttpFailure, HttpExchange> execute(String address, ClassicHttpRequest request, boolean reuse,
			int readTimeoutMillis) {
		return execute(address, request, ExchangeOptions.of(reuse, readTimeoutMillis), (abort) -> {
		});
	}

	/**
	 * Sends a request that another thread may abort, and waits for the head of the
	 * answer.
	 * @param address {@code ip:port}
	 * @param request the request; a body must be repeatable only for the caller's sake
	 * @param options what the exchange may take
	 * @param onConnected takes, before the request is sent, a task that closes the
	 * connection at once; the task must not be run after the exchange was closed
	 * @return the exchange, which the caller closes
	 */
	public Either<HttpFailure, HttpExchange> execute(String address, ClassicHttpRequest request,
			ExchangeOptions options, Consumer<Runnable> onConnected) {
		GuardedConnection connection = options.reuse() ? takeIdle(address, options.tag()) : null;
		boolean kept = connection != null;
		if (connection == null) {
			try {
				connection = connect(address);
			}
			catch (IOException | IllegalArgumentException ex) {
				return Either.left(new HttpFailure.NotSent("cannot connect to " + address + ": " + ex.getMessage()));
			}
		}
		GuardedConnection used = connection;
		this.leased.add(connection);
		if (this.closed) {
			drop(connection);
			return Either.left(new HttpFailure.NotSent("the connections of this process are closed"));
		}
		onConnected.accept(() -> used.close(CloseMode.IMMEDIATE));
		long sentNanos = System.nanoTime();
		try {
			connection.begin(options, kept);
			HttpCoreContext context = HttpCoreContext.create();
			if (!request.containsHeader(HttpHeaders.HOST)) {
				request.setHeader(HttpHeaders.HOST, address);
			}
			this.executor.preProcess(request, this.processor, context);
			ClassicHttpResponse response = this.executor.execute(request, connection, context);
			connection.headRead();
			this.answeredNanos.put(address, System.nanoTime());
			boolean keep = DefaultConnectionReuseStrategy.INSTANCE.keepAlive(request, response, context);
			return Either.right(new HttpExchange(this, address, connection, response, keep));
		}
		catch (IOException | HttpException | RuntimeException ex) {
			drop(connection);
			if (ex instanceof SocketTimeoutException && !answeredSince(address, sentNanos)) {
				dropIdle(address);
			}
			return Either.left(new HttpFailure.Broken("exchange with " + address + " broke: " + ex));
		}
	}

	/**
	 * Closes all connections. Exchanges that run fail at once.
	 */
	@Override
	public void close() {
		this.closed = true;
		this.leased.forEach((connection) -> connection.close(CloseMode.IMMEDIATE));
		this.idle.values().forEach((shard) -> {
			synchronized (shard) {
				shard.forEach((entry) -> entry.connection().close(CloseMode.IMMEDIATE));
				shard.clear();
			}
		});
	}

	// Tells whether an answer may grow by so many bytes; they are given back in any case.
	boolean hold(int bytes) {
		return this.answerBytesHeld.addAndGet(bytes) <= this.answerBytes;
	}

	void giveBack(long bytes) {
		this.answerBytesHeld.addAndGet(-bytes);
	}

	void drop(GuardedConnection connection) {
		this.leased.remove(connection);
		connection.close(CloseMode.IMMEDIATE);
	}

	void release(String address, GuardedConnection connection) {
		connection.end();
		this.leased.remove(connection);
		Deque<Idle> shard = shard(address);
		synchronized (shard) {
			if (!this.closed && shard.size() < MAX_IDLE_PER_ADDRESS) {
				shard.addFirst(new Idle(connection, System.nanoTime()));
				return;
			}
		}
		connection.close(CloseMode.GRACEFUL);
	}

	private boolean answeredSince(String address, long nanos) {
		Long answered = this.answeredNanos.get(address);
		return answered != null && answered - nanos > 0;
	}

	// Other connections to an address that does not answer are likely to be silent too.
	private void dropIdle(String address) {
		Deque<Idle> shard = shard(address);
		synchronized (shard) {
			shard.forEach((entry) -> entry.connection().close(CloseMode.IMMEDIATE));
			shard.clear();
		}
	}

	private @Nullable GuardedConnection takeIdle(String address, String tag) {
		Deque<Idle> shard = shard(address);
		while (true) {
			Idle entry;
			synchronized (shard) {
				entry = first(shard, tag);
			}
			if (entry == null) {
				return null;
			}
			if (isUsable(entry)) {
				return entry.connection();
			}
			entry.connection().close(CloseMode.IMMEDIATE);
		}
	}

	private static @Nullable Idle first(Deque<Idle> shard, String tag) {
		for (Idle entry : shard) {
			if (!entry.connection().carried(tag)) {
				shard.remove(entry);
				return entry;
			}
		}
		return null;
	}

	private static boolean isUsable(Idle entry) {
		long idleMillis = (System.nanoTime() - entry.sinceNanos()) / 1_000_000L;
		try {
			return idleMillis < MAX_IDLE_MILLIS && entry.connection().isOpen()
					&& (idleMillis < CHECK_AFTER_MILLIS || !entry.connection().isStale())
					&& !entry.connection().hasUnreadBytes();
		}
		catch (IOException ex) {
			return false;
		}
	}

	private Deque<Idle> shard(String address) {
		return this.idle.computeIfAbsent(address, (unused) -> new ArrayDeque<>());
	}

	private GuardedConnection connect(String address) throws IOException {
		Socket socket = open(address);
		try {
			GuardedConnection connection = new GuardedConnection(this.config);
			connection.bind(socket);
			return connection;
		}
		catch (IOException | RuntimeException ex) {
			socket.close();
			throw ex;
		}
	}

	Socket open(String address) throws IOException {
		int colon = address.lastIndexOf(':');
		if (colon < 0) {
			throw new IllegalArgumentException("address \"" + address + "\" has no port");
		}
		Socket socket = new Socket();
		try {
			socket.setTcpNoDelay(true);
			if (this.probed) {
				probe(socket);
			}
			socket.connect(
					new InetSocketAddress(address.substring(0, colon), Integer.parseInt(address.substring(colon + 1))),
					CONNECT_TIMEOUT_MILLIS);
			return socket;
		}
		catch (IOException | RuntimeException ex) {
			socket.close();
			throw ex;
		}
	}

	// Without probes, a connection that went silent would hold its exchange until the
	// read timeout, and a waiting watch of the store much longer.
	private static void probe(Socket socket) throws IOException {
		socket.setKeepAlive(true);
		if (socket.supportedOptions().contains(ExtendedSocketOptions.TCP_KEEPIDLE)) {
			socket.setOption(ExtendedSocketOptions.TCP_KEEPIDLE, KEEPALIVE_SECONDS);
			socket.setOption(ExtendedSocketOptions.TCP_KEEPINTERVAL, KEEPALIVE_SECONDS);
			socket.setOption(ExtendedSocketOptions.TCP_KEEPCOUNT, KEEPALIVE_PROBES);
		}
	}

	private record Idle(GuardedConnection connection, long sinceNanos) {
	}

}
