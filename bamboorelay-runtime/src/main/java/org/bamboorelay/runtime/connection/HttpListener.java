package org.bamboorelay.runtime.connection;

import java.io.IOException;
import java.net.InetAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.Locale;
import java.util.Objects;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.locks.LockSupport;
import java.util.function.Consumer;

import org.apache.hc.core5.http.ClassicHttpRequest;
import org.apache.hc.core5.http.ClassicHttpResponse;
import org.apache.hc.core5.http.ContentType;
import org.apache.hc.core5.http.ExceptionListener;
import org.apache.hc.core5.http.Header;
import org.apache.hc.core5.http.HeaderElements;
import org.apache.hc.core5.http.HttpConnection;
import org.apache.hc.core5.http.HttpEntity;
import org.apache.hc.core5.http.HttpException;
import org.apache.hc.core5.http.HttpHeaders;
import org.apache.hc.core5.http.HttpStatus;
import org.apache.hc.core5.http.config.Http1Config;
import org.apache.hc.core5.http.impl.DefaultConnectionReuseStrategy;
import org.apache.hc.core5.http.impl.HttpProcessors;
import org.apache.hc.core5.http.impl.bootstrap.HttpServer;
import org.apache.hc.core5.http.impl.io.DefaultBHttpServerConnection;
import org.apache.hc.core5.http.impl.io.HttpService;
import org.apache.hc.core5.http.io.HttpServerRequestHandler;
import org.apache.hc.core5.http.io.SocketConfig;
import org.apache.hc.core5.http.io.entity.StringEntity;
import org.apache.hc.core5.http.message.BasicClassicHttpResponse;
import org.apache.hc.core5.io.CloseMode;
import org.bamboorelay.core.process.MemoryAccount;
import org.bamboorelay.core.process.MemoryOrigin;

/**
 * HTTP listener that counts its active requests, so that a process can shut down without
 * interrupting one.
 * <p>
 * Thread-safe. Each open connection is served by a thread of its own.
 */
public final class HttpListener implements AutoCloseable {

	private static final int BACKLOG = 1024;

	/** Interval at which connections are checked for stalled writes, in milliseconds. */
	private static final long WRITE_CHECK_MILLIS = 250;

	/**
	 * Interval at which {@link #drain} checks whether the listener is idle, in
	 * milliseconds.
	 */
	private static final long DRAIN_POLL_MILLIS = 20;

	/**
	 * Fraction of the drain time after which no more connections are accepted, so that
	 * the active requests can finish in the remaining time.
	 */
	private static final double ACCEPT_FRACTION = 0.7;

	/**
	 * Time without active requests and unread bytes after which a listener that accepts
	 * no more connections is considered idle, in milliseconds. It allows the reading
	 * threads to be scheduled several times.
	 */
	private static final long IDLE_CONFIRMATION_MILLIS = 100;

	private final HttpServer server;

	private final ListeningSocketFactory socketFactory;

	private final Set<CallerConnection> connections = ConcurrentHashMap.newKeySet();

	private final ListenerOptions options;

	private volatile boolean closed;

	private final AtomicInteger activeRequests = new AtomicInteger();

	private final AtomicBoolean keepAliveDisabled = new AtomicBoolean();

	private HttpListener(InetAddress address, int port, HttpHandler handler, Consumer<Exception> onError,
			ListenerOptions options) {
		this.options = options;
		this.socketFactory = new ListeningSocketFactory(this.connections, options.maxConnections(), onError);
		// The size of a head is bounded by its connection.
		Http1Config config = Http1Config.custom().setMaxLineLength(-1).setMaxHeaderCount(-1).build();
		SocketConfig socketConfig = SocketConfig.custom()
			// Connections closed by this process keep the port in use for a minute
			// (TIME_WAIT), during which a restarted process could not bind it.
			.setSoReuseAddress(true)
			.setTcpNoDelay(true)
			.setBacklogSize(BACKLOG)
			.build();
		// HttpServer is created without its bootstrap, because the bootstrap's router
		// responds with 421 to requests whose host is an IP address.
		HttpService service = new HttpService(HttpProcessors.server(),
				(request, trigger, context) -> serve(handler, request, trigger), config,
				DefaultConnectionReuseStrategy.INSTANCE, null) {

			@Override
			protected void handleException(HttpException ex, ClassicHttpResponse response) {
				reject(ex, response, () -> super.handleException(ex, response));
			}

		};
		this.server = new HttpServer(port, service, address, socketConfig, this.socketFactory,
				(socket) -> connection(config, socket), null, null, new ErrorForwarder(onError));
	}

