package org.bamboorelay.host.connection;

import java.io.IOException;
import java.util.ArrayList;
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
import org.bamboorelay.core.connection.PeerMessage;
import org.bamboorelay.core.process.StatusRoutes;
import org.bamboorelay.core.process.StoreReaders;
import org.bamboorelay.core.process.StrongHosts;
import org.bamboorelay.core.time.Clock;
import org.bamboorelay.core.version.FailureDomain;
import org.bamboorelay.core.version.HostId;
import org.bamboorelay.host.process.EventLog;
import org.bamboorelay.runtime.connection.PeerFailure;
import org.bamboorelay.runtime.connection.PeerLink;
import org.bamboorelay.runtime.connection.PeerListener;
import org.jspecify.annotations.Nullable;

/**
 * Links to the other hosts that the platform's store names. Each host sends its status on
 * links of its own, to all others or to relays as {@link StatusRoutes} says; a host whose
 * status was not heard for a while, also not through a relay, counts as gone.
 * <p>
 * Thread-safe.
 */
public final class HostMesh implements AutoCloseable {

	/** A host without a status for this long counts as gone, in milliseconds. */
	private static final long GONE_MILLIS = 2_500;

	/** A reader of the store that is silent for this long is not relied on. */
	private static final long READER_MILLIS = 1_200;

	/** Readers of the store that a host must hear to do without watches of its own. */
	private static final int MIN_HEARD_READERS = 2;

	/** Silence of all other domains that counts as a cut, in milliseconds. */
	private static final long ALONE_MILLIS = 1_000;

	/**
	 * Least time between two acknowledgements on one link, in milliseconds; a few
	 * statuses.
	 */
	private static final long ACK_MILLIS = 600;

	/** How often a relay passes on what it heard, in milliseconds; two statuses. */
	private static final long DIGEST_MILLIS = 600;

	private static final String DEPLOYMENT = "platform";

	private static final String ROLE = "entry";

	private final PeerMessage.Hello hello;

	private final double processors;

	private final Clock clock;

	private final ExecutorService threads;

	private final EventLog log;

	private final Map<String, Peer> peers = new ConcurrentHashMap<>();

	private final Map<Class<?>, Function<PeerMessage, PeerMessage>> handlers = new ConcurrentHashMap<>();

	private volatile BiConsumer<String, PeerMessage.HostStatus> onStatus = (host, status) -> {
	};

	private volatile Consumer<PeerMessage.ObjectChanges> onChanges = (changes) -> {
	};

	private volatile StatusRoutes routes;

	private long nextDigestAt;

	private @Nullable PeerListener listener;

	private HostMesh(PeerMessage.Hello hello, double processors, Clock clock, ExecutorService threads, EventLog log) {
		this.hello = hello;
		this.processors = processors;
		this.clock = Objects.requireNonNull(clock, "clock");
		this.threads = Objects.requireNonNull(threads, "threads");
		this.log = Objects.requireNonNull(log, "log");
		this.routes = routes();
	}

	/**
	 * Creates a mesh without links.
	 * @param host this host
	 * @param domain its failure domain
	 * @param processors its processor, in cores
	 * @param incarnation unique for each start of the process
	 * @param clock the monotonic clock of the process
	 * @param threads runs the links
	 * @param log the log of the process
	 * @return the mesh
	 */
	public static HostMesh of(String host, String domain, double processors, String incarnation, Clock clock,
			ExecutorService threads, EventLog log) {
		PeerMessage.Hello hello = PeerMessage.Hello.of(DEPLOYMENT, HostId.of(host), FailureDomain.of(domain), ROLE,
				incarnation);
		return new HostMesh(hello, processors, clock, threads, log);
	}

	/**
	 * Sets what happens with the status of another host.
	 * @param listener told of the host and its status; must not block
	 */
	public void onStatus(BiConsumer<String, PeerMessage.HostStatus> listener) {
		this.onStatus = Objects.requireNonNull(listener, "listener");
	}

