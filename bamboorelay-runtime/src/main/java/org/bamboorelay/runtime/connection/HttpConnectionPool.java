package org.bamboorelay.runtime.connection;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.Map;
import java.util.Objects;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.function.Consumer;

import io.vavr.control.Either;
import io.vavr.control.Option;
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
import org.bamboorelay.core.process.MemoryBudget;
import org.jspecify.annotations.Nullable;

/**
 * HTTP client with a pool of idle connections per address. A connection carries one
 * exchange at a time. Requests are never retried; each failure states whether a byte of
 * the request may have been sent. A response that belongs to another request is never
 * returned.
 * <p>
 * Thread-safe. The idle connections of each address are guarded by a lock of their own.
 */
public final class HttpConnectionPool implements AutoCloseable {

	private static final int MAX_IDLE_PER_ADDRESS = 64;

	/**
	 * Maximum idle time of a pooled connection, in milliseconds. It is shorter than the
	 * idle timeout of the listener, so that a reused connection is rarely one that the
	 * server has closed.
	 */
	private static final long MAX_IDLE_MILLIS = 20_000;

	/**
	 * Idle time from which a connection is checked for staleness before it is reused, in
	 * milliseconds. The check of HttpCore blocks for 1 ms, which accounted for most of
	 * the latency of a hop.
	 */
	private static final long STALE_CHECK_AFTER_MILLIS = 100;

	private static final int CONNECT_TIMEOUT_MILLIS = 1_000;

	/**
	 * Idle time before the first TCP keep-alive probe, and interval between probes, in
	 * seconds.
	 */
	private static final int KEEPALIVE_SECONDS = 1;

	/** Number of unanswered TCP keep-alive probes after which a connection is closed. */
	private static final int KEEPALIVE_PROBES = 2;

	/**
	 * Divisor of the maximum heap size that gives the limit for all responses being
	 * buffered concurrently, in bytes. A response occupies up to three times its size
	 * while its buffer grows.
	 */
	private static final long RESPONSE_MEMORY_DIVISOR = 8;

	private final Map<String, Deque<IdleConnection>> idle = new ConcurrentHashMap<>();

	private final HttpRequestExecutor executor = new HttpRequestExecutor();

	private final HttpProcessor processor = HttpProcessorBuilder.create()
		.add(new RequestContent())
		.add(new RequestConnControl())
		.build();

	private final Http1Config config = Http1Config.custom()
		.setMaxLineLength(HttpLimits.MAX_LINE_BYTES)
		.setMaxHeaderCount(HttpLimits.MAX_HEADERS)
		.build();

	/** Time of the last response head from each address, by {@link System#nanoTime()}. */
	private final Map<String, Long> lastResponseNanos = new ConcurrentHashMap<>();

	/** Connections that carry an exchange; closing the pool closes them. */
	private final Set<BoundedConnection> leased = ConcurrentHashMap.newKeySet();

	private final boolean keepAliveProbes;

	private final ResponseMatcher responseMatcher;

	private final MemoryBudget responseMemory;

	private volatile boolean closed;

	/**
	 * Creates a pool whose connections use TCP keep-alive probes, so that a dead
	 * connection is detected while it waits for a response.
	 */
	public HttpConnectionPool() {
		this(builder());
	}

	private HttpConnectionPool(Builder builder) {
		this.keepAliveProbes = builder.keepAliveProbes;
		this.responseMatcher = ResponseMatcher.of(builder.requestIdHeader);
		this.responseMemory = MemoryBudget.of(builder.maxBufferedBytes);
	}

	/**
	 * Creates a builder of pools.
	 * @return the builder, with TCP keep-alive probes and without a header for request
	 * ids
	 */
	public static Builder builder() {
		return new Builder();
	}

	/**
	 * Sends a request and waits for the response head.
	 * @param address {@code ip:port}
	 * @param request the request; its body need not be repeatable, because the pool does
	 * not retry
	 * @param reuse whether an idle connection may be used; false for requests that must
	 * not be sent twice
	 * @param readTimeoutMillis read timeout: maximum time without a byte of the response,
	 * in milliseconds
	 * @return the exchange, which the caller must close
	 */
	public Either<HttpFailure, HttpExchange> execute(String address, ClassicHttpRequest request, boolean reuse,
			int readTimeoutMillis) {
		return execute(address, request, ExchangeOptions.of(reuse, readTimeoutMillis), (abort) -> {
		});
	}

