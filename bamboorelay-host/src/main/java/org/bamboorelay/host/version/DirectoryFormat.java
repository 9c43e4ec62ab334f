package org.bamboorelay.host.version;

import io.vavr.control.Either;
import org.bamboorelay.core.process.EndpointEntry;
import org.bamboorelay.core.version.RoutingTable;
import org.bamboorelay.runtime.request.JsonFailure;

/**
 * Kinds and encodings of the objects that the platform writes to its store.
 * <p>
 * Implementations are stateless and thread-safe.
 */
public interface DirectoryFormat {

	/**
	 * Returns the kind of the object with the routes.
	 * @return the kind
	 */
	String routingKind();

	/**
	 * Returns the kind that has one object per endpoint.
	 * @return the kind
	 */
	String endpointKind();

	/**
	 * Returns the kind that has one object per model, which names its latest weights.
	 * @return the kind
	 */
	String weightKind();

	/**
	 * Returns the kind that has one object per failure domain that is taken out of
	 * service.
	 * @return the kind
	 */
	String disabledDomainKind();

	/**
	 * Returns the kind that has one object per disk host that is to be emptied.
	 * @return the kind
	 */
	String retirementKind();

	/**
	 * Returns the encoded status of a disk host that has been emptied.
	 * @return the status
	 */
	byte[] emptiedStatus();

	/**
	 * Decodes the routes.
	 * @param body the value of the object
	 * @return the routes, or the reason why they are invalid
	 */
	Either<JsonFailure, RoutingTable> routing(byte[] body);

	/**
	 * Decodes the entry of an endpoint.
	 * @param id the id of the endpoint
	 * @param body the value of the object
	 * @return the entry, or the reason why it describes no usable endpoint
	 */
	Either<JsonFailure, EndpointEntry> endpoint(String id, byte[] body);

	/**
	 * Decodes the latest weights of a model.
	 * @param body the value of the object
	 * @return the weights, or the reason why they are invalid
	 */
	Either<JsonFailure, LatestWeights> weights(byte[] body);

	/**
	 * The latest weights of a model.
	 *
	 * @param model the model
	 * @param version the weight version
	 */
	record LatestWeights(String model, long version) {
	}

}