	/**
	 * Sets what happens with changes that another host passes on.
	 * @param listener told of them; must not block
	 */
	public void onChanges(Consumer<PeerMessage.ObjectChanges> listener) {
		this.onChanges = Objects.requireNonNull(listener, "listener");
	}

	/**
	 * Sets what answers a type of message.
	 * @param <T> the type
	 * @param type the type
	 * @param handler answers a message; must not block
	 */
	public <T extends PeerMessage> void register(Class<T> type, Function<T, PeerMessage> handler) {
		this.handlers.put(type, (message) -> handler.apply(type.cast(message)));
	}

	/**
	 * Starts to accept links.
	 * @param address {@code ip:port}
	 * @throws IOException where the address cannot be bound
	 */
	public void open(String address) throws IOException {
		int colon = address.lastIndexOf(':');
		this.listener = PeerListener.open(address.substring(0, colon), Integer.parseInt(address.substring(colon + 1)),
				this.hello, this::handle, (failure) -> {
				}, this.threads);
	}

	/**
	 * Takes the address of a host.
	 * @param host the host
	 * @param address {@code ip:port}
	 * @param domain its failure domain
	 * @param processors its processor, in cores
	 */
	public void put(String host, String address, String domain, double processors) {
		if (host.equals(this.hello.host().value())) {
			return;
		}
		this.peers.compute(host, (unused, known) -> {
			if (known != null && known.link.address().equals(address)) {
				return known;
			}
			Peer peer = new Peer(host, domain, processors,
					new OutgoingLink(host, address, this::connect, this.clock, this.threads, this.log));
			peer.heardAt = this.clock.millis();
			return peer;
		});
	}

	/**
	 * Forgets a host.
	 * @param host the host
	 */
	public void remove(String host) {
		Peer peer = this.peers.remove(host);
		if (peer != null) {
			peer.link.close();
		}
	}

	/**
	 * Sends the status of this host, and connects to hosts that are to get it and have no
	 * link. Called by one thread.
	 * @param status makes the status
	 */
	public void beat(Supplier<PeerMessage.HostStatus> status) {
		PeerMessage.HostStatus whole = status.get();
		PeerMessage.HostStatus brief = whole.withoutUsage();
		StatusRoutes present = routes();
		this.routes = present;
		for (Peer peer : this.peers.values()) {
			if (present.sendsTo(peer.host)) {
				peer.link.closeIfSilent();
				if (peer.link.isOpen()) {
					peer.link.send(present.needsUsage(peer.host) ? whole : brief);
				}
				else {
					peer.link.connect();
				}
			}
			boolean alive = isAlive(peer);
			if (alive != peer.reportedAlive) {
				peer.reportedAlive = alive;
				this.log.info(alive ? "peer-regained" : "peer-lost", "peer", peer.host, "address", peer.link.address(),
						"silent_ms", this.clock.millis() - peer.heardAt);
			}
		}
		if (present.isRelay() && this.clock.millis() >= this.nextDigestAt) {
			this.nextDigestAt = this.clock.millis() + DIGEST_MILLIS;
			PeerMessage.StatusDigest digest = digest();
			this.peers.values().stream().filter((peer) -> peer.link.isOpen()).forEach((peer) -> peer.link.send(digest));
		}
	}

	/**
	 * Tells whether this host may take the duties over.
	 * @return whether all others send it their usage
	 */
	public boolean mayHoldDuties() {
		return this.routes.mayHoldDuties();
	}

	/**
	 * Returns the hosts that serve.
	 * @return this host and the others that were heard lately and do not leave; not those
	 * that the store names and that never were heard
	 */
	public Set<String> liveHosts() {
		Set<String> live = new TreeSet<>();
		live.add(this.hello.host().value());
		this.peers.values()
			.stream()
			.filter((peer) -> peer.heard && isAlive(peer) && !peer.leaving)
			.forEach((peer) -> live.add(peer.host));
		return live;
	}

