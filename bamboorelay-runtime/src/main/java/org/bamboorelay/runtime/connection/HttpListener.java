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
 * HTTP listener that counts the requests it carries, so that a process can leave without
 * cutting one.
 * <p>
 * Thread-safe. Each open connection has one thread.
 */
public final class HttpListener implements AutoCloseable {

	private static final int BACKLOG = 1024;

	private static final int IDLE_TIMEOUT_SECONDS = 60;

	/** How often a draining listener looks whether it is idle, in milliseconds. */
	private static final long DRAIN_POLL_MILLIS = 20;

	/**
	 * Share of the time to drain after which no connection is accepted any more, so that
	 * requests that are being served then can end.
	 */
	private static final double ACCEPT_SHARE = 0.7;

	/**
	 * Time without a request and without unread bytes after which nothing is on its way
	 * any more, in milliseconds; some turns of the threads that read.
	 */
	private static final long SETTLE_MILLIS = 100;

	private final HttpServer server;

	private final Acceptor acceptor = new Acceptor();

	/** The open connections, to see whether one has bytes that were not read. */
	private final Set<Socket> sockets = ConcurrentHashMap.newKeySet();

	private final AtomicInteger running = new AtomicInteger();

	private final AtomicBoolean leaving = new AtomicBoolean();

	private HttpListener(InetAddress address, int port, HttpHandler handler, Consumer<Exception> onError) {
		Http1Config config = Http1Config.custom()
			.setMaxLineLength(HttpLimits.MAX_LINE_BYTES)
			.setMaxHeaderCount(HttpLimits.MAX_HEADERS)
			.build();
		SocketConfig socketConfig = SocketConfig.custom()
			// Connections that this side closed keep the port for a minute, in which a
			// restarted process could not listen.
			.setSoReuseAddress(true)
			.setTcpNoDelay(true)
			.setBacklogSize(BACKLOG)
			.setSoTimeout(Timeout.of(IDLE_TIMEOUT_SECONDS, TimeUnit.SECONDS))
			.build();
		// HttpServer is built without its bootstrap, whose router answers 421 to
		// requests for an IP address.
		HttpService service = new HttpService(HttpProcessors.server(),
				new BasicHttpServerExpectationDecorator(
						(request, trigger, context) -> serve(handler, request, trigger)),
				config, DefaultConnectionReuseStrategy.INSTANCE, null);
		this.server = new HttpServer(port, service, address, socketConfig, this.acceptor,
				(socket) -> connection(config, socket), null, null, new ErrorForwarder(onError));
	}

	/**
	 * Opens a listener.
	 * @param address the IP address
	 * @param port the port, 0 for a free one
	 * @param handler called for each request, on the thread of its connection
	 * @param onError told of each broken connection or message
	 * @return the open listener
	 * @throws IOException where the address cannot be bound
	 */
	public static HttpListener open(String address, int port, HttpHandler handler, Consumer<Exception> onError)
			throws IOException {
		Objects.requireNonNull(handler, "handler");
		HttpListener listener = new HttpListener(InetAddress.getByName(address), port, handler, onError);
		listener.server.start();
		return listener;
	}

	/**
	 * Returns the port that is listened on.
	 * @return the port
	 */
	public int port() {
		return this.server.getLocalPort();
	}

	/**
	 * Returns the number of requests that are being served.
	 * @return the number
	 */
	public int running() {
		return this.running.get();
	}

	/**
	 * Makes every further answer close its connection, so that callers turn elsewhere.
	 */
	public void startLeaving() {
		this.leaving.set(true);
	}

	/**
	 * Turns callers away, waits until none of them sends any more or most of the time is
	 * over, accepts no further connection, and waits for the requests that were accepted
	 * until then.
	 * @param quietMillis how long no request must have run, in milliseconds
	 * @param limitMillis the longest wait, in milliseconds
	 * @return false where requests were still running at the limit
	 * @throws InterruptedException where the waiting thread is interrupted
	 */
	public boolean drain(long quietMillis, long limitMillis) throws InterruptedException {
		startLeaving();
		long start = System.nanoTime();
		awaitIdle(quietMillis, start + TimeUnit.MILLISECONDS.toNanos((long) (limitMillis * ACCEPT_SHARE)));
		this.acceptor.close();
		return awaitIdle(SETTLE_MILLIS, start + TimeUnit.MILLISECONDS.toNanos(limitMillis));
	}

