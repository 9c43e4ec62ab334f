package org.bamboorelay.host.connection;

import java.util.List;
import java.util.Objects;

import org.apache.hc.core5.http.Header;
import org.bamboorelay.core.process.ReportedLoad;
import org.jspecify.annotations.Nullable;

/**
 * The head of an endpoint's response.
 * <p>
 * Immutable and thread-safe.
 *
 * @param status the status code
 * @param id the request id echoed by the endpoint; null if it echoed none
 * @param notExecuted whether the endpoint reports that it did not execute the request
 * @param misdirected whether an endpoint other than the expected one responded
 * @param leaving whether the endpoint reports that it is leaving and must get no further
 * requests
 * @param requestsPerSecond the requests per second that the endpoint takes from all hosts
 * together; infinite if it names no rate
 * @param load the load that the endpoint reports; null if it reports none
 * @param seal the seal by which the endpoint proves that it generated the response; null
 * if there is none
 * @param weightVersion the weight version with which the endpoint runs; 0 if it names
 * none
 * @param forwardedHeaders the headers to forward to the caller, including the seal
 */
public record EndpointResponse(int status, @Nullable String id, boolean notExecuted, boolean misdirected,
		boolean leaving, double requestsPerSecond, @Nullable ReportedLoad load, @Nullable String seal,
		long weightVersion, List<Header> forwardedHeaders) {

	public EndpointResponse {
		Objects.requireNonNull(forwardedHeaders, "forwardedHeaders");
	}

	/**
	 * Returns whether the response is successful.
	 * @return whether the status is between 200 and 299
	 */
	public boolean isSuccess() {
		return this.status >= 200 && this.status < 300;
	}

	/**
	 * Returns whether the response proves that it answers a request, if its status
	 * requires that.
	 * @param requestId the id of the request
	 * @return false for a success without this id or without a seal; true for others,
	 * because an endpoint may refuse or fail a request without either of them
	 */
	public boolean isProven(String requestId) {
		return !isSuccess() || this.notExecuted || (requestId.equals(this.id) && this.seal != null);
	}

}
