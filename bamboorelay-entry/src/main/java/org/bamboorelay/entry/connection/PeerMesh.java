package org.bamboorelay.entry.connection;

import java.util.Set;
import java.util.function.Function;

import io.vavr.control.Either;
import org.bamboorelay.core.connection.PeerMessage;
import org.bamboorelay.core.version.FailureDomain;
import org.bamboorelay.core.version.HostId;
import org.bamboorelay.runtime.connection.PeerFailure;

/**
 * Message exchange with the other entry hosts.
 * <p>
 * Implementations are thread-safe.
 */
public interface PeerMesh {

	/**
	 * Returns the id of this host.
	 * @return the id
	 */
	HostId self();

	/**
	 * Returns the failure domain of a host.
	 * @param host a host of the inventory
	 * @return its failure domain
	 */
	FailureDomain domain(HostId host);

	/**
	 * Returns the hosts that are live and not leaving, including this one.
	 * @return the hosts
	 */
	Set<HostId> live();

	/**
	 * Sends a request to a host and waits for its response.
	 * @param host the host
	 * @param message the request
	 * @param timeoutMillis the maximum wait, in milliseconds
	 * @return the response, or the failure
	 */
	Either<PeerFailure, PeerMessage> call(HostId host, PeerMessage message, long timeoutMillis);

	/**
	 * Registers the handler of a type of message from peers and control processes. It
	 * must not block.
	 * @param <M> type of the message
	 * @param type the type
	 * @param handler returns the response to a message
	 */
	<M extends PeerMessage> void register(Class<M> type, Function<M, PeerMessage> handler);

}