	private boolean awaitIdle(long idleMillis, long endNanos) throws InterruptedException {
		long lastBusy = System.nanoTime();
		while (true) {
			long now = System.nanoTime();
			if (this.running.get() > 0 || hasUnreadBytes()) {
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
				// Its caller closed it, so that nobody waits for an answer.
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
		this.running.incrementAndGet();
		try {
			handler.handle(request, new TriggerResponder(trigger, CuttingConnection.CURRENT.get()));
		}
		finally {
			this.running.decrementAndGet();
		}
	}

	private DefaultBHttpServerConnection connection(Http1Config config, Socket socket) throws IOException {
		DefaultBHttpServerConnection connection = new CuttingConnection(config, () -> this.sockets.remove(socket));
		connection.bind(socket);
		this.sockets.add(socket);
		return connection;
	}

	/**
	 * Serves one request.
	 */
	@FunctionalInterface
	public interface HttpHandler {

		/**
		 * Serves a request and sends exactly one answer.
		 * @param request the request; its body is read from its entity
		 * @param responder sends the answer
		 * @throws HttpException where the request breaks the protocol
		 * @throws IOException where the connection breaks
		 */
		void handle(ClassicHttpRequest request, Responder responder) throws HttpException, IOException;

	}

	/**
	 * Sends the answer of one request.
	 */
	@FunctionalInterface
	public interface Responder {

		/**
		 * Sends an answer whole, its body included. Returns when the last byte was
		 * written.
		 * @param response the answer
		 * @throws HttpException where the answer breaks the protocol
		 * @throws IOException where the connection breaks
		 */
		void send(ClassicHttpResponse response) throws HttpException, IOException;

		/**
		 * Tells whether the caller has closed its connection. Must not be called at the
		 * same time as {@link #send}.
		 * @return whether nobody waits for the answer
		 */
		default boolean isCallerGone() {
			return false;
		}

		/**
		 * Sends an answer with a text body.
		 * @param status the status code
		 * @param contentType the media type
		 * @param body the text
		 * @throws HttpException where the answer breaks the protocol
		 * @throws IOException where the connection breaks
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

		private final @Nullable CuttingConnection connection;

		private TriggerResponder(HttpServerRequestHandler.ResponseTrigger trigger,
				@Nullable CuttingConnection connection) {
			this.trigger = trigger;
			this.connection = connection;
		}

		@Override
		public void send(ClassicHttpResponse response) throws HttpException, IOException {
			if (HttpListener.this.leaving.get()) {
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
	 * Connection that is closed where writing a body fails. HttpCore would end a chunked
	 * body with its last chunk even then, so that a cut answer would look whole.
	 */
	private static final class CuttingConnection extends DefaultBHttpServerConnection {

		/** The connection that the running thread serves. */
		private static final ThreadLocal<@Nullable CuttingConnection> CURRENT = new ThreadLocal<>();

		private final Runnable onClose;

		private CuttingConnection(Http1Config config, Runnable onClose) {
			super("http", config);
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
				response.setEntity(new CuttingEntity(entity, this));
			}
			super.sendResponseEntity(response);
		}

	}

	private static final class CuttingEntity extends HttpEntityWrapper {

		private final DefaultBHttpServerConnection connection;

		private CuttingEntity(HttpEntity entity, DefaultBHttpServerConnection connection) {
			super(entity);
			this.connection = connection;
		}

		@Override
		public void writeTo(OutputStream out) throws IOException {
			boolean whole = false;
			try {
				super.writeTo(out);
				whole = true;
			}
			finally {
				if (!whole) {
					this.connection.close();
				}
			}
		}

	}

	/**
	 * Makes the listening socket, and closes it without touching the connections that
	 * were accepted, which the server itself would interrupt.
	 */
	private static final class Acceptor extends ServerSocketFactory {

		private volatile @Nullable ServerSocket socket;

		@Override
		public ServerSocket createServerSocket() throws IOException {
			return kept(new ServerSocket());
		}

		@Override
		public ServerSocket createServerSocket(int port) throws IOException {
			return kept(new ServerSocket(port));
		}

		@Override
		public ServerSocket createServerSocket(int port, int backlog) throws IOException {
			return kept(new ServerSocket(port, backlog));
		}

		@Override
		public ServerSocket createServerSocket(int port, int backlog, InetAddress address) throws IOException {
			return kept(new ServerSocket(port, backlog, address));
		}

		private ServerSocket kept(ServerSocket created) {
			this.socket = created;
			return created;
		}

		private void close() {
			ServerSocket present = this.socket;
			try {
				if (present != null) {
					present.close();
				}
			}
			catch (IOException ex) {
				// The socket is given up; the process ends right after.
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
