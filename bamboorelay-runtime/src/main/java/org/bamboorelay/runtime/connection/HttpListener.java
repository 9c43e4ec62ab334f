package org.bamboorelay.runtime.connection;

import java.io.IOException;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.Objects;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.Consumer;

import javax.net.ServerSocketFactory;

import org.apache.hc.core5.http.ClassicHttpRequest;
import org.apache.hc.core5.http.ClassicHttpResponse;
import org.apache.hc.core5.http.ContentType;
import org.apache.hc.core5.http.ExceptionListener;
import org.apache.hc.core5.http.HttpConnection;
import org.apache.hc.core5.http.HttpEntity;
import org.apache.hc.core5.http.HttpException;
import org.apache.hc.core5.http.config.Http1Config;
import org.apache.hc.core5.http.impl.DefaultConnectionReuseStrategy;
import org.apache.hc.core5.http.impl.HttpProcessors;
import org.apache.hc.core5.http.impl.bootstrap.HttpServer;
import org.apache.hc.core5.http.impl.io.DefaultBHttpServerConnection;
import org.apache.hc.core5.http.impl.io.HttpService;
import org.apache.hc.core5.http.io.HttpServerRequestHandler;
import org.apache.hc.core5.http.io.SocketConfig;
import org.apache.hc.core5.http.io.entity.HttpEntityWrapper;
import org.apache.hc.core5.http.io.entity.StringEntity;
import org.apache.hc.core5.http.io.support.BasicHttpServerExpectationDecorator;
import org.apache.hc.core5.http.message.BasicClassicHttpResponse;
import org.apache.hc.core5.io.CloseMode;
import org.apache.hc.core5.util.Timeout;
import org.jspecify.annotations.Nullable;

/**
 * HTTP listener that counts its active requests, so that a process can shut down without
 * interrupting one.
 * <p>
 * Thread-safe. Each open connection is served by a thread of its own.
 */
public final class HttpListener implements AutoCloseable {

	private static final int BACKLOG = 1024;

	private static final int IDLE_TIMEOUT_SECONDS = 60;

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

	private final ListeningSocketFactory socketFactory = new ListeningSocketFactory();

	/** Sockets of the open connections, for the check for unread bytes. */
	private final Set<Socket> sockets = ConcurrentHashMap.newKeySet();

	private final AtomicInteger activeRequests = new AtomicInteger();

	private final AtomicBoolean keepAliveDisabled = new AtomicBoolean();

	private HttpListener(InetAddress address, int port, HttpHandler handler, Consumer<Exception> onError) {
		Http1Config config = Http1Config.custom()
			.setMaxLineLength(HttpLimits.MAX_LINE_BYTES)
			.setMaxHeaderCount(HttpLimits.MAX_HEADERS)
			.build();
		SocketConfig socketConfig = SocketConfig.custom()
			// Connections closed by this process keep the port in use for a minute
			// (TIME_WAIT), during which a restarted process could not bind it.
			.setSoReuseAddress(true)
			.setTcpNoDelay(true)
			.setBacklogSize(BACKLOG)
			.setSoTimeout(Timeout.of(IDLE_TIMEOUT_SECONDS, TimeUnit.SECONDS))
			.build();
		// HttpServer is created without its bootstrap, because the bootstrap's router
		// responds with 421 to requests whose host is an IP address.
		HttpService service = new HttpService(HttpProcessors.server(),
				new BasicHttpServerExpectationDecorator(
						(request, trigger, context) -> serve(handler, request, trigger)),
				config, DefaultConnectionReuseStrategy.INSTANCE, null);
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
		Objects.requireNonNull(handler, "handler");
		HttpListener listener = new HttpListener(InetAddress.getByName(address), port, handler, onError);
		listener.server.start();
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
		for (Socket socket : this.sockets) {
			try {
				if (socket.isClosed()) {
					this.sockets.remove(socket);
				}
				else if (socket.getInputStream().available() > 0) {
					return true;
				}
			}
			catch (IOException ex) {
				// The connection was closed, so no caller waits for a response.
				this.sockets.remove(socket);
			}
		}
		return false;
	}

	@Override
	public void close() {
		this.server.close(CloseMode.IMMEDIATE);
	}

