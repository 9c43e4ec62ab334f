package org.bamboorelay.entry.connection;

import java.util.Set;
import java.util.function.Function;

import io.vavr.control.Either;
import org.bamboorelay.core.connection.PeerMessage;
import org.bamboorelay.core.version.FailureDomain;
import org.bamboorelay.core.version.HostId;
import org.bamboorelay.runtime.connection.PeerFailure;

/**
 * Links to the other entry hosts.
 * <p>
 * Implementations are thread-safe.
 */
public interface PeerMesh {

	/**
	 * Returns this host.
	 * @return this host
	 */
	HostId self();

	/**
	 * Returns the failure domain of a host.
	 * @param host a host of the inventory
	 * @return its failure domain
	 */
	FailureDomain domain(HostId host);

	/**
	 * Returns the hosts that are alive and not leaving, this one included.
	 * @return the hosts
	 */
	Set<HostId> live();

	/**
	 * Sends a request to another host and waits for its answer.
	 * @param host the host
	 * @param message the request
	 * @param timeoutMillis the longest wait, in milliseconds
	 * @return the answer
	 */
	Either<PeerFailure, PeerMessage> call(HostId host, PeerMessage message, long timeoutMillis);

	/**
	 * Registers what answers a type of message, from peers and control processes. The
	 * handler must not block.
	 * @param <M> type of the message
	 * @param type the type
	 * @param handler gives the answer
	 */
	<M extends PeerMessage> void register(Class<M> type, Function<M, PeerMessage> handler);

}
