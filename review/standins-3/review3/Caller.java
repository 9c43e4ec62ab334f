package review3;

import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.Predicate;

/**
 * An ordinary caller: sends one request after the other on a connection that it keeps
 * open. It counts the requests on kept connections that a host passed on to a server and
 * whose connection ended without an answer.
 */
final class Caller {

	/** What all callers of a case have seen. */
	static final class Counts {

		final AtomicInteger sent = new AtomicInteger();

		final AtomicInteger answered = new AtomicInteger();

		final AtomicInteger otherStatus = new AtomicInteger();

		final AtomicInteger notConnected = new AtomicInteger();

		/** Passed on from a kept connection that ended without an answer. */
		final AtomicInteger lost = new AtomicInteger();

		@Override
		public String toString() {
			return "sent " + this.sent + ", 200 " + this.answered + ", other status " + this.otherStatus
					+ ", no connection " + this.notConnected + ", passed on from a kept connection and cut "
					+ this.lost;
		}

	}

	private static final AtomicInteger NUMBERS = new AtomicInteger();

	private final Lab lab;

	private final Lab.Host host;

	private final Counts counts;

	private final Predicate<String> arrived;

	private final int pauseMillis;

	private Caller(Lab lab, Lab.Host host, Counts counts, Predicate<String> arrived, int pauseMillis) {
		this.lab = lab;
		this.host = host;
		this.counts = counts;
		this.arrived = arrived;
		this.pauseMillis = pauseMillis;
	}

	/** Starts a caller; {@code arrived} tells whether a server has got a request. */
	static Caller start(Lab lab, Lab.Host host, Counts counts, Predicate<String> arrived, int pauseMillis) {
		Caller caller = new Caller(lab, host, counts, arrived, pauseMillis);
		Thread thread = new Thread(caller::run);
		thread.setDaemon(true);
		thread.start();
		return caller;
	}

	private void run() {
		while (!this.lab.finished) {
			int onConnection = 0;
			String id = "";
			int colon = this.host.front.lastIndexOf(':');
			boolean connected = false;
			try (Socket socket = new Socket()) {
				socket.setTcpNoDelay(true);
				socket.connect(new InetSocketAddress(this.host.front.substring(0, colon),
						Integer.parseInt(this.host.front.substring(colon + 1))), 1_000);
				connected = true;
				socket.setSoTimeout(4_000);
				InputStream in = new BufferedInputStream(socket.getInputStream());
				while (!this.lab.finished) {
					id = String.format("%016x", 0xca11000000L + NUMBERS.incrementAndGet());
					Map<String, String> headers = new LinkedHashMap<>();
					headers.put("Host", Lab.HOST);
					headers.put("X-Request-Id", id);
					headers.put("X-Deadline-Ms", "2000");
					headers.put("Authorization", "Bearer " + Lab.OTHER_KEY);
					this.counts.sent.incrementAndGet();
					socket.getOutputStream().write(Http.request("POST", "/lohu930/2f", headers, new byte[600]));
					Http.Message answer = Http.read(in, false, "POST");
					if (answer == null) {
						throw new IOException("the connection ended without an answer");
					}
					(answer.status() == 200 ? this.counts.answered : this.counts.otherStatus).incrementAndGet();
					onConnection++;
					if (answer.header("Connection").equalsIgnoreCase("close")) {
						break;
					}
					TimeUnit.MILLISECONDS.sleep(this.pauseMillis);
				}
			}
			catch (IOException ex) {
				if (this.lab.finished) {
					return;
				}
				if (!connected) {
					this.counts.notConnected.incrementAndGet();
				}
				else if (onConnection > 0 && this.arrived.test(id)) {
					int lost = this.counts.lost.incrementAndGet();
					this.lab.log("request " + id + " was passed on by " + this.host.name
							+ ", its kept connection ended without an answer (" + ex.getMessage() + "), number " + lost);
				}
				try {
					TimeUnit.MILLISECONDS.sleep(200);
				}
				catch (InterruptedException interrupted) {
					return;
				}
			}
			catch (InterruptedException ex) {
				return;
			}
		}
	}

}