	/**
	 * Returns the hosts that serve and have enough processor for work of others.
	 * @return some of the live hosts, at least one
	 */
	public Set<String> strongHosts() {
		return new TreeSet<>(StrongHosts.of(processors(liveHosts())));
	}

	/**
	 * Tells whether a host serves as far as this one knows.
	 * @param host the host
	 * @return whether it is this host, or one that was heard lately
	 */
	public boolean isLive(String host) {
		if (host.equals(this.hello.host().value())) {
			return true;
		}
		Peer peer = this.peers.get(host);
		return peer != null && isAlive(peer) && !peer.leaving;
	}

	/**
	 * Tells whether no host of another failure domain is heard, though some were before.
	 * @return whether this domain seems cut off from all others
	 */
	public boolean isDomainAlone() {
		long now = this.clock.millis();
		boolean known = false;
		for (Peer peer : this.peers.values()) {
			if (peer.heard && !peer.domain.equals(this.hello.domain().value())) {
				known = true;
				if (now - peer.heardAt < ALONE_MILLIS) {
					return false;
				}
			}
		}
		return known;
	}

	/**
	 * Tells whether this host watches the platform's store by itself. A host that hears
	 * too few of those that do watches too.
	 * @return whether it does
	 */
	public boolean isStoreReader() {
		Map<String, String> domains = new HashMap<>();
		for (String host : liveHosts()) {
			domains.put(host, domainOf(host));
		}
		Set<String> readers = StoreReaders.of(StrongHosts.inEachDomain(processors(domains.keySet()), domains));
		long now = this.clock.millis();
		long heard = this.peers.values()
			.stream()
			.filter((peer) -> readers.contains(peer.host) && now - peer.directAt < READER_MILLIS)
			.count();
		return readers.contains(this.hello.host().value()) || heard < MIN_HEARD_READERS;
	}

	/**
	 * Sends a message to all hosts that were heard lately.
	 * @param message the message
	 */
	public void publish(PeerMessage message) {
		this.peers.values()
			.stream()
			.filter((peer) -> this.clock.millis() - peer.heardAt < READER_MILLIS)
			.forEach((peer) -> peer.link.send(message));
	}

	/**
	 * Returns the failure domain of a host.
	 * @param host the host
	 * @return the domain; empty where the host is not known
	 */
	public String domainOf(String host) {
		if (host.equals(this.hello.host().value())) {
			return this.hello.domain().value();
		}
		Peer peer = this.peers.get(host);
		return (peer != null) ? peer.domain : "";
	}

	/**
	 * Returns the host that is in charge of the duties as it says.
	 * @return the host, or null where none was heard lately
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
	 * Returns the other hosts that reach the platform's store.
	 * @return the hosts that said so lately
	 */
	public Set<String> hostsWithStore() {
		Set<String> hosts = new TreeSet<>();
		this.peers.values()
			.stream()
			.filter((peer) -> isAlive(peer) && peer.reachesStore)
			.forEach((peer) -> hosts.add(peer.host));
		return hosts;
	}

	// The open links of this host.
	long links() {
		return this.peers.values().stream().filter((peer) -> peer.link.isOpen()).count();
	}

	/**
	 * Asks a host.
	 * @param host the host
	 * @param message the question
	 * @param timeoutMillis the longest wait, in milliseconds
	 * @return its answer
	 */
	public Either<PeerFailure, PeerMessage> call(String host, PeerMessage message, long timeoutMillis) {
		Peer peer = this.peers.get(host);
		if (peer == null) {
			return Either.left(new PeerFailure.Unreachable("no host " + host));
		}
		boolean lasting = this.routes.sendsTo(host);
		if (!lasting) {
			peer.link.open();
		}
		Either<PeerFailure, PeerMessage> answer = peer.link.call(message, timeoutMillis);
		if (!lasting && answer.isLeft() && answer.getLeft() instanceof PeerFailure.NoAnswer) {
			// No statuses show whether this link went silent.
			peer.link.close();
		}
		return answer;
	}

