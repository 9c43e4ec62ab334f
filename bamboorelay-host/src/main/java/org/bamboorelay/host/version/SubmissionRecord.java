package org.bamboorelay.host.version;

import java.util.Objects;

/**
 * Record of a submission in the platform's store, without its items. Every host watches
 * these records. A submission is accepted once its record exists.
 * <p>
 * Immutable and thread-safe.
 *
 * @param workspace the workspace; empty if there are no workspaces
 * @param owner the host that runs the submission
 * @param acceptedMillis when it was accepted, wall clock in milliseconds
 * @param total the number of items
 * @param host the host name that selects the route
 * @param path the path to which it was submitted
 * @param model the model that runs the items; empty for none
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
	 * Returns a copy of this record with another owner.
	 * @param newOwner the host that runs the submission from now on
	 * @return the record
	 */
	public SubmissionRecord withOwner(String newOwner) {
		return new SubmissionRecord(this.workspace, newOwner, this.acceptedMillis, this.total, this.host, this.path,
				this.model, this.ended);
	}

	/**
	 * Returns a copy of this record that is marked as ended.
	 * @return the record
	 */
	public SubmissionRecord asEnded() {
		return new SubmissionRecord(this.workspace, this.owner, this.acceptedMillis, this.total, this.host, this.path,
				this.model, true);
	}

}
