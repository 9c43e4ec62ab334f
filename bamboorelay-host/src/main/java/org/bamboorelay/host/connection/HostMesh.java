package org.bamboorelay.host.connection;

import java.io.IOException;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Set;
import java.util.TreeSet;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ExecutorService;
import java.util.function.BiConsumer;
import java.util.function.Consumer;
import java.util.function.Function;
import java.util.function.Supplier;

import io.vavr.control.Either;
import io.vavr.control.Option;
import org.bamboorelay.core.connection.PeerMessage;
import org.bamboorelay.core.process.HighCapacityHosts;
import org.bamboorelay.core.process.MemoryBudget;
import org.bamboorelay.core.process.StatusRoutes;
import org.bamboorelay.core.process.StoreWatchers;
import org.bamboorelay.core.time.Clock;
import org.bamboorelay.core.version.FailureDomain;
import org.bamboorelay.core.version.HostId;
import org.bamboorelay.host.process.EventLog;
import org.bamboorelay.runtime.connection.EncodedMessage;
import org.bamboorelay.runtime.connection.PeerFailure;
import org.bamboorelay.runtime.connection.PeerLink;
import org.bamboorelay.runtime.connection.PeerListener;
import org.jspecify.annotations.Nullable;

/**
 * Links to the other hosts that are registered in the platform's store. Each host sends
 * its status on its own outgoing links, to all other hosts or only to relays, as
 * determined by {@link StatusRoutes}. A host whose status has not been received for a
 * while, neither directly nor through a relay, counts as lost.
 * <p>
 * Thread-safe.
 */
public final class HostMesh implements AutoCloseable {

	/** Time without a status after which a host counts as lost, in milliseconds. */
	private static final long HOST_TIMEOUT_MILLIS = 2_500;

	/**
	 * Time without a status after which the work of a host is given to other hosts, in
	 * milliseconds. If the host lives, two hosts do the same work for a moment, which is
	 * harmless, so this is shorter than the time after which it counts as lost.
	 */
	private static final long TAKEOVER_SILENCE_MILLIS = 1_200;

	/**
	 * Time without a status after which a host is taken to be gone for good, in
	 * milliseconds. Until then it may be serving in a part of the deployment that is cut
	 * off.
	 */
	private static final long FORGET_HOST_MILLIS = 600_000;

	/**
	 * Time without a direct status after which a host that watches the store is not
	 * relied on, in milliseconds.
	 */
	private static final long WATCHER_TIMEOUT_MILLIS = 1_200;

	/**
	 * Number of hosts watching the store that a host must receive statuses from in order
	 * not to watch the store itself.
	 */
	private static final int MIN_LIVE_WATCHERS = 2;

	/**
	 * Minimum interval between two acknowledgements on one link, in milliseconds; a few
	 * status intervals.
	 */
	private static final long ACK_INTERVAL_MILLIS = 600;

	/**
	 * Interval at which a relay forwards the statuses it received, in milliseconds; two
	 * status intervals.
	 */
	private static final long DIGEST_INTERVAL_MILLIS = 600;

	/**
	 * Divisor of the maximum heap size that gives the memory for messages that wait on
	 * links.
	 */
	private static final long OUTBOUND_MEMORY_DIVISOR = 8;

	private static final String DEPLOYMENT = "platform";

	private static final String ROLE = "entry";

	private final PeerMessage.Hello hello;

	private final double processors;

	private final Clock clock;

	private final ExecutorService executor;

	private final EventLog log;

	private final Map<String, Peer> peers = new ConcurrentHashMap<>();

	private final Map<Class<?>, Function<PeerMessage, PeerMessage>> handlers = new ConcurrentHashMap<>();

	private volatile BiConsumer<String, PeerMessage.HostStatus> onStatus = (host, status) -> {
	};

	private volatile Consumer<PeerMessage.ObjectChanges> onChanges = (changes) -> {
	};

	private volatile Consumer<PeerMessage.WeightLoad> onWeightLoad = (load) -> {
	};

	private volatile Supplier<List<? extends PeerMessage>> openingMessages = List::of;

	private final MemoryBudget outboundMemory;

	private volatile StatusRoutes routes;

	private long nextDigestMillis;

	private @Nullable PeerListener listener;

