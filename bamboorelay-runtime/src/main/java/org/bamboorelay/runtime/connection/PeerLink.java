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
 * One TCP link between two processes. Both sides send requests and one-way messages;
 * answers are matched by correlation. The handler runs on the reading thread and must not
 * block.
 * <p>
 * Thread-safe.
 */
public final class PeerLink implements AutoCloseable {

	private static final int CONNECT_TIMEOUT_MILLIS = 500;

	private static final int HELLO_TIMEOUT_MILLIS = 2_000;

	/**
	 * A link without a frame for this long is closed, in milliseconds, so that half-open
	 * links do not last; heartbeats come once a second.
	 */
	private static final int IDLE_TIMEOUT_MILLIS = 5_000;

	private final Socket socket;

	private final DataInputStream in;

	private final OutputStream out;

	private final PeerMessage.Hello remote;

	private final Handler handler;

	private final Consumer<PeerFailure> onClose;

	private final Executor threads;

	private final Map<Long, CompletableFuture<PeerMessage>> waiting = new ConcurrentHashMap<>();

	private final AtomicLong nextCorrelation = new AtomicLong();

	private final AtomicLong bytesOut = new AtomicLong();

	private PeerLink(Socket socket, DataInputStream in, OutputStream out, PeerMessage.Hello remote, Handler handler,
			Consumer<PeerFailure> onClose, Executor threads) {
		this.threads = threads;
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
	 * @param hello how this process introduces itself
	 * @param handler called for each message from the peer
	 * @param onClose called once when the link ends
	 * @param threads runs the reading loop
	 * @return the link, or why there is none
	 */
	public static Either<PeerFailure, PeerLink> connect(String address, PeerMessage.Hello hello, Handler handler,
			Consumer<PeerFailure> onClose, Executor threads) {
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
		return start(socket, hello, handler, onClose, threads);
	}

	/**
	 * Greets the process at the other end of a socket and starts reading.
	 * @param socket the connected socket; closed where the greeting fails
	 * @param hello how this process introduces itself
	 * @param handler called for each message from the peer
	 * @param onClose called once when the link ends
	 * @param threads runs the reading loop
	 * @return the link, or why there is none
	 */
	static Either<PeerFailure, PeerLink> start(Socket socket, PeerMessage.Hello hello, Handler handler,
			Consumer<PeerFailure> onClose, Executor threads) {
		try {
			socket.setTcpNoDelay(true);
			socket.setSoTimeout(HELLO_TIMEOUT_MILLIS);
			DataInputStream in = new DataInputStream(new BufferedInputStream(socket.getInputStream()));
			OutputStream out = socket.getOutputStream();
			out.write(PeerCodec.encode(0, hello));
			Either<PeerFailure, PeerCodec.Frame> first = PeerCodec.read(in);
			if (first.isLeft()) {
				closeQuietly(socket);
				return Either.left(first.getLeft());
			}
			if (!(first.get().message() instanceof PeerMessage.Hello remote)
					|| !PeerProtocol.MAGIC.equals(remote.magic()) || !hello.deployment().equals(remote.deployment())) {
				closeQuietly(socket);
				return Either.left(new PeerFailure.Malformed("the first frame is not a Hello of this deployment"));
			}
			socket.setSoTimeout(IDLE_TIMEOUT_MILLIS);
			PeerLink link = new PeerLink(socket, in, out, remote, handler, onClose, threads);
			threads.execute(link::readLoop);
			return Either.right(link);
		}
		catch (IOException | RuntimeException ex) {
			closeQuietly(socket);
			return Either.left(new PeerFailure.NoAnswer("greeting failed: " + ex.getMessage()));
		}
	}

	/**
	 * Returns how the peer introduced itself.
	 * @return the peer's greeting
	 */
	public PeerMessage.Hello remote() {
		return this.remote;
	}

	/**
	 * Returns the bytes sent on this link.
	 * @return the number of bytes
	 */
	public long bytesOut() {
		return this.bytesOut.get();
	}

	/**
	 * Tells whether the link is open.
	 * @return false after it was closed by either side
	 */
	public boolean isOpen() {
		return !this.socket.isClosed();
	}

	/**
	 * Sends a message that has no answer.
	 * @param message the message
	 * @return the failure, or null where the message was handed to the network
	 */
	public @Nullable PeerFailure send(PeerMessage message) {
		return write(0, message);
	}

	/**
	 * Sends a request and waits for its answer.
	 * @param message the request
	 * @param timeoutMillis the longest wait, in milliseconds
	 * @return the answer
	 */
	public Either<PeerFailure, PeerMessage> call(PeerMessage message, long timeoutMillis) {
		long correlation = this.nextCorrelation.incrementAndGet();
		CompletableFuture<PeerMessage> answer = new CompletableFuture<>();
		this.waiting.put(correlation, answer);
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
			return Either.left(new PeerFailure.NoAnswer("no answer within " + timeoutMillis + " ms"));
		}
		catch (ExecutionException ex) {
			return Either.left(new PeerFailure.NoAnswer("link closed while waiting"));
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
			return Either.left(new PeerFailure.NoAnswer("interrupted while waiting"));
		}
		finally {
			this.waiting.remove(correlation);
		}
	}

	@Override
	public void close() {
		closeQuietly(this.socket);
	}

	private void readLoop() {
		PeerFailure end;
		while (true) {
			Either<PeerFailure, PeerCodec.Frame> frame = PeerCodec.read(this.in);
			if (frame.isLeft()) {
				end = frame.getLeft();
				break;
			}
			dispatch(frame.get());
		}
		close();
		this.waiting.values()
			.forEach((answer) -> answer
				.completeExceptionally(new IOException("link to " + this.remote.host() + " closed")));
		this.onClose.accept(end);
	}

	private void dispatch(PeerCodec.Frame frame) {
		long correlation = frame.correlation();
		if (correlation < 0) {
			CompletableFuture<PeerMessage> answer = this.waiting.remove(-correlation);
			if (answer != null) {
				answer.complete(frame.message());
			}
			return;
		}
		if (frame.message() instanceof PeerMessage.StoreAsk) {
			// Takes as long as the store does, and must not hold up other messages.
			this.threads.execute(() -> answer(correlation, frame.message()));
		}
		else {
			answer(correlation, frame.message());
		}
	}

	private void answer(long correlation, PeerMessage message) {
		PeerMessage answer = this.handler.handle(this, message);
		if (correlation > 0) {
			write(-correlation,
					(answer != null) ? answer : new PeerMessage.Rejected("no-answer", "the message has no answer"));
		}
	}

	private @Nullable PeerFailure write(long correlation, PeerMessage message) {
		byte[] frame = PeerCodec.encode(correlation, message);
		try {
			synchronized (this.out) {
				this.out.write(frame);
			}
			this.bytesOut.addAndGet(frame.length);
			return null;
		}
		catch (IOException ex) {
			close();
			return new PeerFailure.NoAnswer("link to " + this.remote.host() + " broke: " + ex.getMessage());
		}
	}

	private static void closeQuietly(Socket socket) {
		try {
			socket.close();
		}
		catch (IOException ex) {
			// The link is given up; a failure to close it changes nothing.
		}
	}

	/**
	 * Handles the messages of a link.
	 */
	@FunctionalInterface
	public interface Handler {

		/**
		 * Handles a message. Runs on the reading thread and must not block.
		 * @param link the link
		 * @param message the message
		 * @return the answer; null for messages that have none
		 */
		@Nullable PeerMessage handle(PeerLink link, PeerMessage message);

	}

}