	@Override
	public void close() {
		if (this.listener != null) {
			this.listener.close();
		}
		this.peers.values().forEach((peer) -> peer.link.close());
	}

	private boolean isAlive(Peer peer) {
		return this.clock.millis() - peer.heardAt < GONE_MILLIS;
	}

	private Either<PeerFailure, PeerLink> connect(String address) {
		return PeerLink.connect(address, this.hello, this::handle, (failure) -> {
		}, this.threads);
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
		List<PeerMessage.HeardStatus> heard = new ArrayList<>();
		for (Peer peer : this.peers.values()) {
			PeerMessage.HostStatus status = peer.directStatus;
			if (status != null && now - peer.directAt < GONE_MILLIS) {
				heard.add(new PeerMessage.HeardStatus(peer.host, now - peer.directAt, status));
			}
		}
		return new PeerMessage.StatusDigest(heard);
	}

	private @Nullable PeerMessage handle(PeerLink link, PeerMessage message) {
		if (message instanceof PeerMessage.Ack) {
			Peer peer = this.peers.get(link.remote().host().value());
			if (peer != null) {
				peer.link.acknowledged();
			}
			return null;
		}
		if (message instanceof PeerMessage.HostStatus status) {
			String host = link.remote().host().value();
			Peer peer = this.peers.get(host);
			if (peer != null) {
				acknowledge(peer, link);
				peer.directAt = this.clock.millis();
				peer.directStatus = status.withoutUsage();
				peer.heard(status, peer.directAt);
			}
			this.onStatus.accept(host, status);
			return null;
		}
		if (message instanceof PeerMessage.StatusDigest digest) {
			digest.hosts().forEach(this::heardThroughRelay);
			return null;
		}
		if (message instanceof PeerMessage.ObjectChanges changes) {
			this.onChanges.accept(changes);
			return null;
		}
		Function<PeerMessage, PeerMessage> handler = this.handlers.get(message.getClass());
		return (handler != null) ? handler.apply(message)
				: new PeerMessage.Rejected("no-handler", "this host does not answer " + message.getClass());
	}

	private void heardThroughRelay(PeerMessage.HeardStatus heard) {
		Peer peer = this.peers.get(heard.host());
		long at = this.clock.millis() - heard.ageMillis();
		if (peer != null && at > peer.heardAt) {
			peer.heard(heard.status(), at);
			this.onStatus.accept(heard.host(), heard.status());
		}
	}

	private void acknowledge(Peer peer, PeerLink link) {
		long now = this.clock.millis();
		if (now - peer.ackSentAt >= ACK_MILLIS) {
			peer.ackSentAt = now;
			link.send(new PeerMessage.Ack(true));
		}
	}

	private static final class Peer {

		private final String host;

		private final String domain;

		private final double processors;

		private final OutgoingLink link;

		private volatile long heardAt;

		private volatile long directAt = Long.MIN_VALUE / 2;

		private volatile PeerMessage.@Nullable HostStatus directStatus;

		private volatile long ackSentAt = Long.MIN_VALUE / 2;

		private volatile boolean heard;

		private volatile boolean leaving;

		private volatile boolean holdsDuties;

		private volatile boolean reachesStore;

		private boolean reportedAlive = true;

		private Peer(String host, String domain, double processors, OutgoingLink link) {
			this.host = host;
			this.domain = domain;
			this.processors = processors;
			this.link = link;
		}

		private void heard(PeerMessage.HostStatus status, long at) {
			this.heardAt = at;
			this.heard = true;
			this.leaving = status.leaving();
			this.holdsDuties = status.holdsDuties();
			this.reachesStore = status.reachesStore();
		}

	}

}