	private HostMesh(PeerMessage.Hello hello, double processors, MemoryBudget outboundMemory, Clock clock,
			ExecutorService executor, EventLog log) {
		this.hello = hello;
		this.outboundMemory = outboundMemory;
		this.processors = processors;
		this.clock = Objects.requireNonNull(clock, "clock");
		this.executor = Objects.requireNonNull(executor, "executor");
		this.log = Objects.requireNonNull(log, "log");
		this.routes = routes();
	}

	/**
	 * Creates a mesh without links.
	 * @param host the name of this host
	 * @param domain its failure domain
	 * @param processors its processor capacity, in cores
	 * @param incarnation unique for each start of the process
	 * @param clock the monotonic clock of the process
	 * @param executor the threads that serve the links
	 * @param log the log of the process
	 * @return the mesh
	 */
	public static HostMesh of(String host, String domain, double processors, String incarnation, Clock clock,
			ExecutorService executor, EventLog log) {
		return of(host, domain, processors, incarnation,
				MemoryBudget.of(Runtime.getRuntime().maxMemory() / OUTBOUND_MEMORY_DIVISOR), clock, executor, log);
	}

	// Creates a mesh with the memory for messages that wait on its links.
	static HostMesh of(String host, String domain, double processors, String incarnation, MemoryBudget outboundMemory,
			Clock clock, ExecutorService executor, EventLog log) {
		PeerMessage.Hello hello = PeerMessage.Hello.of(DEPLOYMENT, HostId.of(host), FailureDomain.of(domain), ROLE,
				incarnation);
		return new HostMesh(hello, processors, outboundMemory, clock, executor, log);
	}

	/**
	 * Returns the name of this host.
	 * @return the name
	 */
	public String host() {
		return this.hello.host().value();
	}

	/**
	 * Returns the number of bytes of the messages that wait on links.
	 * @return the number of bytes
	 */
	public long outboundBytes() {
		return this.outboundMemory.reservedBytes();
	}

	/**
	 * Sets the listener for statuses of other hosts.
	 * @param listener receives the host and its status; must not block
	 */
	public void onStatus(BiConsumer<String, PeerMessage.HostStatus> listener) {
		this.onStatus = Objects.requireNonNull(listener, "listener");
	}

	/**
	 * Sets the listener for store changes that another host relays.
	 * @param listener receives the changes; must not block
	 */
	public void onChanges(Consumer<PeerMessage.ObjectChanges> listener) {
		this.onChanges = Objects.requireNonNull(listener, "listener");
	}

	/**
	 * Sets the listener for weight loads that another host ordered.
	 * @param listener receives the start and the end of each load; must not block
	 */
	public void onWeightLoad(Consumer<PeerMessage.WeightLoad> listener) {
		this.onWeightLoad = Objects.requireNonNull(listener, "listener");
	}

	/**
	 * Sets the messages to send on each link when it was opened.
	 * @param messages supplies the messages; must not block
	 */
	public void openingMessages(Supplier<List<? extends PeerMessage>> messages) {
		this.openingMessages = Objects.requireNonNull(messages, "messages");
	}

	/**
	 * Forwards a message that another host published, if this host is a relay. Other
	 * hosts publish only to those to which they maintain a link.
	 * @param message the message, which this host must not have received before
	 */
	public void forward(PeerMessage message) {
		if (this.routes.isRelay()) {
			publish(message);
		}
	}

	/**
	 * Registers the handler of a message type.
	 * @param <T> the message type
	 * @param type the class of the messages
	 * @param handler returns the response to a message; must not block
	 */
	public <T extends PeerMessage> void register(Class<T> type, Function<T, PeerMessage> handler) {
		this.handlers.put(type, (message) -> handler.apply(type.cast(message)));
	}

	/**
	 * Starts accepting links.
	 * @param address {@code ip:port}; port 0 binds any free port
	 * @return the bound address, {@code ip:port}
	 * @throws IOException if the address cannot be bound
	 */
	public String open(String address) throws IOException {
		int colon = address.lastIndexOf(':');
		PeerListener opened = PeerListener.open(address.substring(0, colon),
				Integer.parseInt(address.substring(colon + 1)), this.hello, this::handleMessage, (failure) -> {
				}, this.executor);
		this.listener = opened;
		return address.substring(0, colon + 1) + opened.port();
	}

