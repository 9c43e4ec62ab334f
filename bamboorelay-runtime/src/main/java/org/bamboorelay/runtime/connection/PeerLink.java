package org.bamboorelay.runtime.connection;

import java.io.BufferedInputStream;
import java.io.DataInputStream;
import java.io.IOException;
import java.io.OutputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.Executor;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.Consumer;

import io.vavr.control.Either;
import org.bamboorelay.core.connection.PeerMessage;
import org.bamboorelay.core.connection.PeerProtocol;
import org.jspecify.annotations.Nullable;

/**
 * A TCP link between two processes. Both sides send requests and one-way messages;
 * responses are matched to requests by correlation number. The handler runs on the
 * reading thread and must not block.
 * <p>
 * Thread-safe.
 */
public final class PeerLink implements AutoCloseable {

	private static final int CONNECT_TIMEOUT_MILLIS = 500;

	private static final int HELLO_TIMEOUT_MILLIS = 2_000;

	/** Maximum size of the first frame, which holds names only, in bytes. */
	private static final int MAX_HELLO_BYTES = 65_536;

	/**
	 * Time without a received frame after which a link is closed, in milliseconds. It
	 * detects half-open links; heartbeats arrive once a second.
	 */
	private static final int IDLE_TIMEOUT_MILLIS = 5_000;

	private final Socket socket;

	private final DataInputStream in;

	private final OutputStream out;

	private final PeerMessage.Hello remote;

	private final Handler handler;

	private final Consumer<PeerFailure> onClose;

	private final Executor executor;

	private final Map<Long, CompletableFuture<PeerMessage>> pendingRequests = new ConcurrentHashMap<>();

	private final AtomicLong nextCorrelation = new AtomicLong();

	private final AtomicLong bytesSent = new AtomicLong();

	private PeerLink(Socket socket, DataInputStream in, OutputStream out, PeerMessage.Hello remote, Handler handler,
			Consumer<PeerFailure> onClose, Executor executor) {
		this.executor = executor;
		this.socket = socket;
		this.in = in;
		this.out = out;
		this.remote = remote;
		this.handler = handler;
		this.onClose = onClose;
	}

	/**
	 * Connects to a peer.
	 * @param address {@code ip:port}
	 * @param hello the first message, which identifies this process
	 * @param handler called for each message from the peer
	 * @param onClose called once when the link is closed
	 * @param executor runs the reading loop
	 * @return the link, or the failure
	 */
	public static Either<PeerFailure, PeerLink> connect(String address, PeerMessage.Hello hello, Handler handler,
			Consumer<PeerFailure> onClose, Executor executor) {
		Socket socket = new Socket();
		try {
			int colon = address.lastIndexOf(':');
			socket.connect(
					new InetSocketAddress(address.substring(0, colon), Integer.parseInt(address.substring(colon + 1))),
					CONNECT_TIMEOUT_MILLIS);
		}
		catch (IOException | RuntimeException ex) {
			closeQuietly(socket);
			return Either.left(new PeerFailure.Unreachable("cannot connect to " + address + ": " + ex.getMessage()));
		}
		return start(socket, hello, handler, onClose, executor);
	}

	/**
	 * Performs the handshake on a connected socket and starts the reading loop.
	 * @param socket the connected socket, which is closed if the handshake fails
	 * @param hello the first message, which identifies this process
	 * @param handler called for each message from the peer
	 * @param onClose called once when the link is closed
	 * @param executor runs the reading loop
	 * @return the link, or the failure
	 */
	static Either<PeerFailure, PeerLink> start(Socket socket, PeerMessage.Hello hello, Handler handler,
			Consumer<PeerFailure> onClose, Executor executor) {
		try {
			socket.setTcpNoDelay(true);
			socket.setSoTimeout(HELLO_TIMEOUT_MILLIS);
			DataInputStream in = new DataInputStream(new BufferedInputStream(socket.getInputStream()));
			OutputStream out = socket.getOutputStream();
			out.write(PeerCodec.encode(0, hello));
			Either<PeerFailure, PeerCodec.Frame> first = PeerCodec.read(in, MAX_HELLO_BYTES);
			if (first.isLeft()) {
				closeQuietly(socket);
				return Either.left(first.getLeft());
			}
			if (!(first.get().message() instanceof PeerMessage.Hello remote)
					|| !PeerProtocol.MAGIC.equals(remote.magic()) || !hello.deployment().equals(remote.deployment())) {
				closeQuietly(socket);
				return Either.left(new PeerFailure.Malformed("first frame is not a Hello message of this deployment"));
			}
			socket.setSoTimeout(IDLE_TIMEOUT_MILLIS);
			PeerLink link = new PeerLink(socket, in, out, remote, handler, onClose, executor);
			executor.execute(link::readLoop);
			return Either.right(link);
		}
		catch (IOException | RuntimeException ex) {
			closeQuietly(socket);
			return Either.left(new PeerFailure.NoResponse("handshake failed: " + ex.getMessage()));
		}
	}

	/**
	 * Returns the first message of the peer, which identifies it.
	 * @return the first message of the peer
	 */
	public PeerMessage.Hello remote() {
		return this.remote;
	}

