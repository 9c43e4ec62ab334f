package org.bamboorelay.entry.connection;

import java.io.IOException;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.Executor;
import java.util.concurrent.ThreadLocalRandom;
import java.util.function.BiConsumer;
import java.util.function.Function;
import java.util.function.Supplier;

import io.vavr.control.Either;
import org.bamboorelay.core.connection.PeerMessage;
import org.bamboorelay.core.connection.PeerProtocol;
import org.bamboorelay.core.process.Membership;
import org.bamboorelay.core.time.Clock;
import org.bamboorelay.core.version.Configuration;
import org.bamboorelay.core.version.FailureDomain;
import org.bamboorelay.core.version.HostId;
import org.bamboorelay.core.version.Inventory;
import org.bamboorelay.core.version.KeyHash;
import org.bamboorelay.core.version.LiveConfiguration;
import org.bamboorelay.runtime.connection.PeerFailure;
import org.bamboorelay.runtime.connection.PeerLink;
import org.bamboorelay.runtime.connection.PeerListener;
import org.bamboorelay.runtime.process.Counters;
import org.jspecify.annotations.Nullable;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * A full mesh of TCP links between the entry hosts, with heartbeats and the exchange of
 * configurations and withdrawn keys. Each host connects to every other one. A host sends
 * heartbeats on the links that it opened, and replies to heartbeats on those that it
 * accepted.
 * <p>
 * Thread-safe. The membership is guarded by its own monitor.
 */
public final class TcpPeerMesh implements PeerMesh, AutoCloseable {

	/** Interval at which {@link #tick()} is to be called, in milliseconds. */
	public static final long TICK_INTERVAL_MILLIS = 100;

	private static final Logger LOG = LoggerFactory.getLogger(TcpPeerMesh.class);

	private static final long MAX_BACKOFF_MILLIS = 2_000;

	/**
	 * Maximum time that a starting host waits for the configuration versions of its
	 * peers, in milliseconds. A peer that accepts a link but does not reply must not
	 * prevent the host from starting.
	 */
	private static final long BOOTSTRAP_TIMEOUT_MILLIS = 2_000;

	/**
	 * Interval of exchanges of withdrawn keys with a random peer, in milliseconds. Needed
	 * because heartbeats carry only the size of the set, so that different sets of equal
	 * size look the same.
	 */
	private static final long EXCHANGE_INTERVAL_MILLIS = 1_000;

	private final PeerMessage.Hello hello;

	private final LiveConfiguration configuration;

	private final Clock clock;

	private final Counters counters;

	private final Executor threads;

	private final Membership membership;

	private final PeerTable peers = new PeerTable();

	private final Map<HostId, FailureDomain> domains = new ConcurrentHashMap<>();

	private final Map<Class<?>, Function<PeerMessage, PeerMessage>> handlers = new ConcurrentHashMap<>();

	private final ConfigurationExchange configurations;

	private final WithdrawalExchange withdrawals;

	private volatile Supplier<List<PeerMessage.CapacityDigest>> digests = List::of;

	private volatile BiConsumer<HostId, List<PeerMessage.CapacityDigest>> digestListener = (host, unused) -> {
	};

	private volatile boolean leaving;

	private volatile boolean closed;

	private volatile boolean inventoryApplied;

	private volatile long lastTickMillis;

	private volatile @Nullable PeerListener listener;

	private long nextHeartbeatMillis;

	private long nextExchangeMillis;

	private volatile long bootstrapDeadlineMillis;

	private TcpPeerMesh(PeerMessage.Hello hello, LiveConfiguration configuration, Membership membership, Clock clock,
			Counters counters, Executor threads) {
		this.hello = Objects.requireNonNull(hello, "hello");
		this.configuration = Objects.requireNonNull(configuration, "configuration");
		this.membership = Objects.requireNonNull(membership, "membership");
		this.clock = Objects.requireNonNull(clock, "clock");
		this.counters = Objects.requireNonNull(counters, "counters");
		this.threads = Objects.requireNonNull(threads, "threads");
		this.lastTickMillis = clock.millis();
		this.domains.put(hello.host(), hello.domain());
		this.configurations = new ConfigurationExchange(hello.domain(), configuration, counters, threads);
		this.withdrawals = new WithdrawalExchange(configuration.withdrawn(), threads, this::onExchangeCompleted);
		register(PeerMessage.ConfigFetch.class, this.configurations::onFetch);
		register(PeerMessage.ConfigOffer.class, this.configurations::onOffer);
		register(PeerMessage.Withdraw.class, this.withdrawals::onWithdraw);
		configuration.onChange(this::applyInventory);
		counters.gauge("peer_bytes_sent", this.peers::bytesSent);
	}

