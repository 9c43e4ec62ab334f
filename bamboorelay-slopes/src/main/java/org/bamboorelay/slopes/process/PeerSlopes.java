package org.bamboorelay.slopes.process;

import java.io.ByteArrayInputStream;
import java.io.DataInputStream;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Random;
import java.util.Set;

import org.bamboorelay.core.connection.PeerMessage;
import org.bamboorelay.core.connection.WithdrawalSync;
import org.bamboorelay.core.process.ConfigurationReaders;
import org.bamboorelay.core.process.Membership;
import org.bamboorelay.core.process.OwnerSelection;
import org.bamboorelay.core.process.RendezvousHash;
import org.bamboorelay.core.version.EndpointId;
import org.bamboorelay.core.version.FailureDomain;
import org.bamboorelay.core.version.HostId;
import org.bamboorelay.core.version.KeyHash;
import org.bamboorelay.core.version.Rules;
import org.bamboorelay.core.version.ViewFreshness;
import org.bamboorelay.core.version.WithdrawnKeys;
import org.bamboorelay.runtime.connection.PeerCodec;

/**
 * Costs by the number of peers, and costs of single peer messages.
 * <p>
 * Stateless.
 */
final class PeerSlopes {

	private static final int[] PEER_COUNTS = { 6, 24, 45, 96, 192, 360 };

	private static final int[] DIGEST_COUNTS = { 0, 2, 8, 32 };

	/** Ticks of the peer mesh per second. */
	private static final int MESH_TICKS_PER_SECOND = 10;

	/** Ticks of the credit service per second; each queries the live hosts. */
	private static final int CREDIT_TICKS_PER_SECOND = 20;

	/**
	 * Any two hosts open a connection to each other, and both send heartbeats on each
	 * connection.
	 */
	private static final int HEARTBEATS_PER_PEER = 2;

	private static final int DIGESTS_PER_HEARTBEAT = 2;

	private PeerSlopes() {
	}

	static List<Slope> measure() {
		List<Slope> slopes = new ArrayList<>();
		byte[] heartbeat = PeerCodec.encode(0, SampleData.heartbeat(DIGESTS_PER_HEARTBEAT));
		slopes.add(Slope.measure("heartbeat.sent", "B/s", "peers", PEER_COUNTS, (peers) -> {
			long bytes = 0;
			for (int i = 0; i < HEARTBEATS_PER_PEER * (peers - 1); i++) {
				bytes += PeerCodec.encode(0, SampleData.heartbeat(DIGESTS_PER_HEARTBEAT)).length;
			}
			return bytes;
		}));
		slopes.add(Slope.measure("heartbeat.codec", "us/s", "peers", PEER_COUNTS, (peers) -> CostMeter.cpuMicros(() -> {
			PeerMessage message = SampleData.heartbeat(DIGESTS_PER_HEARTBEAT);
			for (int i = 0; i < HEARTBEATS_PER_PEER * (peers - 1); i++) {
				PeerCodec.encode(0, message);
				decode(heartbeat);
			}
		})));
		slopes.add(Slope.measure("heartbeat.bytes", "B", "digests", DIGEST_COUNTS,
				(services) -> PeerCodec.encode(0, SampleData.heartbeat(services)).length));
		slopes.add(Slope.measure("heartbeat.encode", "us", "digests", DIGEST_COUNTS, (services) -> {
			PeerMessage message = SampleData.heartbeat(services);
			return CostMeter.cpuMicros(() -> PeerCodec.encode(0, message));
		}));
		slopes.add(Slope.measure("heartbeat.decode", "us", "digests", DIGEST_COUNTS, (services) -> {
			byte[] frame = PeerCodec.encode(0, SampleData.heartbeat(services));
			return CostMeter.cpuMicros(() -> decode(frame));
		}));
		int[] hashes = { 100, 1_000, 4_000, 16_000 };
		slopes.add(Slope.measure("withdraw.bytes", "B", "withdrawn", hashes,
				(count) -> PeerCodec.encode(1, withdrawal(count)).length));
		slopes.add(Slope.measure("withdraw.codec", "us", "withdrawn", hashes, (count) -> {
			PeerMessage withdrawal = withdrawal(count);
			byte[] frame = PeerCodec.encode(1, withdrawal);
			return CostMeter.cpuMicros(() -> {
				PeerCodec.encode(1, withdrawal);
				decode(frame);
			});
		}));
		slopes.add(Slope.measure("withdraw.compare-bytes", "B", "withdrawn", hashes, (count) -> {
			PeerMessage digest = withdrawnDigest(count);
			return PeerCodec.encode(1, digest).length + PeerCodec.encode(-1, digest).length;
		}));
		slopes.add(Slope.measure("withdraw.compare", "us", "withdrawn", hashes, PeerSlopes::compare));
		slopes.addAll(creditMessages());
		slopes.addAll(decisions());
		return slopes;
	}