	/**
	 * Returns the number of bytes sent on this link.
	 * @return the number of bytes
	 */
	public long bytesSent() {
		return this.bytesSent.get();
	}

	/**
	 * Returns whether the link is open.
	 * @return false after this process closed the link or its reading loop ended
	 */
	public boolean isOpen() {
		return !this.socket.isClosed();
	}

	/**
	 * Sends a one-way message.
	 * @param message the message
	 * @return the failure, or null if the message was passed to the network
	 */
	public @Nullable PeerFailure send(PeerMessage message) {
		return write(0, message);
	}

	/**
	 * Sends a one-way message that is already encoded.
	 * @param message the message
	 * @return the failure, or null if the message was passed to the network
	 */
	public @Nullable PeerFailure send(EncodedMessage message) {
		return write(message.frame());
	}

	/**
	 * Sends a request and waits for its response.
	 * @param message the request
	 * @param timeoutMillis maximum time to wait, in milliseconds
	 * @return the response, or a failure if none was received in time or the peer
	 * rejected the request
	 */
	public Either<PeerFailure, PeerMessage> call(PeerMessage message, long timeoutMillis) {
		long correlation = this.nextCorrelation.incrementAndGet();
		CompletableFuture<PeerMessage> answer = new CompletableFuture<>();
		this.pendingRequests.put(correlation, answer);
		try {
			PeerFailure failure = write(correlation, message);
			if (failure != null) {
				return Either.left(failure);
			}
			PeerMessage result = answer.get(timeoutMillis, TimeUnit.MILLISECONDS);
			if (result instanceof PeerMessage.Rejected rejected) {
				return Either.left(new PeerFailure.Rejected(rejected.code(), rejected.detail()));
			}
			return Either.right(result);
		}
		catch (TimeoutException ex) {
			return Either.left(new PeerFailure.NoResponse("no response within " + timeoutMillis + " ms"));
		}
		catch (ExecutionException ex) {
			return Either.left(new PeerFailure.NoResponse("link closed while waiting for a response"));
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
			return Either.left(new PeerFailure.NoResponse("interrupted while waiting for a response"));
		}
		finally {
			this.pendingRequests.remove(correlation);
		}
	}

	@Override
	public void close() {
		closeQuietly(this.socket);
	}

	private void readLoop() {
		PeerFailure cause;
		while (true) {
			Either<PeerFailure, PeerCodec.Frame> frame = PeerCodec.read(this.in);
			if (frame.isLeft()) {
				cause = frame.getLeft();
				break;
			}
			dispatch(frame.get());
		}
		close();
		this.pendingRequests.values()
			.forEach((answer) -> answer
				.completeExceptionally(new IOException("link to " + this.remote.host() + " closed")));
		this.onClose.accept(cause);
	}

	private void dispatch(PeerCodec.Frame frame) {
		long correlation = frame.correlation();
		if (correlation < 0) {
			CompletableFuture<PeerMessage> answer = this.pendingRequests.remove(-correlation);
			if (answer != null) {
				answer.complete(frame.message());
			}
			return;
		}
		if (frame.message() instanceof PeerMessage.StoreRequest) {
			// A store call may take long and must not delay other messages.
			this.executor.execute(() -> answer(correlation, frame.message()));
		}
		else {
			answer(correlation, frame.message());
		}
	}

	private void answer(long correlation, PeerMessage message) {
		PeerMessage answer = this.handler.handle(this, message);
		if (correlation > 0) {
			PeerFailure failure = write(-correlation,
					(answer != null) ? answer : new PeerMessage.Rejected("no-answer", "the message has no answer"));
			if (failure instanceof PeerFailure.TooLarge) {
				write(-correlation, new PeerMessage.Rejected(failure.code(), failure.detail()));
			}
		}
	}

	private @Nullable PeerFailure write(long correlation, PeerMessage message) {
		byte[] frame;
		try {
			frame = PeerCodec.encode(correlation, message);
		}
		catch (IllegalArgumentException ex) {
			return new PeerFailure.TooLarge(message.getClass().getSimpleName() + ": " + ex.getMessage());
		}
		return write(frame);
	}

	private @Nullable PeerFailure write(byte[] frame) {
		try {
			synchronized (this.out) {
				this.out.write(frame);
			}
			this.bytesSent.addAndGet(frame.length);
			return null;
		}
		catch (IOException ex) {
			close();
			return new PeerFailure.NoResponse("link to " + this.remote.host() + " failed: " + ex.getMessage());
		}
	}

	private static void closeQuietly(Socket socket) {
		try {
			socket.close();
		}
		catch (IOException ex) {
			// Ignored; the link is not used any more.
		}
	}

	/**
	 * Handles the requests and one-way messages of a link.
	 */
	@FunctionalInterface
	public interface Handler {

		/**
		 * Handles a message. Runs on the reading thread and must not block, except for
		 * {@link PeerMessage.StoreRequest}, which runs on another thread.
		 * @param link the link
		 * @param message the message
		 * @return the response, or null for one-way messages
		 */
		@Nullable PeerMessage handle(PeerLink link, PeerMessage message);

	}

}