	/**
	 * Opens a listener.
	 * @param address the IP address
	 * @param port the port, or 0 for any free port
	 * @param handler called for each request, on the thread of its connection
	 * @param onError called for each failed connection or malformed message
	 * @return the open listener
	 * @throws IOException if the address cannot be bound
	 */
	public static HttpListener open(String address, int port, HttpHandler handler, Consumer<Exception> onError)
			throws IOException {
		return open(address, port, handler, onError, ListenerOptions.DEFAULTS);
	}

	/**
	 * Opens a listener with limits.
	 * @param address the IP address
	 * @param port the port, or 0 for any free port
	 * @param handler called for each request, on the thread of its connection
	 * @param onError called for each failed connection or malformed message
	 * @param options the limits
	 * @return the open listener
	 * @throws IOException if the address cannot be bound
	 */
	public static HttpListener open(String address, int port, HttpHandler handler, Consumer<Exception> onError,
			ListenerOptions options) throws IOException {
		Objects.requireNonNull(handler, "handler");
		HttpListener listener = new HttpListener(InetAddress.getByName(address), port, handler, onError,
				Objects.requireNonNull(options, "options"));
		listener.server.start();
		Thread writeMonitor = new Thread(listener::monitorWrites, "http-writes-" + listener.port());
		writeMonitor.setDaemon(true);
		writeMonitor.start();
		return listener;
	}

	/**
	 * Returns the port on which the listener accepts connections.
	 * @return the port
	 */
	public int port() {
		return this.server.getLocalPort();
	}

	/**
	 * Returns the number of active requests.
	 * @return the number
	 */
	public int activeRequests() {
		return this.activeRequests.get();
	}

	/**
	 * Returns the number of open connections.
	 * @return the number
	 */
	public int connections() {
		return this.connections.size();
	}

	/**
	 * Returns the number of connections that were closed at once because the limit was
	 * reached.
	 * @return the number since the listener was opened
	 */
	public long refusedConnections() {
		return this.socketFactory.refusedConnections();
	}

	/**
	 * Returns the number of idle connections that were closed in favour of new ones.
	 * @return the number since the listener was opened
	 */
	public long closedIdleConnections() {
		return this.socketFactory.closedIdleConnections();
	}

	/**
	 * Adds {@code Connection: close} to all further responses, so that callers reconnect
	 * to other hosts.
	 */
	public void disableKeepAlive() {
		this.keepAliveDisabled.set(true);
	}

	/**
	 * Shuts the listener down gracefully. Closes each connection after its next response,
	 * waits until no more requests arrive or most of the time has passed, stops accepting
	 * connections, and waits for the remaining requests.
	 * @param quietMillis time without active requests after which no more are expected,
	 * in milliseconds
	 * @param timeoutMillis maximum total time, in milliseconds
	 * @return false if requests were still active at the limit
	 * @throws InterruptedException if the waiting thread is interrupted
	 */
	public boolean drain(long quietMillis, long timeoutMillis) throws InterruptedException {
		disableKeepAlive();
		long start = System.nanoTime();
		awaitIdle(quietMillis, start + TimeUnit.MILLISECONDS.toNanos((long) (timeoutMillis * ACCEPT_FRACTION)));
		this.socketFactory.close();
		return awaitIdle(IDLE_CONFIRMATION_MILLIS, start + TimeUnit.MILLISECONDS.toNanos(timeoutMillis));
	}

