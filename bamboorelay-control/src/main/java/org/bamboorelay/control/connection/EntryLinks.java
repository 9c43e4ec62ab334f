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
 * Links to the entry processes of the local failure domain. A broken link is reopened by
 * the next call.
 * <p>
 * Thread-safe; each link is opened under a lock of its own.
 */
public final class EntryLinks implements AutoCloseable {

	private static final long CALL_TIMEOUT_MILLIS = 1_000;

	private final PeerMessage.Hello hello;

	private final Executor executor;

	private final Map<String, ManagedLink> managedLinks = new ConcurrentHashMap<>();

	/**
	 * Creates the links.
	 * @param hello the handshake message of this process
	 * @param executor runs the receive loops and the calls
	 */
	public EntryLinks(PeerMessage.Hello hello, Executor executor) {
		this.hello = hello;
		this.executor = executor;
	}

	/**
	 * Sets the addresses to link to, and closes the links to all others.
	 * @param addresses {@code ip:port} of the peer ports
	 */
	public void setAddresses(Collection<String> addresses) {
		addresses.forEach((address) -> this.managedLinks.computeIfAbsent(address, ManagedLink::new));
		Set<String> wanted = new HashSet<>(addresses);
		this.managedLinks.values().removeIf((slot) -> {
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
		this.managedLinks.values().forEach((slot) -> {
			PeerLink link = slot.link;
			if (link != null && link.isOpen()) {
				hosts.add(link.remote().host());
			}
		});
		return hosts;
	}

	/**
	 * Calls all entry processes concurrently and waits for all responses.
	 * @param message creates the message for a link
	 * @return the responses and failures
	 */
	public List<CallResult> callAll(MessageFactory message) {
		return callGroup(0, 1, message);
	}

	/**
	 * Calls one group of the entry processes concurrently and waits for all responses.
	 * @param group the index of the group, from 0 (inclusive) to {@code shares}
	 * (exclusive)
	 * @param groupCount the number of groups
	 * @param message creates the message for a link
	 * @return the responses and failures
	 */
	public List<CallResult> callGroup(int group, int groupCount, MessageFactory message) {
		List<ManagedLink> ordered = new ArrayList<>(this.managedLinks.values());
		ordered.sort(Comparator.comparing((slot) -> slot.address));
		List<CompletableFuture<CallResult>> calls = new ArrayList<>();
		for (int i = group; i < ordered.size(); i += groupCount) {
			ManagedLink slot = ordered.get(i);
			calls.add(CompletableFuture.supplyAsync(() -> slot.call(message), this.executor));
		}
		return calls.stream().map(CompletableFuture::join).toList();
	}

	@Override
	public void close() {
		this.managedLinks.values().forEach(ManagedLink::close);
	}

	/**
	 * Creates the message for a link.
	 */
	@FunctionalInterface
	public interface MessageFactory {

		/**
		 * Creates the message.
		 * @param link the open link
		 * @return the message
		 */
		PeerMessage create(PeerLink link);

	}

	/**
	 * Result of a call to one entry process.
	 *
	 * @param host the remote host; if the link could not be opened, the host of the
	 * previous link, or null if there was none
	 * @param link the link; null if it could not be opened
	 * @param result the response or the failure
	 */
	public record CallResult(@Nullable HostId host, @Nullable PeerLink link, Either<PeerFailure, PeerMessage> result) {
	}

	private final class ManagedLink {

		private final String address;

		private volatile @Nullable PeerLink link;

		private volatile @Nullable HostId host;

		private ManagedLink(String address) {
			this.address = address;
		}

		private CallResult call(MessageFactory message) {
			PeerLink open = this.link;
			if (open == null || !open.isOpen()) {
				Either<PeerFailure, PeerLink> opened = open();
				if (opened.isLeft()) {
					return new CallResult(this.host, null, Either.left(opened.getLeft()));
				}
				open = opened.get();
			}
			return new CallResult(open.remote().host(), open, open.call(message.create(open), CALL_TIMEOUT_MILLIS));
		}

		private synchronized Either<PeerFailure, PeerLink> open() {
			PeerLink current = this.link;
			if (current != null && current.isOpen()) {
				return Either.right(current);
			}
			Either<PeerFailure, PeerLink> opened = PeerLink.connect(this.address, EntryLinks.this.hello,
					(from, message) -> null, (end) -> {
					}, EntryLinks.this.executor);
			opened.forEach((newLink) -> {
				this.link = newLink;
				this.host = newLink.remote().host();
			});
			return opened;
		}

		private void close() {
			PeerLink current = this.link;
			if (current != null) {
				current.close();
			}
		}

	}

}
