package org.bamboorelay.slopes.process;

import java.util.Set;
import java.util.function.Function;

import io.vavr.control.Either;
import org.bamboorelay.core.connection.PeerMessage;
import org.bamboorelay.core.version.FailureDomain;
import org.bamboorelay.core.version.HostId;
import org.bamboorelay.entry.connection.PeerMesh;
import org.bamboorelay.runtime.connection.PeerFailure;

/**
 * Hosts that are live but answer nothing.
 * <p>
 * Immutable and thread-safe.
 */
final class MemoryMesh implements PeerMesh {

	private final Set<HostId> live;

	MemoryMesh(int hostsOfDomain) {
		this.live = Set.copyOf(Samples.hosts(hostsOfDomain * Samples.DOMAINS)
			.stream()
			.filter((host) -> host.value().startsWith(Samples.domain(0).value()))
			.toList());
	}

	@Override
	public HostId self() {
		return Samples.host(0);
	}

	@Override
	public FailureDomain domain(HostId host) {
		return Samples.domain(0);
	}

	@Override
	public Set<HostId> live() {
		return this.live;
	}

	@Override
	public Either<PeerFailure, PeerMessage> call(HostId host, PeerMessage message, long timeoutMillis) {
		return Either.left(new PeerFailure.Unreachable("no network"));
	}

	@Override
	public <M extends PeerMessage> void register(Class<M> type, Function<M, PeerMessage> handler) {
		// Messages are handed to the service directly.
	}

}
