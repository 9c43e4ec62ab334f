package org.bamboorelay.entry.process;

import org.bamboorelay.core.connection.PeerMessage;
import org.bamboorelay.core.version.HostId;
import org.jspecify.annotations.Nullable;

/**
 * An endpoint of this host's failure domain with its owner.
 * <p>
 * Guarded by the lock of its {@link CreditShard}.
 */
final class KnownEndpoint {

	/** Number of consecutive failed polls after which an endpoint gets no requests. */
	static final int FAILED_POLL_LIMIT = 3;

	final PeerMessage.EndpointInfo info;

	final @Nullable HostId owner;

	final boolean domainInService;

	boolean reportedLeaving;

	int failedPolls;

	KnownEndpoint(PeerMessage.EndpointInfo info, @Nullable HostId owner, boolean domainInService) {
		this.info = info;
		this.owner = owner;
		this.domainInService = domainInService;
	}

	boolean accepting() {
		return this.domainInService && !this.info.leaving() && !this.reportedLeaving
				&& this.failedPolls < FAILED_POLL_LIMIT;
	}

}
