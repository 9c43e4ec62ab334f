package org.bamboorelay.entry.process;

import org.bamboorelay.core.version.ServiceId;
import org.bamboorelay.core.version.WorkspaceId;

/**
 * Counts what was served, for usage reports.
 * <p>
 * Implementations are thread-safe.
 */
@FunctionalInterface
public interface UsageMeter {

	/**
	 * Counts one whole answer or delivered sample.
	 * @param workspace the workspace
	 * @param service the service
	 * @param tokens tokens served; 1 for a plain answer
	 */
	void served(WorkspaceId workspace, ServiceId service, long tokens);

}
