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
 * Peer mesh whose hosts are live but never respond to calls.
 * <p>
 * Immutable and thread-safe.
 */
final class UnresponsiveMesh implements PeerMesh {

	private final Set<HostId> live;

	UnresponsiveMesh(int hostsPerDomain) {
		this.live = Set.copyOf(SampleData.hosts(hostsPerDomain * SampleData.DOMAINS)
			.stream()
			.filter((host) -> host.value().startsWith(SampleData.domain(0).value()))
			.toList());
	}

	@Override
	public HostId self() {
		return SampleData.host(0);
	}

	@Override
	public FailureDomain domain(HostId host) {
		return SampleData.domain(0);
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
		// The measurements pass messages to the service directly.
	}

}