	/**
	 * Sends a request that another thread may abort, and waits for the response head.
	 * @param address {@code ip:port}
	 * @param request the request; its body need not be repeatable, because the pool does
	 * not retry
	 * @param options options and time limits of the exchange
	 * @param onConnected called before the request is sent, with a task that closes the
	 * connection immediately; the task must not be run after the exchange was closed
	 * @return the exchange, which the caller must close
	 */
	public Either<HttpFailure, HttpExchange> execute(String address, ClassicHttpRequest request,
			ExchangeOptions options, Consumer<Runnable> onConnected) {
		return execute(address, request, options, (abort) -> {
		}, onConnected);
	}

	/**
	 * Sends a request that another thread may abort even while its connection is opened,
	 * and waits for the response head.
	 * @param address {@code ip:port}
	 * @param request the request; its body need not be repeatable, because the pool does
	 * not retry
	 * @param options options and time limits of the exchange
	 * @param onConnecting called before a connection is opened, with a task that closes
	 * it; the task must not be run after {@code onConnected} was called
	 * @param onConnected called before the request is sent, with a task that closes the
	 * connection immediately; the task must not be run after the exchange was closed
	 * @return the exchange, which the caller must close
	 */
	public Either<HttpFailure, HttpExchange> execute(String address, ClassicHttpRequest request,
			ExchangeOptions options, Consumer<Runnable> onConnecting, Consumer<Runnable> onConnected) {
		BoundedConnection connection = options.reuse() ? takeIdle(address, options.tag()) : null;
		boolean reused = connection != null;
		if (connection == null) {
			try {
				connection = connect(address, onConnecting);
			}
			catch (IOException | IllegalArgumentException ex) {
				return Either.left(new HttpFailure.NotSent("cannot connect to " + address + ": " + ex.getMessage()));
			}
		}
		BoundedConnection used = connection;
		this.leased.add(connection);
		if (this.closed) {
			discard(connection);
			return Either.left(new HttpFailure.NotSent("connection pool is closed"));
		}
		onConnected.accept(used::abort);
		long sentNanos = System.nanoTime();
		try {
			connection.startExchange(options, reused);
			HttpCoreContext context = HttpCoreContext.create();
			if (!request.containsHeader(HttpHeaders.HOST)) {
				request.setHeader(HttpHeaders.HOST, address);
			}
			this.executor.preProcess(request, this.processor, context);
			ClassicHttpResponse response = this.executor.execute(request, connection, context);
			connection.headReceived();
			this.lastResponseNanos.put(address, System.nanoTime());
			Option<HttpFailure> mismatch = this.responseMatcher.mismatch(address, request, response);
			if (mismatch.isDefined()) {
				// The response to the request may still arrive on this connection.
				discard(connection);
				return Either.left(mismatch.get());
			}
			boolean keep = DefaultConnectionReuseStrategy.INSTANCE.keepAlive(request, response, context);
			return Either.right(new HttpExchange(this, address, connection, response, keep));
		}
		catch (IOException | HttpException | RuntimeException ex) {
			discard(connection);
			if (ex instanceof SocketTimeoutException && !respondedSince(address, sentNanos)) {
				closeIdle(address);
			}
			return Either.left(new HttpFailure.Broken("exchange with " + address + " failed: " + ex,
					connection.wasEndedByPeer(ex)));
		}
	}

	/**
	 * Closes all connections. Running exchanges fail immediately.
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

	/**
	 * Returns the number of bytes of buffered responses.
	 * @return the number of bytes
	 */
	public long bufferedBytes() {
		return this.responseMemory.reservedBytes();
	}

	/**
	 * Closes the connections whose server does not read a request in time. Writes have no
	 * time limit of their own, so this is to be called several times a second.
	 */
	public void closeStalledWrites() {
		long now = System.nanoTime();
		this.leased.forEach((connection) -> connection.abortIfWriteStalled(now));
	}

	// Returns the memory for the parts of all responses that are kept.
	MemoryBudget responseMemory() {
		return this.responseMemory;
	}

	void discard(BoundedConnection connection) {
		this.leased.remove(connection);
		connection.close(CloseMode.IMMEDIATE);
	}

	void release(String address, BoundedConnection connection) {
		connection.endExchange();
		this.leased.remove(connection);
		Deque<IdleConnection> shard = shard(address);
		synchronized (shard) {
			if (!this.closed && shard.size() < MAX_IDLE_PER_ADDRESS) {
				shard.addFirst(new IdleConnection(connection, System.nanoTime()));
				return;
			}
		}
		connection.close(CloseMode.GRACEFUL);
	}

	private boolean respondedSince(String address, long nanos) {
		Long answered = this.lastResponseNanos.get(address);
		return answered != null && answered - nanos > 0;
	}

	// Called after a timeout at an address that has not responded since: its other
	// connections are probably dead too.
	private void closeIdle(String address) {
		Deque<IdleConnection> shard = shard(address);
		synchronized (shard) {
			shard.forEach((entry) -> entry.connection().close(CloseMode.IMMEDIATE));
			shard.clear();
		}
	}

