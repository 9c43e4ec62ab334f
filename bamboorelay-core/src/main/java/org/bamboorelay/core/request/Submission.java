package org.bamboorelay.core.request;

import java.util.List;
import java.util.Objects;

import org.jspecify.annotations.Nullable;

/**
 * Many items that are submitted at once and run later.
 * <p>
 * Immutable and thread-safe.
 *
 * @param id the submission's id
 * @param workspace the workspace that submitted it; empty where there are no workspaces
 * @param host the host name that selects its route
 * @param path the path that it was submitted at
 * @param model the model that runs the items; null where the items name none
 * @param step the trainer's step; -1 where there is none
 * @param minVersion the oldest weight version that may generate a token; 0 for any
 * @param wantedGroups the complete groups that the trainer waits for; 0 for all
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
