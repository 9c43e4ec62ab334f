package org.bamboorelay.core.version;

import com.fasterxml.jackson.annotation.JsonCreator;

/**
 * Name of a workspace: a customer whose keys, queues and usage are kept apart.
 * <p>
 * Immutable and thread-safe.
 */
public final class WorkspaceId extends Identifier {

	private WorkspaceId(String value) {
		super(value);
	}

	/**
	 * Creates an identifier.
	 * @param value the text, checked as {@link Identifier} tells
	 * @return the identifier
	 */
	@JsonCreator
	public static WorkspaceId of(String value) {
		return new WorkspaceId(value);
	}

}
