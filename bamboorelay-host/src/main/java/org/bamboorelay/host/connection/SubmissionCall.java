package org.bamboorelay.host.connection;

/**
 * A call on an earlier submission.
 * <p>
 * Immutable and thread-safe.
 *
 * @param kind the operation
 * @param submission the id of the submission
 * @param after the position of the first result to read
 * @param item the id of the item whose body is requested
 */
public record SubmissionCall(Kind kind, String submission, int after, String item) {

	/** A request that is not a call on a submission. */
	public static final SubmissionCall NONE = new SubmissionCall(Kind.NONE, "", 0, "");

	/**
	 * Operation on a submission.
	 */
	public enum Kind {

		/** Not a call on a submission. */
		NONE,

		/** Reads the listed results. */
		RESULTS,

		/** Reads the body of an item. */
		ITEM_BODY,

		/** Ends the submission. */
		END

	}

}