	/**
	 * Creates the mesh of a host. It opens no connections before {@link #open}.
	 * @param hello the first message of this host on each link
	 * @param configuration the configuration and withdrawn keys to exchange
	 * @param membership the membership; shared with the configuration, and guarded by its
	 * own monitor
	 * @param clock a monotonic clock
	 * @param counters the metrics registry of the process
	 * @param threads runs links, calls and connection attempts
	 * @return the mesh
	 */
	public static TcpPeerMesh of(PeerMessage.Hello hello, LiveConfiguration configuration, Membership membership,
			Clock clock, Counters counters, Executor threads) {
		return new TcpPeerMesh(hello, configuration, membership, clock, counters, threads);
	}

	/**
	 * Starts to listen and to connect to peers.
	 * @param address the IP address to listen on
	 * @param port the port; 0 for any free port
	 * @param bootstrap peer addresses to use before the inventory is known
	 * @throws IOException if the address cannot be bound
	 */
	public void open(String address, int port, List<String> bootstrap) throws IOException {
		PeerListener opened = PeerListener.open(address, port, this.hello, this::handle, this::onLinkEnd, this.threads);
		this.listener = opened;
		String own = address + ":" + opened.port();
		if (!bootstrap.isEmpty()) {
			this.configuration.deferActivation();
			this.bootstrapDeadlineMillis = this.clock.millis() + BOOTSTRAP_TIMEOUT_MILLIS;
		}
		bootstrap.stream().filter((peer) -> !peer.equals(own)).forEach((peer) -> this.peers.add(peer));
	}

	/**
	 * Returns the port on which the mesh listens.
	 * @return the port
	 */
	public int port() {
		return Objects.requireNonNull(this.listener, "listener").port();
	}

	/**
	 * Sets the source of the digests of free capacity that heartbeats carry.
	 * @param supplier must not block
	 */
	public void digests(Supplier<List<PeerMessage.CapacityDigest>> supplier) {
		this.digests = supplier;
	}

	/**
	 * Sets the listener for the digests of other hosts.
	 * @param newListener called for each heartbeat; must not block
	 */
	public void onDigests(BiConsumer<HostId, List<PeerMessage.CapacityDigest>> newListener) {
		this.digestListener = newListener;
	}

	/**
	 * Returns the first message of this host on each link.
	 * @return the message
	 */
	public PeerMessage.Hello greeting() {
		return this.hello;
	}

	@Override
	public HostId self() {
		return this.hello.host();
	}

	@Override
	public FailureDomain domain(HostId host) {
		FailureDomain domain = this.domains.get(host);
		if (domain == null) {
			throw new IllegalArgumentException("host " + host + " is not in the inventory");
		}
		return domain;
	}

	@Override
	public Set<HostId> live() {
		synchronized (this.membership) {
			return this.membership.live();
		}
	}

	/**
	 * Returns the membership states of the hosts.
	 * @return the states by host
	 */
	public Map<HostId, Membership.State> states() {
		synchronized (this.membership) {
			return this.membership.states();
		}
	}

	@Override
	public Either<PeerFailure, PeerMessage> call(HostId host, PeerMessage message, long timeoutMillis) {
		if (host.equals(self())) {
			PeerMessage answer = answer(message);
			return (answer instanceof PeerMessage.Rejected rejected)
					? Either.left(new PeerFailure.Rejected(rejected.code(), rejected.detail())) : Either.right(answer);
		}
		PeerLink link = this.peers.link(host);
		if (link == null) {
			return Either.left(new PeerFailure.Unreachable("no open link to host " + host));
		}
		return link.call(message, timeoutMillis);
	}

	@Override
	public <M extends PeerMessage> void register(Class<M> type, Function<M, PeerMessage> handler) {
		this.handlers.put(type, (message) -> handler.apply(type.cast(message)));
	}

	/**
	 * Marks this host as leaving, and sends heartbeats that report it immediately.
	 */
	public void startLeaving() {
		this.leaving = true;
		synchronized (this.membership) {
			this.membership.markLeaving();
		}
		sendHeartbeats();
	}

	/**
	 * Withdraws keys at this host, pushes them to all peers, and waits for the first
	 * confirmation.
	 * @param keys the hashes of the keys
	 * @return the number of hosts known to hold the withdrawal, including this one; 1 if
	 * no peer confirmed it in time
	 */
	public int withdraw(List<KeyHash> keys) {
		return this.withdrawals.withdraw(keys, this.peers.links());
	}

