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
 * Keeps samples on two hosts, and finds them again.
 * <p>
 * Thread-safe.
 */
final class SampleCopies {

	/** The longest wait for another host, in milliseconds. */
	private static final long CALL_MILLIS = 2_000;

	/** Hosts that are asked to hold a second copy before the caller waits. */
	private static final int MAX_HOSTS_ASKED = 3;

	private final PeerMesh mesh;

	private final SampleStore samples;

	SampleCopies(PeerMesh mesh, SampleStore samples) {
		this.mesh = mesh;
		this.samples = samples;
		mesh.register(PeerMessage.SamplePut.class, (put) -> samples.put(put.sample(), put.body())
				? new PeerMessage.Ack(true) : new PeerMessage.Rejected("samples-full", "no room for another sample"));
		mesh.register(PeerMessage.SampleGet.class,
				(get) -> new PeerMessage.SampleBody(samples.get(get.sample()).orElse(new byte[0])));
		mesh.register(PeerMessage.SampleDrop.class, (drop) -> {
			samples.drop(drop.samples());
			return new PeerMessage.Ack(true);
		});
	}

	/**
	 * Puts a sample on this host and on one other, in another failure domain where one is
	 * reachable.
	 * @param id the sample's id
	 * @param body its JSON
	 * @return both hosts, or nothing where no second host took it
	 */
	Optional<List<HostId>> keep(String id, byte[] body) {
		if (!this.samples.put(id, body)) {
			return Optional.empty();
		}
		HostId self = this.mesh.self();
		FailureDomain own = this.mesh.domain(self);
		List<HostId> others = new ArrayList<>(this.mesh.live());
		others.remove(self);
		others.sort(Comparator.comparing((HostId host) -> this.mesh.domain(host).equals(own))
			.thenComparing((host) -> (host.value() + id).hashCode()));
		for (HostId host : others.subList(0, Math.min(MAX_HOSTS_ASKED, others.size()))) {
			Either<PeerFailure, PeerMessage> answer = this.mesh.call(host, new PeerMessage.SamplePut(id, body),
					CALL_MILLIS);
			if (answer.isRight() && answer.get() instanceof PeerMessage.Ack) {
				return Optional.of(List.of(self, host));
			}
		}
		return Optional.empty();
	}

	/**
	 * Moves the second copy of a sample where its holder died before the record.
	 * @param sample the sample
	 * @return the sample with two live holders, or nothing where there are none
	 */
	Optional<BatchRecord.Entry> withLiveHolders(BatchRecord.Entry sample) {
		if (this.mesh.live().containsAll(sample.holders())) {
			return Optional.of(sample);
		}
		return this.samples.get(sample.id())
			.flatMap((body) -> keep(sample.id(), body))
			.map((holders) -> new BatchRecord.Entry(sample.id(), sample.slot(), sample.oldest(), sample.tokens(),
					sample.bytes(), holders));
	}

	/**
	 * Finds a sample. Holders that do not count as alive are asked last, since a leaving
	 * host still has its samples and a dead one costs a timeout.
	 * @param sample the sample
	 * @return the sample's JSON, or whether a host that is alive may still have it
	 */
	Found find(BatchRecord.Entry sample) {
		Optional<byte[]> local = this.samples.get(sample.id());
		if (local.isPresent()) {
			return new Found(local, false);
		}
		boolean unsure = false;
		Set<HostId> live = this.mesh.live();
		List<HostId> holders = new ArrayList<>(sample.holders());
		holders.sort(Comparator.comparing((host) -> !live.contains(host)));
		for (HostId host : holders) {
			if (host.equals(this.mesh.self())) {
				continue;
			}
			Either<PeerFailure, PeerMessage> answer = this.mesh.call(host, new PeerMessage.SampleGet(sample.id()),
					CALL_MILLIS);
			if (answer.isRight() && answer.get() instanceof PeerMessage.SampleBody body) {
				if (body.body().length > 0) {
					return new Found(Optional.of(body.body()), false);
				}
			}
			else if (live.contains(host)) {
				unsure = true;
			}
		}
		return new Found(Optional.empty(), unsure);
	}

	void drop(Collection<BatchRecord.Entry> dropped) {
		List<String> ids = dropped.stream().map(BatchRecord.Entry::id).toList();
		this.samples.drop(ids);
		dropped.stream().flatMap((sample) -> sample.holders().stream()).distinct().forEach((host) -> {
			if (!host.equals(this.mesh.self()) && this.mesh.live().contains(host)) {
				this.mesh.call(host,
						new PeerMessage.SampleDrop(dropped.stream()
							.filter((sample) -> sample.holders().contains(host))
							.map(BatchRecord.Entry::id)
							.toList()),
						CALL_MILLIS);
			}
		});
	}

	/**
	 * Result of a search.
	 *
	 * @param body the sample's JSON, if a holder has it
	 * @param unsure whether a holder that is alive did not answer
	 */
	record Found(Optional<byte[]> body, boolean unsure) {
	}

}
