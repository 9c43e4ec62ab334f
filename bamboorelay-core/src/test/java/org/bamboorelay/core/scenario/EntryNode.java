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
 * An entry process: membership, configuration, withdrawn keys, and the check of the key
 * of each request. The exchange with peers is that of the peer mesh.
 */
final class EntryNode {

	private static final long TICK_MILLIS = 100;

	private static final long HEARTBEAT_MILLIS = 1_000;

	private static final long EXCHANGE_MILLIS = 2_000;

	private static final long STREAM_CHECK_MILLIS = 250;

	final LiveConfiguration configuration;

	final Membership membership;

	private final World world;

	private final SimProcess process;

	private final Map<SimProcess, Boolean> asked = new HashMap<>();

	private final Map<Integer, WorkspaceId> cached = new HashMap<>();

	private final List<KeyHash> streams = new ArrayList<>();

	private Configuration naive;

	/** Links are closed after a freeze, and what waited in them is lost. */
	private int links;

	EntryNode(World world, SimProcess process) {
		this.world = world;
		this.process = process;
		this.membership = Membership.of(process.host, process.domain);
		this.configuration = LiveConfiguration.of(world.loop.clock, this.membership::hears);
		this.configuration.onChange((changed) -> world.emit(new Fact.InForce(process, changed.version())));
		world.loop.every(TICK_MILLIS, process, this::tick);
		world.loop.every(HEARTBEAT_MILLIS, process, this::heartbeats);
		world.loop.every(EXCHANGE_MILLIS, process, this::exchangeWithOne);
		world.loop.every(STREAM_CHECK_MILLIS, process, this::stopWithdrawn);
		world.loop.after(1, process, () -> peers().forEach((peer) -> {
			fetch(peer);
			exchange(peer);
		}));
	}

	SimProcess process() {
		return this.process;
	}

	List<KeyHash> withdrawn() {
		return this.configuration.withdrawn().all();
	}

	long inForce() {
		return (this.naive != null) ? this.naive.version()
				: this.configuration.current().map(Configuration::version).getOrElse(0L);
	}

	void onOffer(Configuration offered, long age) {
		if (this.world.variant == Variant.TAKE_ANY_VERSION) {
			this.naive = offered;
			this.world.emit(new Fact.InForce(this.process, offered.version()));
		}
		if (offered.version() > this.configuration.heldVersion()) {
			this.configuration.accept(offered, age);
		}
		this.configuration.noteView(offered.version(), age);
		this.configuration.noteAnswer();
	}

	/** An operator withdraws keys at this host. */
	void onWithdraw(List<KeyHash> keys) {
		if (!this.configuration.withdrawn().add(keys).isEmpty()) {
			peers().forEach(this::exchange);
		}
	}

	/** A caller sends a request; the workspace it runs for, or the refusal. */
	Either<Refusal, WorkspaceId> request(int connection, KeyHash key, boolean streaming) {
		Either<Refusal, WorkspaceId> workspace = this.configuration.authenticate(key);
		if (this.world.variant == Variant.SERVE_ISOLATED && workspace.isLeft() && this.configuration.isReady()
				&& !this.configuration.withdrawn().contains(key)) {
			WorkspaceId known = this.world.keys.workspace(key);
			workspace = (known != null) ? Either.right(known) : workspace;
		}
		if (workspace.isRight()) {
			WorkspaceId as = workspace.get();
			if (this.world.variant == Variant.CACHED_WORKSPACE) {
				as = this.cached.computeIfAbsent(connection, (unused) -> workspaceOf(key));
			}
			this.world.emit(new Fact.Ran(this.process, key, as));
			this.world.usage.served(this.process, as);
			if (streaming && this.streams.size() < 3) {
				this.streams.add(key);
				stream(key, 60);
			}
		}
		return workspace;
	}

	private WorkspaceId workspaceOf(KeyHash key) {
		return this.world.keys.workspace(key);
	}

	private void stream(KeyHash key, int left) {
		this.world.loop.after(300, this.process, () -> {
			if (left > 0 && this.streams.contains(key)) {
				this.world.emit(new Fact.Streamed(this.process, key));
				stream(key, left - 1);
			}
			else {
				this.streams.remove(key);
			}
		});
	}

	private void stopWithdrawn() {
		this.streams.removeIf((key) -> !this.configuration.isAllowed(key, workspaceOf(key)));
	}

	private void tick() {
		long now = this.world.loop.now();
		if (this.configuration.wasFrozen()) {
			this.links++;
		}
		this.membership.tick(now);
		this.configuration.tick();
		if (peers().stream().allMatch(this.asked::containsKey)) {
			this.configuration.notePeersAsked();
		}
	}

	private List<SimProcess> peers() {
		return this.world.processes.stream().filter((peer) -> peer != this.process).toList();
	}

	/** Returns which links are open, those of control processes included. */
	int links() {
		return this.links;
	}

	/** Sends a message over the link to a peer. */
	void send(SimProcess peer, Runnable action) {
		EntryNode node = this.world.entries.get(peer);
		int theirs = node.links;
		int own = this.links;
		this.world.network.send(this.process, peer, () -> {
			if (node.links == theirs && own == this.links) {
				action.run();
			}
		});
	}

	private void heartbeats() {
		long version = this.configuration.heldVersion();
		long age = this.configuration.viewAgeMillis();
		int count = this.configuration.withdrawn().size();
		Integer free = this.world.credits.get(this.process).digest();
		peers().forEach((peer) -> send(peer, () -> {
			this.world.entries.get(peer).onHeartbeat(this.process, version, age, count);
			this.world.credits.get(peer).onDigest(this.process, free);
		}));
	}

	private void onHeartbeat(SimProcess from, long version, long age, int count) {
		long now = this.world.loop.now();
		if (this.configuration.wasFrozen()) {
			return;
		}
		this.membership.heartbeat(from.host, from.domain, false, now);
		if (!this.configuration.noteView(version, age)) {
			fetch(from);
		}
		if (from.domain.equals(this.process.domain)) {
			this.configuration.peerHolds(version);
		}
		if (count != this.configuration.withdrawn().size()) {
			exchange(from);
		}
	}

	private void fetch(SimProcess peer) {
		send(peer, () -> {
			EntryNode node = this.world.entries.get(peer);
			node.configuration.held().peek((held) -> {
				long age = node.configuration.viewAgeMillis();
				node.send(this.process, () -> {
					this.configuration.accept(held, age);
					if (peer.domain.equals(this.process.domain)) {
						this.configuration.peerHolds(held.version());
					}
					this.configuration.noteAnswer();
				});
			});
		});
	}

	private void exchange(SimProcess peer) {
		List<KeyHash> own = withdrawn();
		send(peer, () -> {
			EntryNode node = this.world.entries.get(peer);
			node.onWithdraw(own);
			List<KeyHash> theirs = node.withdrawn();
			node.send(this.process, () -> {
				this.configuration.withdrawn().add(theirs);
				this.asked.put(peer, true);
			});
		});
		this.world.loop.after(Network.TIMEOUT_MILLIS, this.process, () -> this.asked.put(peer, true));
	}

	private void exchangeWithOne() {
		List<SimProcess> peers = peers();
		if (!peers.isEmpty()) {
			exchange(peers.get(this.world.random.nextInt(peers.size())));
		}
	}

}