	/**
	 * Sends heartbeats when they are due, reconnects closed links, and updates the
	 * membership. To be called every {@link #TICK_INTERVAL_MILLIS} by one thread.
	 */
	public void tick() {
		long now = this.clock.millis();
		if (this.configuration.wasSuspended()) {
			LOG.atWarn()
				.addKeyValue("event", "process.was-frozen")
				.addKeyValue("gap_ms", now - this.lastTickMillis)
				.log("process.was-frozen");
			// Messages that were buffered while this process was suspended, including
			// those of control processes, are outdated.
			this.peers.links().forEach(PeerLink::close);
			PeerListener opened = this.listener;
			if (opened != null) {
				opened.closeLinks();
			}
		}
		synchronized (this.membership) {
			this.membership.tick(now);
		}
		this.lastTickMillis = now;
		if (now >= this.bootstrapDeadlineMillis
				|| this.peers.all().stream().allMatch((peer) -> peer.initialExchangeDone)) {
			this.configuration.resumeActivation();
		}
		this.configuration.tick();
		this.peers.all().forEach((peer) -> connect(peer, now));
		if (this.inventoryApplied && this.peers.all().stream().allMatch((peer) -> peer.initialExchangeDone)) {
			this.configuration.recordPeersQueried();
		}
		if (now >= this.nextHeartbeatMillis) {
			this.nextHeartbeatMillis = now + PeerProtocol.HEARTBEAT_MILLIS;
			sendHeartbeats();
		}
		if (now >= this.nextExchangeMillis) {
			this.nextExchangeMillis = now + EXCHANGE_INTERVAL_MILLIS;
			List<PeerLink> open = this.peers.links();
			if (!open.isEmpty()) {
				this.withdrawals.exchange(open.get(ThreadLocalRandom.current().nextInt(open.size())));
			}
		}
	}

	@Override
	public void close() {
		this.closed = true;
		PeerListener opened = this.listener;
		if (opened != null) {
			opened.close();
		}
		this.peers.links().forEach(PeerLink::close);
	}

	private @Nullable PeerMessage handle(PeerLink link, PeerMessage message) {
		if (message instanceof PeerMessage.Heartbeat heartbeat) {
			handleHeartbeat(link, heartbeat);
			return null;
		}
		if (message instanceof PeerMessage.WithdrawnDelta delta) {
			return guarded(delta, (request) -> this.withdrawals.onDelta(link, delta));
		}
		return answer(message);
	}

	private PeerMessage answer(PeerMessage message) {
		Function<PeerMessage, PeerMessage> handler = this.handlers.get(message.getClass());
		if (handler == null) {
			return new PeerMessage.Rejected("not-served",
					message.getClass().getSimpleName() + " is not handled by this host");
		}
		return guarded(message, handler);
	}

	private static PeerMessage guarded(PeerMessage message, Function<PeerMessage, PeerMessage> handler) {
		try {
			return handler.apply(message);
		}
		catch (RuntimeException ex) {
			// An exception of a handler must not terminate the reader thread of the
			// link.
			LOG.atError()
				.addKeyValue("event", "peer.handler-failed")
				.addKeyValue("message", message.getClass().getSimpleName())
				.addKeyValue("failure", ex.getClass().getSimpleName())
				.log("peer.handler-failed");
			return new PeerMessage.Rejected("internal-error", "the message handler failed");
		}
	}

	private void handleHeartbeat(PeerLink link, PeerMessage.Heartbeat heartbeat) {
		PeerMessage.Hello remote = link.remote();
		boolean outgoing = this.peers.all().stream().anyMatch((peer) -> peer.link == link);
		if (!outgoing) {
			link.send(heartbeat());
		}
		if (!WithdrawalExchange.ENTRY_ROLE.equals(remote.role()) || remote.host().equals(self())) {
			return;
		}
		long now = this.clock.millis();
		if (this.configuration.wasSuspended()) {
			return;
		}
		if (!outgoing) {
			this.peers.accept(link);
		}
		this.domains.putIfAbsent(remote.host(), remote.domain());
		synchronized (this.membership) {
			this.membership.onHeartbeat(remote.host(), remote.domain(), heartbeat.leaving(), now);
		}
		if (!this.configuration.recordViewAge(heartbeat.configVersion(), heartbeat.viewAgeMillis())) {
			this.configurations.fetch(link);
		}
		if (remote.domain().equals(this.hello.domain())) {
			this.configuration.recordPeerVersion(heartbeat.configVersion());
		}
		if (heartbeat.withdrawnCount() != this.configuration.withdrawn().size()) {
			this.withdrawals.exchange(link);
		}
		this.digestListener.accept(remote.host(), heartbeat.digests());
	}