	/**
	 * Adds a host, or replaces it if its address changed.
	 * @param host the host
	 * @param address {@code ip:port}
	 * @param domain its failure domain
	 * @param processors its processor capacity, in cores
	 */
	public void putHost(String host, String address, String domain, double processors) {
		if (host.equals(this.hello.host().value())) {
			return;
		}
		this.peers.compute(host, (unused, known) -> {
			if (known != null && known.link.address().equals(address)) {
				return known;
			}
			Peer peer = new Peer(host, domain, processors,
					new OutgoingLink(host, address, this::connect, this.clock, this.executor, this.log));
			peer.lastStatusMillis = this.clock.millis();
			return peer;
		});
	}

	/**
	 * Removes a host and closes the link to it.
	 * @param host the host
	 */
	public void removeHost(String host) {
		Peer peer = this.peers.remove(host);
		if (peer != null) {
			peer.link.close();
		}
	}

	/**
	 * Sends the status of this host, and connects to the recipients without an open link.
	 * Called by one thread.
	 * @param status supplies the status
	 */
	public void sendStatus(Supplier<PeerMessage.HostStatus> status) {
		PeerMessage.HostStatus fullStatus = status.get();
		StatusRoutes currentRoutes = routes();
		this.routes = currentRoutes;
		List<Peer> withUsage = new ArrayList<>();
		List<Peer> withoutUsage = new ArrayList<>();
		for (Peer peer : this.peers.values()) {
			if (currentRoutes.sendsTo(peer.host)) {
				peer.link.closeIfUnacknowledged();
				if (peer.link.isOpen()) {
					(currentRoutes.needsUsageCounts(peer.host) ? withUsage : withoutUsage).add(peer);
				}
				else {
					peer.link.connect();
				}
			}
			boolean alive = isAlive(peer);
			if (alive != peer.loggedAlive) {
				peer.loggedAlive = alive;
				this.log.info(alive ? "peer-regained" : "peer-lost", "peer", peer.host, "address", peer.link.address(),
						"silent_ms", this.clock.millis() - peer.lastStatusMillis);
			}
		}
		send(fullStatus, withUsage);
		send(fullStatus.withoutUsage(), withoutUsage);
		if (currentRoutes.isRelay() && this.clock.millis() >= this.nextDigestMillis) {
			this.nextDigestMillis = this.clock.millis() + DIGEST_INTERVAL_MILLIS;
			send(digest(), this.peers.values().stream().filter((peer) -> peer.link.isOpen()).toList());
		}
	}

	/**
	 * Returns whether this host may acquire the duties.
	 * @return whether all other hosts send their usage to it
	 */
	public boolean mayHoldDuties() {
		return this.routes.mayHoldDuties();
	}

	/**
	 * Returns the live hosts.
	 * @return this host and the others whose status was received recently and that are
	 * not shutting down; excludes registered hosts that never sent a status
	 */
	public Set<String> liveHosts() {
		Set<String> live = new TreeSet<>();
		live.add(this.hello.host().value());
		this.peers.values()
			.stream()
			.filter((peer) -> peer.statusReceived && isAlive(peer) && !peer.leaving)
			.forEach((peer) -> live.add(peer.host));
		return live;
	}

	/**
	 * Returns the responsive hosts to which all hosts maintain a link.
	 * @return the hosts, which may include this one; only this one if there are none
	 */
	public Set<String> centralHosts() {
		StatusRoutes currentRoutes = this.routes;
		Set<String> central = liveHosts();
		central.removeIf((host) -> !isResponsive(host) || !currentRoutes.isReachedByAll(host));
		return central.isEmpty() ? Set.of(this.hello.host().value()) : central;
	}

	/**
	 * Returns the number of hosts whose status was received recently.
	 * @return the number, including this host and hosts that are shutting down
	 */
	public int aliveHostCount() {
		return 1 + (int) this.peers.values().stream().filter((peer) -> peer.statusReceived && isAlive(peer)).count();
	}

	/**
	 * Returns the number of hosts that may be serving, although this host cannot hear all
	 * of them.
	 * @return the number, including this host
	 */
	public int knownHostCount() {
		long now = this.clock.millis();
		return 1 + (int) this.peers.values()
			.stream()
			.filter((peer) -> now - peer.lastStatusMillis < FORGET_HOST_MILLIS)
			.count();
	}

	/**
	 * Returns the responsive hosts with enough processor capacity to do work for others.
	 * @return some of the responsive hosts, at least one
	 */
	public Set<String> highCapacityHosts() {
		Set<String> responsive = liveHosts();
		responsive.removeIf((host) -> !isResponsive(host));
		return new TreeSet<>(HighCapacityHosts.of(processors(responsive)));
	}

