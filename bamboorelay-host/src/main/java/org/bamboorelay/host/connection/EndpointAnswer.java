package org.bamboorelay.host.connection;

import java.util.List;
import java.util.Objects;

import org.apache.hc.core5.http.Header;
import org.jspecify.annotations.Nullable;

/**
 * The head of an endpoint's answer.
 * <p>
 * Immutable and thread-safe.
 *
 * @param status the status code
 * @param id the request id that the endpoint echoed; null where it echoed none
 * @param notRun whether the endpoint says that it did not run the request
 * @param leaving whether the endpoint says that it leaves and is to get nothing more
 * @param seal the endpoint's proof that it made the answer; null where there is none
 * @param weightVersion the version of the weights that it runs with; 0 where it names
 * none
 * @param passedHeaders the headers that concern the caller, the proof included
 */
public record EndpointAnswer(int status, @Nullable String id, boolean notRun, boolean leaving, @Nullable String seal,
		long weightVersion, List<Header> passedHeaders) {

	public EndpointAnswer {
		Objects.requireNonNull(passedHeaders, "passedHeaders");
	}

	/**
	 * Tells whether the answer is a success.
	 * @return whether the status is between 200 and 299
	 */
	public boolean isSuccess() {
		return this.status >= 200 && this.status < 300;
	}

}
