package org.bamboorelay.core.scenario;

import java.util.HashMap;
import java.util.List;
import java.util.Map;

import org.bamboorelay.core.connection.PeerMessage.UsageCount;
import org.bamboorelay.core.connection.PeerMessage.UsageCounters;
import org.bamboorelay.core.version.WorkspaceId;

/**
 * Cumulative request counters of each incarnation of each entry process.
 */
final class UsageTally {

	private final Map<String, Map<WorkspaceId, Long>> counts = new HashMap<>();

	void recordRequest(SimulatedProcess process, WorkspaceId workspace) {
		this.counts.computeIfAbsent(process.name(), (unused) -> new HashMap<>()).merge(workspace, 1L, Long::sum);
	}

	UsageCounters counters(SimulatedProcess process) {
		List<UsageCount> list = this.counts.getOrDefault(process.name(), Map.of())
			.entrySet()
			.stream()
			.sorted(Map.Entry.comparingByKey(java.util.Comparator.comparing(WorkspaceId::value)))
			.map((entry) -> new UsageCount(entry.getKey(), Simulation.SERVICE, entry.getValue(), entry.getValue() * 10))
			.toList();
		return new UsageCounters(process.name(), false, list);
	}

}
