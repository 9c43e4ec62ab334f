package org.bamboorelay.core.scenario;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

import io.vavr.control.Either;
import org.bamboorelay.core.failure.Refusal;
import org.bamboorelay.core.process.Membership;
import org.bamboorelay.core.version.Configuration;
import org.bamboorelay.core.version.KeyHash;
import org.bamboorelay.core.version.LiveConfiguration;
import org.bamboorelay.core.version.WorkspaceId;

/**
 * An entry process: membership, configuration, withdrawn keys and authentication of
 * requests. It exchanges the same messages with peers as the real peer mesh.
 */
final class EntryNode {

	private static final long TICK_INTERVAL_MILLIS = 100;

	private static final long HEARTBEAT_INTERVAL_MILLIS = 1_000;

	private static final long EXCHANGE_INTERVAL_MILLIS = 2_000;

	private static final long STREAM_CHECK_INTERVAL_MILLIS = 250;

	final LiveConfiguration configuration;

	final Membership membership;

	private final Simulation simulation;

	private final SimulatedProcess process;

	private final Map<SimulatedProcess, Boolean> contactedPeers = new HashMap<>();

	private final Map<Integer, WorkspaceId> workspaceByConnection = new HashMap<>();

	private final List<KeyHash> streamKeys = new ArrayList<>();

	/**
	 * The latest configuration offered; only set by {@link Mutation#ACCEPT_ANY_VERSION}.
	 */
	private Configuration latestOffer;

	/**
	 * Generation of the links to peers. All links are closed after a freeze, which loses
	 * the messages queued in them.
	 */
	private int linkGeneration;

	EntryNode(Simulation simulation, SimulatedProcess process) {
		this.simulation = simulation;
		this.process = process;
		this.membership = Membership.of(process.host, process.domain);
		this.configuration = LiveConfiguration.of(simulation.loop.clock, this.membership::hearsAll);
		this.configuration.onChange(
				(changed) -> simulation.observe(new Observation.ConfigurationInForce(process, changed.version())));
		simulation.loop.every(TICK_INTERVAL_MILLIS, process, this::tick);
		simulation.loop.every(HEARTBEAT_INTERVAL_MILLIS, process, this::sendHeartbeats);
		simulation.loop.every(EXCHANGE_INTERVAL_MILLIS, process, this::exchangeWithRandomPeer);
		simulation.loop.every(STREAM_CHECK_INTERVAL_MILLIS, process, this::stopWithdrawnStreams);
		simulation.loop.after(1, process, () -> peers().forEach((peer) -> {
			fetch(peer);
			exchangeWithdrawnKeys(peer);
		}));
	}

	SimulatedProcess process() {
		return this.process;
	}

	List<KeyHash> withdrawn() {
		return this.configuration.withdrawn().all();
	}

	long versionInForce() {
		return (this.latestOffer != null) ? this.latestOffer.version()
				: this.configuration.current().map(Configuration::version).getOrElse(0L);
	}

	void onOffer(Configuration offered, long ageMillis) {
		if (this.simulation.mutation == Mutation.ACCEPT_ANY_VERSION) {
			this.latestOffer = offered;
			this.simulation.observe(new Observation.ConfigurationInForce(this.process, offered.version()));
		}
		if (offered.version() > this.configuration.heldVersion()) {
			this.configuration.accept(offered, ageMillis);
		}
		this.configuration.recordViewAge(offered.version(), ageMillis);
		this.configuration.recordContact();
	}

	/** Withdraws keys on this host, on an operator's request or a peer's. */
	void onWithdraw(List<KeyHash> keys) {
		if (!this.configuration.withdrawn().add(keys).isEmpty()) {
			peers().forEach(this::exchangeWithdrawnKeys);
		}
	}

	/** Handles a caller's request; returns its workspace, or the refusal. */
	Either<Refusal, WorkspaceId> request(int connection, KeyHash key, boolean streaming) {
		Either<Refusal, WorkspaceId> workspace = this.configuration.authenticate(key);
		if (this.simulation.mutation == Mutation.SERVE_ISOLATED && workspace.isLeft() && this.configuration.isReady()
				&& !this.configuration.withdrawn().contains(key)) {
			WorkspaceId known = this.simulation.keys.workspace(key);
			workspace = (known != null) ? Either.right(known) : workspace;
		}
		if (workspace.isRight()) {
			WorkspaceId effectiveWorkspace = workspace.get();
			if (this.simulation.mutation == Mutation.CACHED_WORKSPACE) {
				effectiveWorkspace = this.workspaceByConnection.computeIfAbsent(connection,
						(unused) -> workspaceOf(key));
			}
			this.simulation.observe(new Observation.RequestStarted(this.process, key, effectiveWorkspace));
			this.simulation.usage.recordRequest(this.process, effectiveWorkspace);
			if (streaming && this.streamKeys.size() < 3) {
				this.streamKeys.add(key);
				stream(key, 60);
			}
		}
		return workspace;
	}

