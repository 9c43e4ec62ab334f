package org.bamboorelay.core.request;

import java.util.List;
import java.util.Objects;

import org.jspecify.annotations.Nullable;

/**
 * A set of items that is submitted in one request and run asynchronously.
 * <p>
 * Immutable and thread-safe.
 *
 * @param id the id of the submission
 * @param workspace the workspace that submitted it; empty if there are no workspaces
 * @param host the host name that selects the route
 * @param path the path of the submission request
 * @param model the model that runs the items; null if the items name none
 * @param step the trainer's step; -1 if there is none
 * @param minVersion the oldest weight version that may generate a token; 0 for any
 * @param wantedGroups the number of complete groups that the trainer waits for; 0 for all
 * @param items the items, in order
 */
public record Submission(String id, String workspace, String host, String path, @Nullable String model, long step,
		long minVersion, int wantedGroups, List<SubmissionItem> items) {

	public Submission {
		Objects.requireNonNull(id, "id");
		Objects.requireNonNull(workspace, "workspace");
		Objects.requireNonNull(host, "host");
		Objects.requireNonNull(path, "path");
		items = List.copyOf(items);
	}

}