	private void onExchangeCompleted(PeerLink link) {
		this.peers.all().stream().filter((peer) -> peer.link == link && !peer.initialExchangeDone).forEach((peer) -> {
			this.configurations.fetchBlocking(link);
			peer.initialExchangeDone = true;
		});
	}

	private PeerMessage.Heartbeat heartbeat() {
		return new PeerMessage.Heartbeat(this.leaving, this.configuration.heldVersion(),
				this.configuration.viewAgeMillis(), this.configuration.withdrawn().size(), this.digests.get());
	}

	private void sendHeartbeats() {
		PeerMessage.Heartbeat heartbeat = heartbeat();
		this.peers.all().forEach((peer) -> {
			PeerLink link = peer.link;
			// A peer that does not read from its link blocks only its own heartbeats.
			if (link != null && link.isOpen() && peer.sending.compareAndSet(false, true)) {
				this.threads.execute(() -> {
					try {
						link.send(heartbeat);
					}
					finally {
						peer.sending.set(false);
					}
				});
			}
		});
	}

	private void connect(Peer peer, long now) {
		PeerLink present = peer.link;
		if (this.closed || peer.isSelf || (present != null && present.isOpen()) || now < peer.nextAttemptMillis
				|| !peer.connecting.compareAndSet(false, true)) {
			return;
		}
		this.threads.execute(() -> {
			try {
				Either<PeerFailure, PeerLink> result = PeerLink.connect(peer.address, this.hello, this::handle,
						this::onLinkEnd, this.threads);
				if (result.isLeft()) {
					backOff(peer, result.getLeft());
					return;
				}
				onConnected(peer, result.get());
			}
			finally {
				peer.connecting.set(false);
			}
		});
	}

	private void onConnected(Peer peer, PeerLink link) {
		peer.backoffMillis = Peer.MIN_BACKOFF_MILLIS;
		peer.nextAttemptMillis = this.clock.millis() + peer.backoffMillis;
		if (link.remote().host().equals(self()) || this.closed) {
			peer.isSelf = link.remote().host().equals(self());
			peer.initialExchangeDone = true;
			link.close();
			return;
		}
		peer.host = link.remote().host();
		peer.link = link;
		this.domains.putIfAbsent(peer.host, link.remote().domain());
		LOG.atInfo()
			.addKeyValue("event", "peer.connected")
			.addKeyValue("peer", peer.host)
			.addKeyValue("address", peer.address)
			.log("peer.connected");
		link.send(heartbeat());
		this.configurations.fetch(link);
		this.withdrawals.exchange(link);
	}

	private void backOff(Peer peer, PeerFailure failure) {
		peer.initialExchangeDone = true;
		this.counters.counter("peer_connects_failed_total", "reason", failure.code()).inc();
		long delayMillis = peer.backoffMillis / 2 + ThreadLocalRandom.current().nextLong(peer.backoffMillis / 2 + 1);
		peer.backoffMillis = Math.min(MAX_BACKOFF_MILLIS, peer.backoffMillis * 2);
		peer.nextAttemptMillis = this.clock.millis() + delayMillis;
	}

	private void onLinkEnd(PeerFailure failure) {
		if (this.closed) {
			return;
		}
		this.counters.counter("peer_links_ended_total", "reason", failure.code()).inc();
		LOG.atInfo()
			.addKeyValue("event", "peer.link-ended")
			.addKeyValue("reason", failure.code())
			.addKeyValue("detail", failure.detail())
			.log("peer.link-ended");
	}

	/**
	 * Applies the inventory: connects to all of its hosts, and closes the links to all
	 * others.
	 * @param changed the configuration in force
	 */
	private void applyInventory(Configuration changed) {
		Set<String> wanted = new HashSet<>();
		Set<HostId> hosts = new HashSet<>();
		for (Inventory.HostEntry host : changed.inventory().hosts()) {
			hosts.add(host.name());
			this.domains.put(host.name(), host.failureDomain());
			if (!host.name().equals(self())) {
				wanted.add(host.peerAddress());
				this.peers.add(host.peerAddress());
			}
		}
		this.peers.retainOnly(wanted);
		synchronized (this.membership) {
			this.membership.states().keySet().stream().filter((host) -> !hosts.contains(host)).forEach((host) -> {
				this.membership.remove(host);
				this.peers.removeAccepted(host);
			});
		}
		this.inventoryApplied = true;
	}

}
