package org.bamboorelay.entry.request;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import java.util.Set;

import io.vavr.control.Either;
import org.bamboorelay.core.connection.PeerMessage;
import org.bamboorelay.core.request.BatchRecord;
import org.bamboorelay.core.version.FailureDomain;
import org.bamboorelay.core.version.HostId;
import org.bamboorelay.entry.connection.PeerMesh;
import org.bamboorelay.runtime.connection.PeerFailure;

/**
 * Replicates samples to two hosts, and retrieves them.
 * <p>
 * Thread-safe.
 */
final class SampleReplicator {

	/** Timeout of a call to another host, in milliseconds. */
	private static final long CALL_TIMEOUT_MILLIS = 2_000;

	/**
	 * Hosts that are tried for the second copy before replication has to be retried
	 * later.
	 */
	private static final int MAX_REPLICA_CANDIDATES = 3;

	private final PeerMesh mesh;

	private final SampleStore samples;

	SampleReplicator(PeerMesh mesh, SampleStore samples) {
		this.mesh = mesh;
		this.samples = samples;
		mesh.register(PeerMessage.SamplePut.class, (put) -> samples.put(put.sample(), put.body())
				? new PeerMessage.Ack(true) : new PeerMessage.Rejected("samples-full", "the sample store is full"));
		mesh.register(PeerMessage.SampleGet.class,
				(get) -> new PeerMessage.SampleBody(samples.get(get.sample()).orElse(new byte[0])));
		mesh.register(PeerMessage.SampleDelete.class, (drop) -> {
			samples.delete(drop.samples());
			return new PeerMessage.Ack(true);
		});
	}

	/**
	 * Stores a sample on this host and on one other host, preferably in another failure
	 * domain.
	 * @param id the sample's id
	 * @param body the sample's JSON
	 * @return both holders; empty if this host or every tried host did not accept the
	 * sample
	 */
	Optional<List<HostId>> replicate(String id, byte[] body) {
		if (!this.samples.put(id, body)) {
			return Optional.empty();
		}
		HostId self = this.mesh.self();
		FailureDomain ownDomain = this.mesh.domain(self);
		List<HostId> others = new ArrayList<>(this.mesh.live());
		others.remove(self);
		others.sort(Comparator.comparing((HostId host) -> this.mesh.domain(host).equals(ownDomain))
			.thenComparing((host) -> (host.value() + id).hashCode()));
		for (HostId host : others.subList(0, Math.min(MAX_REPLICA_CANDIDATES, others.size()))) {
			Either<PeerFailure, PeerMessage> response = this.mesh.call(host, new PeerMessage.SamplePut(id, body),
					CALL_TIMEOUT_MILLIS);
			if (response.isRight() && response.get() instanceof PeerMessage.Ack) {
				return Optional.of(List.of(self, host));
			}
		}
		return Optional.empty();
	}

	/**
	 * Replicates a sample again if one of its holders failed before the batch record was
	 * written.
	 * @param sample the sample
	 * @return the sample with two live holders; empty if that was not possible
	 */
	Optional<BatchRecord.Entry> ensureLiveHolders(BatchRecord.Entry sample) {
		if (this.mesh.live().containsAll(sample.holders())) {
			return Optional.of(sample);
		}
		return this.samples.get(sample.id())
			.flatMap((body) -> replicate(sample.id(), body))
			.map((holders) -> new BatchRecord.Entry(sample.id(), sample.slot(), sample.oldest(), sample.tokens(),
					sample.bytes(), holders));
	}

	/**
	 * Finds a sample. Holders outside the live membership are tried last: a host that is
	 * shutting down still has its samples, but a failed host costs a timeout.
	 * @param sample the sample
	 * @return the sample's JSON, or whether a live holder may still have it
	 */
	LookupResult find(BatchRecord.Entry sample) {
		Optional<byte[]> local = this.samples.get(sample.id());
		if (local.isPresent()) {
			return new LookupResult(local, false);
		}
		boolean liveHolderFailed = false;
		Set<HostId> live = this.mesh.live();
		List<HostId> holders = new ArrayList<>(sample.holders());
		holders.sort(Comparator.comparing((host) -> !live.contains(host)));
		for (HostId host : holders) {
			if (host.equals(this.mesh.self())) {
				continue;
			}
			Either<PeerFailure, PeerMessage> response = this.mesh.call(host, new PeerMessage.SampleGet(sample.id()),
					CALL_TIMEOUT_MILLIS);
			if (response.isRight() && response.get() instanceof PeerMessage.SampleBody body) {
				if (body.body().length > 0) {
					return new LookupResult(Optional.of(body.body()), false);
				}
			}
			else if (live.contains(host)) {
				liveHolderFailed = true;
			}
		}
		return new LookupResult(Optional.empty(), liveHolderFailed);
	}

	void delete(Collection<BatchRecord.Entry> entries) {
		List<String> ids = entries.stream().map(BatchRecord.Entry::id).toList();
		this.samples.delete(ids);
		entries.stream().flatMap((sample) -> sample.holders().stream()).distinct().forEach((host) -> {
			if (!host.equals(this.mesh.self()) && this.mesh.live().contains(host)) {
				this.mesh.call(host,
						new PeerMessage.SampleDelete(entries.stream()
							.filter((sample) -> sample.holders().contains(host))
							.map(BatchRecord.Entry::id)
							.toList()),
						CALL_TIMEOUT_MILLIS);
			}
		});
	}

	/**
	 * The result of a lookup.
	 *
	 * @param body the sample's JSON, if a holder returned it
	 * @param liveHolderFailed whether a live holder did not respond
	 */
	record LookupResult(Optional<byte[]> body, boolean liveHolderFailed) {
	}

}
