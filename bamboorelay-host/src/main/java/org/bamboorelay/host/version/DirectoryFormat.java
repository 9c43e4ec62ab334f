package org.bamboorelay.host.version;

import io.vavr.control.Either;
import org.bamboorelay.core.process.EndpointEntry;
import org.bamboorelay.core.version.RoutingTable;
import org.bamboorelay.runtime.request.JsonFailure;

/**
 * The kinds of objects that others write to the platform's store, and how they are read.
 * <p>
 * Implementations are stateless and thread-safe.
 */
public interface DirectoryFormat {

	/**
	 * Returns the kind that holds the routes.
	 * @return the kind
	 */
	String routingKind();

	/**
	 * Returns the kind that holds one object an endpoint.
	 * @return the kind
	 */
	String endpointKind();

	/**
	 * Returns the kind that holds one object a model with its newest weights.
	 * @return the kind
	 */
	String weightKind();

	/**
	 * Returns the kind that holds one object for each failure domain that is taken out.
	 * @return the kind
	 */
	String closedDomainKind();

	/**
	 * Returns the kind that holds one object for each disk host that is to be emptied.
	 * @return the kind
	 */
	String retirementKind();

	/**
	 * Returns the status that says that a disk host is empty.
	 * @return the status
	 */
	byte[] emptiedStatus();

	/**
	 * Reads the routes.
	 * @param body the object's value
	 * @return the routes, or what is wrong with them
	 */
	Either<JsonFailure, RoutingTable> routing(byte[] body);

	/**
	 * Reads the entry of an endpoint.
	 * @param id the endpoint
	 * @param body the object's value
	 * @return the entry, or why it names no endpoint to use
	 */
	Either<JsonFailure, EndpointEntry> endpoint(String id, byte[] body);

	/**
	 * Reads the newest weights of a model.
	 * @param body the object's value
	 * @return the weights, or what is wrong with them
	 */
	Either<JsonFailure, NamedWeights> weights(byte[] body);

	/**
	 * The newest weights of a model.
	 *
	 * @param model the model
	 * @param version the version
	 */
	record NamedWeights(String model, long version) {
	}

}
