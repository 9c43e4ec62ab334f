package org.bamboorelay.host.connection;

import java.util.List;

import io.vavr.control.Either;
import org.apache.hc.core5.http.ClassicHttpRequest;
import org.bamboorelay.core.request.ItemResult;
import org.bamboorelay.core.request.Submission;

/**
 * Encoding of callers' requests and of the responses to them.
 * <p>
 * Implementations are stateless and thread-safe.
 */
public interface CallerProtocol {

	/**
	 * Decodes the head of a request.
	 * @param request the request
	 * @return the decoded head
	 */
	CallerRequest decodeHead(ClassicHttpRequest request);

	/**
	 * Decodes a submission. Needs memory for the part that fits into the maximum size
	 * only, however large the body is.
	 * @param head the head of the request
	 * @param workspace the workspace of the caller
	 * @param body the body of the request
	 * @param maxBytes the maximum size of the submission as it is stored, in bytes
	 * @return the submission, or the reason why it is not accepted
	 */
	Either<SubmissionFailure, Submission> decodeSubmission(CallerRequest head, String workspace, byte[] body,
			long maxBytes);

	/**
	 * Decodes a call on an existing submission.
	 * @param head the head of the request
	 * @return the call; {@link SubmissionCall.Kind#NONE} for all other requests
	 */
	SubmissionCall decodeSubmissionCall(CallerRequest head);

	/**
	 * Encodes listed results.
	 * @param total the number of items of the submission
	 * @param next the position after the last result
	 * @param results the results
	 * @return the body of the response
	 */
	byte[] encodeResults(int total, int next, List<ItemResult> results);

}