	private WorkspaceId workspaceOf(KeyHash key) {
		return this.simulation.keys.workspace(key);
	}

	private void stream(KeyHash key, int remaining) {
		this.simulation.loop.after(300, this.process, () -> {
			if (remaining > 0 && this.streamKeys.contains(key)) {
				this.simulation.observe(new Observation.TokensStreamed(this.process, key));
				stream(key, remaining - 1);
			}
			else {
				this.streamKeys.remove(key);
			}
		});
	}

	private void stopWithdrawnStreams() {
		this.streamKeys.removeIf((key) -> !this.configuration.isGranted(key, workspaceOf(key)));
	}

	private void tick() {
		long now = this.simulation.loop.now();
		if (this.configuration.wasSuspended()) {
			this.linkGeneration++;
		}
		this.membership.tick(now);
		this.configuration.tick();
		if (peers().stream().allMatch(this.contactedPeers::containsKey)) {
			this.configuration.recordPeersQueried();
		}
	}

	private List<SimulatedProcess> peers() {
		return this.simulation.processes.stream().filter((peer) -> peer != this.process).toList();
	}

	/**
	 * Returns the generation of the open links, which include those of control processes.
	 */
	int linkGeneration() {
		return this.linkGeneration;
	}

	/** Sends a message over the link to a peer; it is lost if either side closes it. */
	void send(SimulatedProcess peer, Runnable action) {
		EntryNode node = this.simulation.entries.get(peer);
		int theirs = node.linkGeneration;
		int own = this.linkGeneration;
		this.simulation.network.send(this.process, peer, () -> {
			if (node.linkGeneration == theirs && own == this.linkGeneration) {
				action.run();
			}
		});
	}

	private void sendHeartbeats() {
		long version = this.configuration.heldVersion();
		long ageMillis = this.configuration.viewAgeMillis();
		int withdrawnCount = this.configuration.withdrawn().size();
		Integer free = this.simulation.credits.get(this.process).freeCredits();
		peers().forEach((peer) -> send(peer, () -> {
			this.simulation.entries.get(peer).onHeartbeat(this.process, version, ageMillis, withdrawnCount);
			this.simulation.credits.get(peer).onFreeCredits(this.process, free);
		}));
	}

	private void onHeartbeat(SimulatedProcess from, long version, long ageMillis, int withdrawnCount) {
		long now = this.simulation.loop.now();
		if (this.configuration.wasSuspended()) {
			return;
		}
		this.membership.onHeartbeat(from.host, from.domain, false, now);
		if (!this.configuration.recordViewAge(version, ageMillis)) {
			fetch(from);
		}
		if (from.domain.equals(this.process.domain)) {
			this.configuration.recordPeerVersion(version);
		}
		if (withdrawnCount != this.configuration.withdrawn().size()) {
			exchangeWithdrawnKeys(from);
		}
	}

	private void fetch(SimulatedProcess peer) {
		send(peer, () -> {
			EntryNode node = this.simulation.entries.get(peer);
			node.configuration.held().peek((held) -> {
				long ageMillis = node.configuration.viewAgeMillis();
				node.send(this.process, () -> {
					this.configuration.accept(held, ageMillis);
					if (peer.domain.equals(this.process.domain)) {
						this.configuration.recordPeerVersion(held.version());
					}
					this.configuration.recordContact();
				});
			});
		});
	}

	private void exchangeWithdrawnKeys(SimulatedProcess peer) {
		List<KeyHash> own = withdrawn();
		send(peer, () -> {
			EntryNode node = this.simulation.entries.get(peer);
			node.onWithdraw(own);
			List<KeyHash> theirs = node.withdrawn();
			node.send(this.process, () -> {
				this.configuration.withdrawn().add(theirs);
				this.contactedPeers.put(peer, true);
			});
		});
		this.simulation.loop.after(Network.TIMEOUT_MILLIS, this.process, () -> this.contactedPeers.put(peer, true));
	}

	private void exchangeWithRandomPeer() {
		List<SimulatedProcess> peers = peers();
		if (!peers.isEmpty()) {
			exchangeWithdrawnKeys(peers.get(this.simulation.random.nextInt(peers.size())));
		}
	}

}