	static void decode(byte[] frame) {
		if (PeerCodec.read(new DataInputStream(new ByteArrayInputStream(frame))).isLeft()) {
			throw new IllegalStateException("a frame of " + frame.length + " bytes cannot be decoded");
		}
	}

	private static List<Slope> creditMessages() {
		int[] credits = { 1, 8, 64, 512 };
		List<Slope> slopes = new ArrayList<>();
		PeerMessage ask = new PeerMessage.CreditRequest(SampleData.service(0), true, true, 0x123456789abcdefL, 400,
				null, List.of());
		PeerMessage grant = new PeerMessage.CreditGrant(1L << 60, EndpointId.of("region-0-domain-0-sampler-800"),
				"10.1.2.3:8000", 3_000);
		byte[] asked = PeerCodec.encode(1, ask);
		byte[] granted = PeerCodec.encode(-1, grant);
		slopes.add(Slope.measure("credit.ask-grant-bytes", "B", "credits", credits,
				(count) -> (double) count * (asked.length + granted.length)));
		slopes.add(
				Slope.measure("credit.ask-grant-codec", "us", "credits", credits, (count) -> CostMeter.cpuMicros(() -> {
					for (int i = 0; i < count; i++) {
						PeerCodec.encode(1, ask);
						decode(asked);
						PeerCodec.encode(-1, grant);
						decode(granted);
					}
				})));
		slopes.add(Slope.measure("credit.renew-bytes", "B", "credits", credits,
				(count) -> PeerCodec.encode(1, renewal(count)).length));
		slopes.add(Slope.measure("credit.renew-codec", "us", "credits", credits, (count) -> {
			PeerMessage renewal = renewal(count);
			byte[] frame = PeerCodec.encode(1, renewal);
			return CostMeter.cpuMicros(() -> {
				PeerCodec.encode(1, renewal);
				decode(frame);
			});
		}));
		slopes.add(Slope.measure("credit.return-bytes", "B", "credits", credits,
				(count) -> PeerCodec.encode(1, new PeerMessage.CreditReturn(Collections.nCopies(count,
						new PeerMessage.ReturnedCredit(1L << 60, "ok", 80, 6_000, 390)))).length));
		return slopes;
	}

	private static PeerMessage withdrawal(int count) {
		return new PeerMessage.Withdraw(keys(count).all());
	}

	private static PeerMessage withdrawnDigest(int count) {
		WithdrawnKeys.Delta part = keys(count).digest();
		return new PeerMessage.WithdrawnDelta(part.count(), part.hash(), part.count(), List.of());
	}

	// Compares equal sets of two processes; the processor time of both is included.
	private static double compare(int count) {
		PeerMessage.Hello peer = PeerMessage.Hello.of("huerto", HostId.of("host-1"), SampleData.domain(0), "entry",
				"one");
		WithdrawalSync local = WithdrawalSync.over(keys(count));
		WithdrawalSync remote = WithdrawalSync.over(keys(count));
		return CostMeter.cpuMicros(() -> {
			WithdrawalSync.SyncRequest ask = local.request(peer, List.of());
			decode(PeerCodec.encode(1, ask.message()));
			PeerMessage.WithdrawnDelta response = remote.response(ask.message()).response();
			decode(PeerCodec.encode(-1, response));
			local.onResponse(peer, ask, response);
		});
	}

