package org.bamboorelay.core.request;

import java.util.Map;
import java.util.Objects;

import org.jspecify.annotations.Nullable;

/**
 * One item of a submission: a prompt to run and, optionally, the call that scores its
 * text.
 * <p>
 * Immutable and thread-safe, provided that the body is not modified.
 *
 * @param id the id of the item, which is also the request id of its runs
 * @param path the request path of its runs
 * @param headers the request headers of its runs
 * @param body the request body of its runs
 * @param tokens the number of prompt tokens plus the maximum number of output tokens
 * @param group the group of the item, common to the items that share a prompt; empty for
 * none
 * @param expectedUnits the expected length of the text, in a unit that is the same for
 * all items of the submission; 0 if unknown
 * @param score the call that scores the text; null if there is none
 */
public record SubmissionItem(String id, String path, Map<String, String> headers, byte[] body, long tokens,
		String group, long expectedUnits, @Nullable ScoreCall score) {

	public SubmissionItem {
		Objects.requireNonNull(id, "id");
		Objects.requireNonNull(path, "path");
		headers = Map.copyOf(headers);
		Objects.requireNonNull(body, "body");
		Objects.requireNonNull(group, "group");
	}

	/**
	 * The call that scores a text.
	 *
	 * @param id the request id of the call
	 * @param host the host name that selects the route
	 * @param path the request path
	 * @param body the request body
	 */
	public record ScoreCall(String id, String host, String path, byte[] body) {
	}

}