	/**
	 * Returns whether a host can be expected to continue its work. A host that was silent
	 * for a moment is not responsive some time before it counts as lost.
	 * @param host the host
	 * @return whether it is this host, or one whose status was received recently and that
	 * is not shutting down
	 */
	public boolean isResponsive(String host) {
		if (host.equals(this.hello.host().value())) {
			return true;
		}
		Peer peer = this.peers.get(host);
		return peer != null && !peer.leaving && !isSilent(peer);
	}

	/**
	 * Returns the other failure domains none of whose hosts was heard recently.
	 * @return the silent domains, which may be cut off
	 */
	public Set<String> silentDomains() {
		Set<String> silent = new TreeSet<>();
		Set<String> heard = new TreeSet<>(Set.of(this.hello.domain().value()));
		this.peers.values()
			.stream()
			.filter((peer) -> peer.statusReceived)
			.forEach((peer) -> (isSilent(peer) ? silent : heard).add(peer.domain));
		silent.removeAll(heard);
		return silent;
	}

	/**
	 * Returns the time since the last status of a host in another failure domain.
	 * @return the time, in milliseconds; 0 if no other domain was ever heard
	 */
	public long outsideSilenceMillis() {
		long now = this.clock.millis();
		return this.peers.values()
			.stream()
			.filter((peer) -> peer.statusReceived && !peer.domain.equals(this.hello.domain().value()))
			.mapToLong((peer) -> now - peer.lastStatusMillis)
			.min()
			.orElse(0);
	}

	/**
	 * Returns whether the hosts of all other failure domains have left as planned.
	 * @return whether each of them that was ever heard announced that it is leaving
	 */
	public boolean haveOutsideHostsLeft() {
		return this.peers.values()
			.stream()
			.filter((peer) -> peer.statusReceived && !peer.domain.equals(this.hello.domain().value()))
			.allMatch((peer) -> peer.leaving);
	}

	/**
	 * Returns whether this host watches the platform's store itself. A host that receives
	 * statuses from too few of the watching hosts watches the store too.
	 * @return whether this host watches the store
	 */
	public boolean isStoreWatcher() {
		Map<String, String> domains = new HashMap<>();
		for (String host : liveHosts()) {
			domains.put(host, domainOf(host));
		}
		Set<String> watchers = StoreWatchers.of(HighCapacityHosts.inEachDomain(processors(domains.keySet()), domains));
		long now = this.clock.millis();
		long liveWatchers = this.peers.values()
			.stream()
			.filter((peer) -> watchers.contains(peer.host)
					&& now - peer.lastDirectStatusMillis < WATCHER_TIMEOUT_MILLIS)
			.count();
		return watchers.contains(this.hello.host().value()) || liveWatchers < MIN_LIVE_WATCHERS;
	}

	/**
	 * Sends a message to all hosts whose status was received recently.
	 * @param message the message
	 */
	public void publish(PeerMessage message) {
		send(message,
				this.peers.values()
					.stream()
					.filter((peer) -> this.clock.millis() - peer.lastStatusMillis < WATCHER_TIMEOUT_MILLIS)
					.toList());
	}

	/**
	 * Returns the failure domain of a host.
	 * @param host the host
	 * @return the domain; empty if the host is unknown
	 */
	public String domainOf(String host) {
		if (host.equals(this.hello.host().value())) {
			return this.hello.domain().value();
		}
		Peer peer = this.peers.get(host);
		return (peer != null) ? peer.domain : "";
	}

	/**
	 * Returns the host that reports to hold the duties.
	 * @return the host, or null if no live host reported so
	 */
	public @Nullable String dutyHolder() {
		return this.peers.values()
			.stream()
			.filter((peer) -> isAlive(peer) && peer.holdsDuties)
			.map((peer) -> peer.host)
			.findFirst()
			.orElse(null);
	}

	/**
	 * Returns the other hosts that can reach the platform's store.
	 * @return the live hosts whose latest status says so
	 */
	public Set<String> hostsReachingStore() {
		Set<String> hosts = new TreeSet<>();
		this.peers.values()
			.stream()
			.filter((peer) -> isAlive(peer) && peer.reachesStore)
			.forEach((peer) -> hosts.add(peer.host));
		return hosts;
	}