	private static WithdrawnKeys keys(int count) {
		WithdrawnKeys keys = new WithdrawnKeys();
		for (int i = 0; i < count; i++) {
			keys.add(List.of(KeyHash.ofKey("key-" + i)));
		}
		return keys;
	}

	private static PeerMessage renewal(int count) {
		List<Long> ids = new ArrayList<>();
		for (int i = 0; i < count; i++) {
			ids.add((1L << 60) + i);
		}
		return new PeerMessage.CreditRenew(ids);
	}

	private static List<Slope> decisions() {
		List<Slope> slopes = new ArrayList<>();
		slopes.add(Slope.measure("membership.second", "us/s", "peers", PEER_COUNTS, (peers) -> {
			Membership membership = membership(peers);
			List<HostId> hosts = SampleData.hosts(peers);
			long[] now = { 0 };
			return CostMeter.cpuMicros(() -> {
				for (int i = 1; i < peers; i++) {
					for (int k = 0; k < HEARTBEATS_PER_PEER; k++) {
						membership.onHeartbeat(hosts.get(i), SampleData.domain(0), false, now[0]);
					}
				}
				for (int i = 0; i < MESH_TICKS_PER_SECOND; i++) {
					now[0] += 100;
					membership.tick(now[0]);
				}
			});
		}));
		slopes.add(Slope.measure("membership.live", "us/s", "peers", PEER_COUNTS, (peers) -> {
			Membership membership = membership(peers);
			return CostMeter.cpuMicros(() -> {
				for (int i = 0; i < CREDIT_TICKS_PER_SECOND; i++) {
					Set.copyOf(membership.live());
				}
			});
		}));
		slopes.add(Slope.measure("freshness.check", "us", "peers", PEER_COUNTS, (peers) -> {
			Membership membership = membership(peers);
			ViewFreshness freshness = new ViewFreshness();
			freshness.recordAge(100, 0);
			Rules.IsolationRule rule = new Rules.IsolationRule(Rules.WhenIsolated.REFUSE, 4_000);
			Set<FailureDomain> domains = Set.of(SampleData.domain(0), SampleData.domain(1), SampleData.domain(2));
			return CostMeter.cpuMicros(() -> freshness.acceptsKeys(9_000, rule, membership.hearsAll(domains)));
		}));
		slopes.add(Slope.measure("rendezvous.owner", "us", "peers", PEER_COUNTS, (peers) -> {
			List<HostId> hosts = SampleData.hosts(peers);
			return CostMeter.cpuMicros(() -> RendezvousHash.owner("region-0-domain-0-sampler-800", hosts));
		}));
		slopes.add(Slope.measure("rendezvous.readers", "us", "peers", PEER_COUNTS, (peers) -> {
			List<HostId> hosts = SampleData.hosts(peers);
			return CostMeter.cpuMicros(() -> ConfigurationReaders.readers(SampleData.domain(0), hosts));
		}));
		slopes.add(Slope.measure("owner.choose", "us", "owners", PEER_COUNTS, (peers) -> {
			OwnerSelection selection = OwnerSelection.of(new Random(peers));
			List<OwnerSelection.Owner> owners = new ArrayList<>();
			for (HostId host : SampleData.hosts(peers)) {
				owners.add(new OwnerSelection.Owner(host, false, true, 10));
			}
			return CostMeter.cpuMicros(() -> selection.choose(owners, 0x123456789abcdefL));
		}));
		return slopes;
	}

	static Membership membership(int peers) {
		List<HostId> hosts = SampleData.hosts(peers);
		Membership membership = Membership.of(hosts.get(0), SampleData.domain(0));
		for (int i = 1; i < peers; i++) {
			membership.onHeartbeat(hosts.get(i), SampleData.domain(i % SampleData.DOMAINS), false, 0);
		}
		return membership;
	}

}
