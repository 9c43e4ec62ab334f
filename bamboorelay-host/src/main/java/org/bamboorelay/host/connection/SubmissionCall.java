package org.bamboorelay.host.connection;

/**
 * A call on an earlier submission.
 * <p>
 * Immutable and thread-safe.
 *
 * @param kind what is asked for
 * @param submission the submission's id
 * @param after the position to read from
 * @param item the item whose body is asked for
 */
public record SubmissionCall(Kind kind, String submission, int after, String item) {

	/** A request that is no such call. */
	public static final SubmissionCall NONE = new SubmissionCall(Kind.NONE, "", 0, "");

	/**
	 * What is asked for.
	 */
	public enum Kind {

		/** Nothing: the request is of another sort. */
		NONE,

		/** Listed results. */
		RESULTS,

		/** The body of an item. */
		ITEM_BODY,

		/** That the submission ends. */
		END

	}

}
