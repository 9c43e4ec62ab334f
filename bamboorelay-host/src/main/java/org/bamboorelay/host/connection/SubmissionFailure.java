package org.bamboorelay.host.connection;

import org.bamboorelay.core.failure.Failure;

/**
 * The reason why the body of a request is not accepted as a submission.
 */
public sealed interface SubmissionFailure extends Failure {

	/**
	 * The body is not a valid submission.
	 *
	 * @param detail human-readable description
	 */
	record Invalid(String detail) implements SubmissionFailure {
		@Override
		public String code() {
			return "bad-submission";
		}
	}

	/**
	 * The submission is valid as far as it was decoded, but its encoded form exceeds the
	 * maximum size.
	 *
	 * @param items the number of items that were decoded
	 * @param bytes the size of these items, in bytes
	 * @param maxBytes the maximum size, in bytes
	 */
	record TooLarge(int items, long bytes, long maxBytes) implements SubmissionFailure {
		@Override
		public String code() {
			return "submission-too-large";
		}

		@Override
		public String detail() {
			return "the first " + this.items + " items have " + this.bytes + " bytes, the limit of a submission is "
					+ this.maxBytes;
		}
	}

}