	// Returns the number of open outgoing links.
	long openLinks() {
		return this.peers.values().stream().filter((peer) -> peer.link.isOpen()).count();
	}

	// Returns when a known host last acknowledged a status, in milliseconds of the clock.
	long lastAcknowledgedMillis(String host) {
		return Objects.requireNonNull(this.peers.get(host), host).link.lastAcknowledgedMillis();
	}

	/**
	 * Sends a request to a host and waits for the response.
	 * @param host the host
	 * @param message the request
	 * @param timeoutMillis the maximum wait, in milliseconds
	 * @return the response, or the reason why there is none
	 */
	public Either<PeerFailure, PeerMessage> call(String host, PeerMessage message, long timeoutMillis) {
		Peer peer = this.peers.get(host);
		if (peer == null) {
			return Either.left(new PeerFailure.Unreachable("unknown host " + host));
		}
		boolean permanentLink = this.routes.sendsTo(host);
		if (!permanentLink) {
			peer.link.open();
		}
		Either<PeerFailure, PeerMessage> response = peer.link.call(message, timeoutMillis);
		if (!permanentLink && response.isLeft() && response.getLeft() instanceof PeerFailure.NoResponse) {
			// No statuses are sent on this link, so a stalled connection would go
			// unnoticed.
			peer.link.close();
		}
		return response;
	}

	@Override
	public void close() {
		if (this.listener != null) {
			this.listener.close();
		}
		this.peers.values().forEach((peer) -> peer.link.close());
	}

	// Encodes a message once for all links. Receivers of changes that are dropped notice
	// the gap in the revisions and list the objects.
	private void send(PeerMessage message, List<Peer> receivers) {
		if (receivers.isEmpty()) {
			return;
		}
		Either<PeerFailure.TooLarge, EncodedMessage> encoded = EncodedMessage.of(message);
		if (encoded.isLeft()) {
			this.log.warn("peer-message-dropped", "receivers", receivers.size(), "reason", encoded.getLeft().detail());
			return;
		}
		Option<OutboundMessage> outbound = OutboundMessage.of(encoded.get(), this.outboundMemory)
			.orElse(() -> reserveInsteadOfSlowestLinks(encoded.get()));
		if (outbound.isEmpty()) {
			this.log.warn("peer-message-dropped", "receivers", receivers.size(), "reason",
					"the memory for messages is exhausted", "bytes", encoded.get().sizeBytes());
			return;
		}
		try (OutboundMessage shared = outbound.get()) {
			receivers.forEach((peer) -> peer.link.send(shared));
		}
	}

	// Links that are behind more than the others hold messages that those have sent.
	private Option<OutboundMessage> reserveInsteadOfSlowestLinks(EncodedMessage message) {
		List<OutgoingLink> behind = this.peers.values()
			.stream()
			.map((peer) -> peer.link)
			.filter(OutgoingLink::hasQueued)
			.sorted(Comparator.comparingLong(OutgoingLink::outboundBytes).reversed())
			.toList();
		for (OutgoingLink link : behind) {
			link.discardQueued();
			Option<OutboundMessage> outbound = OutboundMessage.of(message, this.outboundMemory);
			if (outbound.isDefined()) {
				return outbound;
			}
		}
		return Option.none();
	}

	private boolean isSilent(Peer peer) {
		long relayMillis = (peer.lastStatusMillis > peer.lastDirectStatusMillis) ? DIGEST_INTERVAL_MILLIS : 0;
		return this.clock.millis() - peer.lastStatusMillis >= TAKEOVER_SILENCE_MILLIS + relayMillis;
	}

	private boolean isAlive(Peer peer) {
		return this.clock.millis() - peer.lastStatusMillis < HOST_TIMEOUT_MILLIS;
	}

	// The other host may have started, or may have been cut off, since it last received
	// what this host publishes.
	private Either<PeerFailure, PeerLink> connect(String address) {
		Either<PeerFailure, PeerLink> link = PeerLink.connect(address, this.hello, this::handleMessage, (failure) -> {
		}, this.executor);
		link.forEach((opened) -> this.openingMessages.get()
			.stream()
			.filter((message) -> opened.remote().supports(message.getClass()))
			.forEach(opened::send));
		return link;
	}

	private Map<String, Double> processors(Set<String> hosts) {
		Map<String, Double> known = new HashMap<>();
		for (String host : hosts) {
			Peer peer = this.peers.get(host);
			known.put(host, (peer != null) ? peer.processors : this.processors);
		}
		return known;
	}

