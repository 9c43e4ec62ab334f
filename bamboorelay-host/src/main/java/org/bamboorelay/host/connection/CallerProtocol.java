package org.bamboorelay.host.connection;

import java.util.List;

import io.vavr.control.Either;
import org.apache.hc.core5.http.ClassicHttpRequest;
import org.bamboorelay.core.request.ItemResult;
import org.bamboorelay.core.request.Submission;
import org.bamboorelay.runtime.request.JsonFailure;

/**
 * How callers write their requests, and how answers to them are written.
 * <p>
 * Implementations are stateless and thread-safe.
 */
public interface CallerProtocol {

	/**
	 * Reads the head of a request.
	 * @param request the request
	 * @return what the head says
	 */
	CallerRequest head(ClassicHttpRequest request);

	/**
	 * Reads a submission.
	 * @param head the head of the request
	 * @param workspace the workspace of the caller
	 * @param body the body of the request
	 * @return the submission, or what is wrong with it
	 */
	Either<JsonFailure, Submission> submission(CallerRequest head, String workspace, byte[] body);

	/**
	 * Recognizes a call on an earlier submission.
	 * @param head the head of the request
	 * @return the call; {@link SubmissionCall.Kind#NONE} for all other requests
	 */
	SubmissionCall submissionCall(CallerRequest head);

	/**
	 * Writes listed results.
	 * @param total the number of items
	 * @param next the position after the last result
	 * @param results the results
	 * @return the body of the answer
	 */
	byte[] results(int total, int next, List<ItemResult> results);

}
