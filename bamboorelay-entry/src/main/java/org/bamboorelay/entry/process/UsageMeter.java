package org.bamboorelay.entry.process;

import org.bamboorelay.core.version.ServiceId;
import org.bamboorelay.core.version.WorkspaceId;

/**
 * Counts served requests and tokens for usage reports.
 * <p>
 * Implementations are thread-safe.
 */
@FunctionalInterface
public interface UsageMeter {

	/**
	 * Counts one complete response or delivered sample.
	 * @param workspace the workspace
	 * @param service the service
	 * @param tokens number of tokens served; 1 for a plain response
	 */
	void recordUsage(WorkspaceId workspace, ServiceId service, long tokens);

}