	private StatusRoutes routes() {
		Map<String, String> domains = new HashMap<>();
		Set<String> holders = new TreeSet<>();
		domains.put(this.hello.host().value(), this.hello.domain().value());
		for (Peer peer : this.peers.values()) {
			if (isAlive(peer) && !peer.leaving) {
				domains.put(peer.host, peer.domain);
				if (peer.holdsDuties) {
					holders.add(peer.host);
				}
			}
		}
		return StatusRoutes.of(this.hello.host().value(), domains, processors(domains.keySet()), holders);
	}

	private PeerMessage.StatusDigest digest() {
		long now = this.clock.millis();
		List<PeerMessage.RelayedStatus> statuses = new ArrayList<>();
		for (Peer peer : this.peers.values()) {
			PeerMessage.HostStatus status = peer.directStatus;
			if (status != null && now - peer.lastDirectStatusMillis < HOST_TIMEOUT_MILLIS) {
				statuses.add(new PeerMessage.RelayedStatus(peer.host, now - peer.lastDirectStatusMillis, status));
			}
		}
		return new PeerMessage.StatusDigest(statuses);
	}

	private @Nullable PeerMessage handleMessage(PeerLink link, PeerMessage message) {
		if (message instanceof PeerMessage.Ack) {
			Peer peer = this.peers.get(link.remote().host().value());
			if (peer != null) {
				peer.link.onAcknowledged();
			}
			return null;
		}
		if (message instanceof PeerMessage.HostStatus status) {
			String host = link.remote().host().value();
			Peer peer = this.peers.get(host);
			if (peer != null) {
				acknowledge(peer, link);
				peer.lastDirectStatusMillis = this.clock.millis();
				peer.directStatus = status.withoutUsage();
				peer.statusReceived(status, peer.lastDirectStatusMillis);
			}
			this.onStatus.accept(host, status);
			return null;
		}
		if (message instanceof PeerMessage.StatusDigest digest) {
			digest.statuses().forEach(this::onRelayedStatus);
			return null;
		}
		if (message instanceof PeerMessage.ObjectChanges changes) {
			this.onChanges.accept(changes);
			return null;
		}
		if (message instanceof PeerMessage.WeightLoad load) {
			this.onWeightLoad.accept(load);
			return null;
		}
		Function<PeerMessage, PeerMessage> handler = this.handlers.get(message.getClass());
		return (handler != null) ? handler.apply(message)
				: new PeerMessage.Rejected("no-handler", "no handler is registered for " + message.getClass());
	}

	private void onRelayedStatus(PeerMessage.RelayedStatus relayedStatus) {
		Peer peer = this.peers.get(relayedStatus.host());
		long at = this.clock.millis() - relayedStatus.ageMillis();
		if (peer != null && at > peer.lastStatusMillis) {
			peer.statusReceived(relayedStatus.status(), at);
			this.onStatus.accept(relayedStatus.host(), relayedStatus.status());
		}
	}

	private void acknowledge(Peer peer, PeerLink link) {
		long now = this.clock.millis();
		if (now - peer.lastAckSentMillis >= ACK_INTERVAL_MILLIS) {
			peer.lastAckSentMillis = now;
			link.send(new PeerMessage.Ack(true));
		}
	}

	private static final class Peer {

		private final String host;

		private final String domain;

		private final double processors;

		private final OutgoingLink link;

		private volatile long lastStatusMillis;

		private volatile long lastDirectStatusMillis = Long.MIN_VALUE / 2;

		private volatile PeerMessage.@Nullable HostStatus directStatus;

		private volatile long lastAckSentMillis = Long.MIN_VALUE / 2;

		private volatile boolean statusReceived;

		private volatile boolean leaving;

		private volatile boolean holdsDuties;

		private volatile boolean reachesStore;

		private boolean loggedAlive = true;

		private Peer(String host, String domain, double processors, OutgoingLink link) {
			this.host = host;
			this.domain = domain;
			this.processors = processors;
			this.link = link;
		}

		private void statusReceived(PeerMessage.HostStatus status, long at) {
			this.lastStatusMillis = at;
			this.statusReceived = true;
			this.leaving = status.leaving();
			this.holdsDuties = status.holdsDuties();
			this.reachesStore = status.reachesStore();
		}

	}

}
