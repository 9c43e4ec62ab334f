package org.bamboorelay.control.connection;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.Executor;

import io.vavr.control.Either;
import org.bamboorelay.core.connection.PeerMessage;
import org.bamboorelay.core.version.HostId;
import org.bamboorelay.runtime.connection.PeerFailure;
import org.bamboorelay.runtime.connection.PeerLink;
import org.jspecify.annotations.Nullable;

/**
 * Links to the entry processes of the own failure domain, opened again when they break.
 * <p>
 * Thread-safe; each link is opened under its own lock.
 */
public final class EntryLinks implements AutoCloseable {

	private static final long CALL_TIMEOUT_MILLIS = 1_000;

	private final PeerMessage.Hello hello;

	private final Executor threads;

	private final Map<String, Slot> slots = new ConcurrentHashMap<>();

	/**
	 * Creates the links.
	 * @param hello how this process introduces itself
	 * @param threads runs the reading loops and the calls
	 */
	public EntryLinks(PeerMessage.Hello hello, Executor threads) {
		this.hello = hello;
		this.threads = threads;
	}

	/**
	 * Keeps links to these addresses only.
	 * @param addresses {@code ip:port} of the peer ports
	 */
	public void keep(Collection<String> addresses) {
		addresses.forEach((address) -> this.slots.computeIfAbsent(address, Slot::new));
		Set<String> wanted = new HashSet<>(addresses);
		this.slots.values().removeIf((slot) -> {
			if (wanted.contains(slot.address)) {
				return false;
			}
			slot.close();
			return true;
		});
	}

	/**
	 * Returns the hosts whose links are open.
	 * @return the hosts
	 */
	public Set<HostId> liveHosts() {
		Set<HostId> hosts = new HashSet<>();
		this.slots.values().forEach((slot) -> {
			PeerLink link = slot.link;
			if (link != null && link.isOpen()) {
				hosts.add(link.remote().host());
			}
		});
		return hosts;
	}

	/**
	 * Calls each entry process at the same time and waits for all answers.
	 * @param message makes the message for a link
	 * @return the answers and failures
	 */
	public List<Answer> callAll(Request message) {
		return callShare(0, 1, message);
	}

	/**
	 * Calls a share of the entry processes at the same time and waits for all answers.
	 * @param share the share, from 0 to below the number of shares
	 * @param shares the number of shares
	 * @param message makes the message for a link
	 * @return the answers and failures
	 */
	public List<Answer> callShare(int share, int shares, Request message) {
		List<Slot> ordered = new ArrayList<>(this.slots.values());
		ordered.sort(Comparator.comparing((slot) -> slot.address));
		List<CompletableFuture<Answer>> calls = new ArrayList<>();
		for (int i = share; i < ordered.size(); i += shares) {
			Slot slot = ordered.get(i);
			calls.add(CompletableFuture.supplyAsync(() -> slot.call(message), this.threads));
		}
		return calls.stream().map(CompletableFuture::join).toList();
	}

	@Override
	public void close() {
		this.slots.values().forEach(Slot::close);
	}

	/**
	 * Makes the message for a link.
	 */
	@FunctionalInterface
	public interface Request {

		/**
		 * Makes the message.
		 * @param link the open link
		 * @return the message
		 */
		PeerMessage to(PeerLink link);

	}

	/**
	 * Result of a call.
	 *
	 * @param host the host; that of the last link where it could not be reached, and null
	 * where there never was one
	 * @param link the link; null where there is none
	 * @param result the answer
	 */
	public record Answer(@Nullable HostId host, @Nullable PeerLink link, Either<PeerFailure, PeerMessage> result) {
	}

	private final class Slot {

		private final String address;

		private volatile @Nullable PeerLink link;

		private volatile @Nullable HostId host;

		private Slot(String address) {
			this.address = address;
		}

		private Answer call(Request message) {
			PeerLink open = this.link;
			if (open == null || !open.isOpen()) {
				Either<PeerFailure, PeerLink> opened = open();
				if (opened.isLeft()) {
					return new Answer(this.host, null, Either.left(opened.getLeft()));
				}
				open = opened.get();
			}
			return new Answer(open.remote().host(), open, open.call(message.to(open), CALL_TIMEOUT_MILLIS));
		}

		private synchronized Either<PeerFailure, PeerLink> open() {
			PeerLink present = this.link;
			if (present != null && present.isOpen()) {
				return Either.right(present);
			}
			Either<PeerFailure, PeerLink> opened = PeerLink.connect(this.address, EntryLinks.this.hello,
					(from, message) -> null, (end) -> {
					}, EntryLinks.this.threads);
			opened.forEach((fresh) -> {
				this.link = fresh;
				this.host = fresh.remote().host();
			});
			return opened;
		}

		private void close() {
			PeerLink present = this.link;
			if (present != null) {
				present.close();
			}
		}

	}

}
