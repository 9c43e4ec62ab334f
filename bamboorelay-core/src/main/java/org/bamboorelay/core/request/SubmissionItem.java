package org.bamboorelay.core.request;

import java.util.Map;
import java.util.Objects;

import org.jspecify.annotations.Nullable;

/**
 * One item of a submission: a prompt to run later, and how to score its text.
 * <p>
 * Immutable as long as nobody writes to the body; thread-safe under the same condition.
 *
 * @param id the item's id, which is the request id of its runs
 * @param path the path of its runs
 * @param headers the headers of its runs
 * @param body the body of its runs
 * @param tokens prompt tokens and the most output tokens together
 * @param group the items that share a prompt bear the same group; empty for none
 * @param expectedUnits expected length of the text, in any unit that is the same for all
 * items of the submission; 0 where unknown
 * @param score the call that scores the text; null where there is none
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
	 * @param host the host name that selects its route
	 * @param path its path
	 * @param body its body
	 */
	public record ScoreCall(String id, String host, String path, byte[] body) {
	}

}
