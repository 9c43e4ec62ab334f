package org.bamboorelay.host.version;

import java.util.Objects;

/**
 * The small record of a submission in the platform's store, which every host follows. The
 * submission is accepted once this record exists.
 * <p>
 * Immutable and thread-safe.
 *
 * @param workspace the workspace; empty where there are none
 * @param owner the host that runs it
 * @param acceptedMillis when it was accepted, wall clock
 * @param total the number of its items
 * @param host the host name that selects its route
 * @param path the path that it was submitted at
 * @param model the model that runs it; empty for none
 * @param ended whether a caller ended it
 */
public record SubmissionRecord(String workspace, String owner, long acceptedMillis, int total, String host, String path,
		String model, boolean ended) {

	public SubmissionRecord {
		Objects.requireNonNull(workspace, "workspace");
		Objects.requireNonNull(owner, "owner");
		Objects.requireNonNull(host, "host");
		Objects.requireNonNull(path, "path");
	}

	/**
	 * Returns this record with another owner.
	 * @param newOwner the host that runs the submission from now on
	 * @return the record
	 */
	public SubmissionRecord withOwner(String newOwner) {
		return new SubmissionRecord(this.workspace, newOwner, this.acceptedMillis, this.total, this.host, this.path,
				this.model, this.ended);
	}

	/**
	 * Returns this record as ended.
	 * @return the record
	 */
	public SubmissionRecord asEnded() {
		return new SubmissionRecord(this.workspace, this.owner, this.acceptedMillis, this.total, this.host, this.path,
				this.model, true);
	}

}