	private void serve(HttpHandler handler, ClassicHttpRequest request,
			HttpServerRequestHandler.ResponseTrigger trigger) throws HttpException, IOException {
		this.activeRequests.incrementAndGet();
		try {
			handler.handle(request, new TriggerResponder(trigger, AbortingConnection.CURRENT.get()));
		}
		finally {
			this.activeRequests.decrementAndGet();
		}
	}

	private DefaultBHttpServerConnection connection(Http1Config config, Socket socket) throws IOException {
		DefaultBHttpServerConnection connection = new AbortingConnection(config, () -> this.sockets.remove(socket));
		connection.bind(socket);
		this.sockets.add(socket);
		return connection;
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

		private final HttpServerRequestHandler.ResponseTrigger trigger;

		private final @Nullable AbortingConnection connection;

		private TriggerResponder(HttpServerRequestHandler.ResponseTrigger trigger,
				@Nullable AbortingConnection connection) {
			this.trigger = trigger;
			this.connection = connection;
		}

		@Override
		public void send(ClassicHttpResponse response) throws HttpException, IOException {
			if (HttpListener.this.keepAliveDisabled.get()) {
				response.setHeader("Connection", "close");
			}
			this.trigger.submitResponse(response);
		}

		@Override
		public boolean isCallerGone() {
			return this.connection != null && this.connection.isCallerGone();
		}

	}

	/**
	 * Connection that is closed if writing a response body fails. HttpCore would
	 * otherwise terminate a chunked body with its last chunk, so that a truncated
	 * response would appear complete.
	 */
	private static final class AbortingConnection extends DefaultBHttpServerConnection {

		/** The connection that the current thread serves. */
		private static final ThreadLocal<@Nullable AbortingConnection> CURRENT = new ThreadLocal<>();

		private final Runnable onClose;

		private AbortingConnection(Http1Config config, Runnable onClose) {
			super("http", config, null, null, null, null, CompleteHeads.requests(), null);
			this.onClose = onClose;
		}

		@Override
		public void close() throws IOException {
			this.onClose.run();
			super.close();
		}

		@Override
		public void close(CloseMode closeMode) {
			this.onClose.run();
			super.close(closeMode);
		}

		@Override
		public ClassicHttpRequest receiveRequestHeader() throws HttpException, IOException {
			CURRENT.set(this);
			return super.receiveRequestHeader();
		}

		private boolean isCallerGone() {
			try {
				return !isOpen() || isStale();
			}
			catch (IOException ex) {
				return true;
			}
		}

		@Override
		public void sendResponseEntity(ClassicHttpResponse response) throws HttpException, IOException {
			HttpEntity entity = response.getEntity();
			if (entity != null) {
				response.setEntity(new AbortingEntity(entity, this));
			}
			super.sendResponseEntity(response);
		}

	}

	private static final class AbortingEntity extends HttpEntityWrapper {

		private final DefaultBHttpServerConnection connection;

		private AbortingEntity(HttpEntity entity, DefaultBHttpServerConnection connection) {
			super(entity);
			this.connection = connection;
		}

		@Override
		public void writeTo(OutputStream out) throws IOException {
			boolean complete = false;
			try {
				super.writeTo(out);
				complete = true;
			}
			finally {
				if (!complete) {
					this.connection.close();
				}
			}
		}

	}

	/**
	 * Creates the listening socket and can close it without affecting accepted
	 * connections, which closing the {@link HttpServer} would interrupt.
	 */
	private static final class ListeningSocketFactory extends ServerSocketFactory {

		private volatile @Nullable ServerSocket socket;

		@Override
		public ServerSocket createServerSocket() throws IOException {
			return track(new ServerSocket());
		}

		@Override
		public ServerSocket createServerSocket(int port) throws IOException {
			return track(new ServerSocket(port));
		}

		@Override
		public ServerSocket createServerSocket(int port, int backlog) throws IOException {
			return track(new ServerSocket(port, backlog));
		}

		@Override
		public ServerSocket createServerSocket(int port, int backlog, InetAddress address) throws IOException {
			return track(new ServerSocket(port, backlog, address));
		}

		private ServerSocket track(ServerSocket created) {
			this.socket = created;
			return created;
		}

		private void close() {
			ServerSocket current = this.socket;
			try {
				if (current != null) {
					current.close();
				}
			}
			catch (IOException ex) {
				// Ignored; the process is about to exit.
			}
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