	private @Nullable BoundedConnection takeIdle(String address, String tag) {
		Deque<IdleConnection> shard = shard(address);
		while (true) {
			IdleConnection entry;
			synchronized (shard) {
				entry = takeFirst(shard, tag);
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

	private static @Nullable IdleConnection takeFirst(Deque<IdleConnection> shard, String tag) {
		for (IdleConnection entry : shard) {
			if (!entry.connection().hasCarried(tag)) {
				shard.remove(entry);
				return entry;
			}
		}
		return null;
	}

	private static boolean isUsable(IdleConnection entry) {
		long idleMillis = (System.nanoTime() - entry.sinceNanos()) / 1_000_000L;
		try {
			return idleMillis < MAX_IDLE_MILLIS && entry.connection().isOpen()
					&& (idleMillis < STALE_CHECK_AFTER_MILLIS || !entry.connection().isStale())
					&& !entry.connection().hasUnreadBytes();
		}
		catch (IOException ex) {
			return false;
		}
	}

	private Deque<IdleConnection> shard(String address) {
		return this.idle.computeIfAbsent(address, (unused) -> new ArrayDeque<>());
	}

	private BoundedConnection connect(String address, Consumer<Runnable> onConnecting) throws IOException {
		Socket socket = openSocket(address, onConnecting);
		try {
			BoundedConnection connection = new BoundedConnection(this.config);
			connection.bind(socket);
			return connection;
		}
		catch (IOException | RuntimeException ex) {
			socket.close();
			throw ex;
		}
	}

	Socket openSocket(String address, Consumer<Runnable> onConnecting) throws IOException {
		int colon = address.lastIndexOf(':');
		if (colon < 0) {
			throw new IllegalArgumentException("address \"" + address + "\" has no port");
		}
		Socket socket = new Socket();
		try {
			socket.setTcpNoDelay(true);
			if (this.keepAliveProbes) {
				enableKeepAliveProbes(socket);
			}
			onConnecting.accept(() -> close(socket));
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

	private static void close(Socket socket) {
		try {
			socket.close();
		}
		catch (IOException ex) {
			// The thread that opens the connection reports the failure.
		}
	}

	// Without keep-alive probes, a dead connection would block its exchange until the
	// read timeout, which is much longer for a watch of the store.
	private static void enableKeepAliveProbes(Socket socket) throws IOException {
		socket.setKeepAlive(true);
		if (socket.supportedOptions().contains(ExtendedSocketOptions.TCP_KEEPIDLE)) {
			socket.setOption(ExtendedSocketOptions.TCP_KEEPIDLE, KEEPALIVE_SECONDS);
			socket.setOption(ExtendedSocketOptions.TCP_KEEPINTERVAL, KEEPALIVE_SECONDS);
			socket.setOption(ExtendedSocketOptions.TCP_KEEPCOUNT, KEEPALIVE_PROBES);
		}
	}

	/**
	 * Builder of pools.
	 * <p>
	 * Not thread-safe.
	 */
	public static final class Builder {

		private boolean keepAliveProbes = true;

		private @Nullable String requestIdHeader;

		private long maxBufferedBytes = Runtime.getRuntime().maxMemory() / RESPONSE_MEMORY_DIVISOR;

		private Builder() {
		}

		/**
		 * Switches the TCP keep-alive probes off. If failed probes end a connection while
		 * a request is in transit, the network may still deliver the bytes of that
		 * request seconds later. If this process resets the connection instead, the bytes
		 * are discarded.
		 * @return this builder
		 */
		public Builder withoutKeepAliveProbes() {
			this.keepAliveProbes = false;
			return this;
		}

		/**
		 * Sets the header in which requests carry an id that servers echo in their
		 * responses. An exchange fails with {@link HttpFailure.Mismatched} if its
		 * response carries another id than its request, or an id where its request
		 * carries none. A response without an id is accepted.
		 * @param name the name of the header
		 * @return this builder
		 */
		public Builder requestIdHeader(String name) {
			this.requestIdHeader = Objects.requireNonNull(name, "name");
			return this;
		}

		/**
		 * Sets the limit for all responses being buffered concurrently.
		 * @param bytes the limit in bytes; the default is an eighth of the heap
		 * @return this builder
		 */
		Builder maxBufferedBytes(long bytes) {
			this.maxBufferedBytes = bytes;
			return this;
		}

		/**
		 * Creates the pool.
		 * @return a pool without connections
		 */
		public HttpConnectionPool build() {
			return new HttpConnectionPool(this);
		}

	}

	private record IdleConnection(BoundedConnection connection, long sinceNanos) {
	}

}
