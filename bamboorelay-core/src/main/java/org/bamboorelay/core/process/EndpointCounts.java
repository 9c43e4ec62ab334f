package org.bamboorelay.core.process;

/**
 * The endpoints of a service in a failure domain that are not leaving, by their kind.
 * <p>
 * Immutable and thread-safe.
 *
 * @param onDemand the number of on-demand endpoints
 * @param spot the number of spot endpoints
 * @param idleOnDemand the number of on-demand endpoints that run no request
 * @param idleSpot the number of spot endpoints that run no request
 */
public record EndpointCounts(int onDemand, int spot, int idleOnDemand, int idleSpot) {

	/** No endpoints. */
	public static final EndpointCounts NONE = new EndpointCounts(0, 0, 0, 0);

	public EndpointCounts {
		if (idleOnDemand < 0 || idleOnDemand > onDemand || idleSpot < 0 || idleSpot > spot) {
			throw new IllegalArgumentException("idle endpoints must be among the endpoints: " + idleOnDemand + " of "
					+ onDemand + " on-demand, " + idleSpot + " of " + spot + " spot");
		}
	}

	/**
	 * Returns these counts and one more endpoint.
	 * @param isSpot whether the endpoint is a spot endpoint
	 * @param isIdle whether the endpoint runs no request
	 * @return the counts
	 */
	public EndpointCounts plusOne(boolean isSpot, boolean isIdle) {
		int idle = isIdle ? 1 : 0;
		return isSpot ? new EndpointCounts(this.onDemand, this.spot + 1, this.idleOnDemand, this.idleSpot + idle)
				: new EndpointCounts(this.onDemand + 1, this.spot, this.idleOnDemand + idle, this.idleSpot);
	}

	/**
	 * Returns the number of endpoints of a kind.
	 * @param isSpot whether to count spot endpoints
	 * @return the number
	 */
	public int count(boolean isSpot) {
		return isSpot ? this.spot : this.onDemand;
	}

	/**
	 * Returns the number of endpoints of a kind that run no request.
	 * @param isSpot whether to count spot endpoints
	 * @return the number
	 */
	public int idle(boolean isSpot) {
		return isSpot ? this.idleSpot : this.idleOnDemand;
	}

}