	private boolean awaitIdle(long idleMillis, long endNanos) throws InterruptedException {
		long lastBusy = System.nanoTime();
		while (true) {
			long now = System.nanoTime();
			if (this.activeRequests.get() > 0 || hasUnreadBytes()) {
				lastBusy = now;
			}
			if (TimeUnit.NANOSECONDS.toMillis(now - lastBusy) >= idleMillis) {
				return true;
			}
			if (now - endNanos >= 0) {
				return false;
			}
			TimeUnit.MILLISECONDS.sleep(DRAIN_POLL_MILLIS);
		}
	}

	private boolean hasUnreadBytes() {
		for (CallerConnection connection : this.connections) {
			Socket socket = connection.socket();
			try {
				if (socket == null || socket.isClosed()) {
					this.connections.remove(connection);
				}
				else if (socket.getInputStream().available() > 0) {
					return true;
				}
			}
			catch (IOException ex) {
				// The connection was closed, so no caller waits for a response.
				this.connections.remove(connection);
			}
		}
		return false;
	}

	@Override
	public void close() {
		this.closed = true;
		this.server.close(CloseMode.IMMEDIATE);
	}

	private void serve(HttpHandler handler, ClassicHttpRequest request,
			HttpServerRequestHandler.ResponseTrigger trigger) throws HttpException, IOException {
		CallerConnection connection = Objects.requireNonNull(CallerConnection.current(), "connection");
		// The caller is asked for the body only if the handler reads it.
		Header expect = request.getFirstHeader(HttpHeaders.EXPECT);
		if (expect != null && expect.getValue().equalsIgnoreCase(HeaderElements.CONTINUE)) {
			connection.onFirstRead(() -> sendContinue(trigger));
		}
		this.activeRequests.incrementAndGet();
		try {
			handler.handle(request, new TriggerResponder(request, trigger, connection));
		}
		finally {
			connection.endRequest();
			this.activeRequests.decrementAndGet();
		}
	}

	private DefaultBHttpServerConnection connection(Http1Config config, Socket socket) throws IOException {
		CallerConnection connection = new CallerConnection(config, this.options, this.connections::remove);
		connection.bind(socket);
		this.connections.add(connection);
		return connection;
	}

	private static void sendContinue(HttpServerRequestHandler.ResponseTrigger trigger) throws IOException {
		try {
			trigger.sendInformation(new BasicClassicHttpResponse(HttpStatus.SC_CONTINUE));
		}
		catch (HttpException ex) {
			throw new IOException("cannot ask for the body", ex);
		}
	}

	// Answers a request that does not reach the handler.
	private static void reject(HttpException failure, ClassicHttpResponse response, Runnable others) {
		CallerConnection connection = CallerConnection.current();
		if (connection != null) {
			connection.lingerOnClose();
		}
		if (!(failure instanceof RequestRejectedException rejection)) {
			others.run();
			return;
		}
		response.setCode(rejection.status());
		if (rejection.retryAfterMillis() >= 0) {
			response.setHeader(HttpHeaders.RETRY_AFTER, retryAfter(rejection.retryAfterMillis()));
		}
		response.setEntity(new StringEntity(rejection.getMessage() + "\n", ContentType.TEXT_PLAIN));
	}

	/**
	 * Returns the value of a {@code Retry-After} header.
	 * @param millis the delay, in milliseconds
	 * @return the delay in seconds, with fractions
	 */
	public static String retryAfter(long millis) {
		return String.format(Locale.ROOT, "%.2f", millis / (double) TimeUnit.SECONDS.toMillis(1));
	}

	private void monitorWrites() {
		while (!this.closed) {
			LockSupport.parkNanos(TimeUnit.MILLISECONDS.toNanos(WRITE_CHECK_MILLIS));
			long now = System.nanoTime();
			this.connections.forEach((connection) -> connection.closeIfWriteStalled(now));
		}
	}

	/**
	 * Handles requests.
	 */
	@FunctionalInterface
	public interface HttpHandler {

