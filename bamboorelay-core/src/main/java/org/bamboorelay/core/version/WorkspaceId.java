package org.bamboorelay.core.version;

import com.fasterxml.jackson.annotation.JsonCreator;

/**
 * Name of a workspace: a tenant with separate keys, queues and usage records.
 * <p>
 * Immutable and thread-safe.
 */
public final class WorkspaceId extends Identifier {

	private WorkspaceId(String value) {
		super(value);
	}

	/**
	 * Creates an identifier.
	 * @param value the text, in the format that {@link Identifier} describes
	 * @return the identifier
	 */
	@JsonCreator
	public static WorkspaceId of(String value) {
		return new WorkspaceId(value);
	}

}