		/**
		 * Handles a request and sends exactly one response.
		 * @param request the request; its body is read from its entity
		 * @param responder sends the response
		 * @throws HttpException if the request violates the protocol
		 * @throws IOException if the connection fails
		 */
		void handle(ClassicHttpRequest request, Responder responder) throws HttpException, IOException;

	}

	/**
	 * Sends the response to a request.
	 */
	@FunctionalInterface
	public interface Responder {

		/**
		 * Sends a complete response, including its body. Returns after the last byte was
		 * written.
		 * @param response the response
		 * @throws HttpException if the response violates the protocol
		 * @throws IOException if the connection fails
		 */
		void send(ClassicHttpResponse response) throws HttpException, IOException;

		/**
		 * Returns whether the caller has closed its connection. Must not be called
		 * concurrently with {@link #send}.
		 * @return true if no caller waits for the response
		 */
		default boolean isCallerGone() {
			return false;
		}

		/**
		 * Returns the reservation of the memory of this request. It is closed after the
		 * request was handled.
		 * @return the reservation
		 */
		default MemoryAccount.Reservation reservation() {
			return ListenerOptions.DEFAULTS.memory().open(MemoryOrigin.CALLER_REQUESTS, "", () -> {
			});
		}

		/**
		 * Sets the task that discards the received part of the body if the request is
		 * shed to make room for others.
		 * @param task discards the part; must not block
		 */
		default void onDiscard(Runnable task) {
		}

		/**
		 * Returns how long a caller that is refused for lack of memory should wait.
		 * @return the delay, in milliseconds
		 */
		default long retryAfterMillis() {
			return 0;
		}

		/**
		 * Sends a response with a text body.
		 * @param status the status code
		 * @param contentType the media type
		 * @param body the text
		 * @throws HttpException if the response violates the protocol
		 * @throws IOException if the connection fails
		 */
		default void send(int status, String contentType, String body) throws HttpException, IOException {
			BasicClassicHttpResponse response = new BasicClassicHttpResponse(status);
			response
				.setEntity(new StringEntity(body, ContentType.parse(contentType).withCharset(StandardCharsets.UTF_8)));
			send(response);
		}

	}

	private final class TriggerResponder implements Responder {

		private final ClassicHttpRequest request;

		private final HttpServerRequestHandler.ResponseTrigger trigger;

		private final CallerConnection connection;

		private TriggerResponder(ClassicHttpRequest request, HttpServerRequestHandler.ResponseTrigger trigger,
				CallerConnection connection) {
			this.request = request;
			this.trigger = trigger;
			this.connection = connection;
		}

		@Override
		public void send(ClassicHttpResponse response) throws HttpException, IOException {
			boolean bodyRead = this.connection.discardBody(this.request);
			if (!bodyRead || HttpListener.this.keepAliveDisabled.get()) {
				response.setHeader("Connection", "close");
			}
			HttpEntity entity = response.getEntity();
			try (MemoryAccount.Reservation held = HttpListener.this.options.memory()
				.open(MemoryOrigin.CALLER_RESPONSES, "", () -> {
				})) {
				held.finish();
				// A response is written in any case; one that finds no room appears in
				// the metric of refused bytes.
				held.reserve((entity != null) ? Math.max(0, entity.getContentLength()) : 0);
				this.trigger.submitResponse(response);
			}
		}

		@Override
		public boolean isCallerGone() {
			return this.connection.isCallerGone();
		}

		@Override
		public MemoryAccount.Reservation reservation() {
			return this.connection.reservation();
		}

		@Override
		public void onDiscard(Runnable task) {
			this.connection.onDiscard(task);
		}

		@Override
		public long retryAfterMillis() {
			return this.connection.retryAfterMillis();
		}

	}

	private record ErrorForwarder(Consumer<Exception> onError) implements ExceptionListener {

		@Override
		public void onError(Exception ex) {
			this.onError.accept(ex);
		}

		@Override
		public void onError(HttpConnection connection, Exception ex) {
			this.onError.accept(ex);
		}

	}

}
