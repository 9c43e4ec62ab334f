package org.bamboorelay.slopes.process;

import java.util.ArrayList;
import java.util.List;
import java.util.Set;

import org.bamboorelay.core.connection.PeerMessage;
import org.bamboorelay.core.version.Configuration;
import org.bamboorelay.core.version.EndpointId;
import org.bamboorelay.core.version.FailureDomain;
import org.bamboorelay.core.version.HostId;
import org.bamboorelay.core.version.Inventory;
import org.bamboorelay.core.version.KeyHash;
import org.bamboorelay.core.version.KeyTable;
import org.bamboorelay.core.version.LineId;
import org.bamboorelay.core.version.Rules;
import org.bamboorelay.core.version.ServiceId;
import org.bamboorelay.core.version.TrainerId;
import org.bamboorelay.core.version.WeightVersion;
import org.bamboorelay.core.version.WorkspaceId;

/**
 * Creates configurations and messages for deployments of any size.
 * <p>
 * Stateless and thread-safe.
 */
final class SampleData {

	static final int DOMAINS = 8;

	static final int TRAINERS = 6;

	private static final int SERVICES = 8;

	private SampleData() {
	}

	static FailureDomain domain(int index) {
		return FailureDomain.of("region-" + (index % 3) + "-domain-" + index);
	}

	static HostId host(int index) {
		return HostId.of(domain(index % DOMAINS) + "-entry-" + index);
	}

	static ServiceId service(int index) {
		return ServiceId.of("model-service-" + index);
	}

	static WorkspaceId workspace(int index) {
		return WorkspaceId.of("workspace-" + index);
	}

	static List<HostId> hosts(int count) {
		List<HostId> hosts = new ArrayList<>();
		for (int i = 0; i < count; i++) {
			hosts.add(host(i));
		}
		return hosts;
	}

	static PeerMessage.Heartbeat heartbeat(int digests) {
		List<PeerMessage.CapacityDigest> capacityDigests = new ArrayList<>();
		for (int i = 0; i < digests; i++) {
			capacityDigests.add(new PeerMessage.CapacityDigest(service(i), 200 + i, 180 + i));
		}
		return new PeerMessage.Heartbeat(false, 1_000_000, 700, 20_000, capacityDigests);
	}

	static PeerMessage.EndpointSet endpointSet(int endpoints, long sequence) {
		List<PeerMessage.EndpointInfo> infos = new ArrayList<>();
		for (int i = 0; i < endpoints; i++) {
			infos.add(new PeerMessage.EndpointInfo(EndpointId.of(domain(0) + "-sampler-" + i),
					"10.1." + (i / 250) + "." + (i % 250) + ":8000", domain(0), service(0), i % 4 == 0, false));
		}
		List<WeightVersion> heads = new ArrayList<>();
		for (int i = 0; i < TRAINERS; i++) {
			heads.add(WeightVersion.of(LineId.of("line-" + i), 100_000));
		}
		return new PeerMessage.EndpointSet(domain(0), sequence, infos, heads);
	}

	static PeerMessage.UsageCounters usage(int workspaces) {
		List<PeerMessage.UsageCount> counts = new ArrayList<>();
		for (int i = 0; i < workspaces; i++) {
			counts.add(new PeerMessage.UsageCount(workspace(i), service(0), 1_000_000 + i, 400_000_000 + i));
		}
		return new PeerMessage.UsageCounters("0b1c2d3e-4f50-6172-8394-a5b6c7d8e9f0", false, counts);
	}

	static Configuration configuration(long version, int hosts, int workspaces, int keys) {
		List<Inventory.DomainEntry> domains = new ArrayList<>();
		for (int i = 0; i < DOMAINS; i++) {
			domains.add(new Inventory.DomainEntry(domain(i), "region-" + (i % 3)));
		}
		List<Inventory.HostEntry> entries = new ArrayList<>();
		for (int i = 0; i < hosts; i++) {
			entries.add(new Inventory.HostEntry(host(i), domain(i % DOMAINS), "10.0." + i / 250 + "." + i % 250 + ":80",
					"10.0." + i / 250 + "." + i % 250 + ":81"));
		}
		List<Inventory.ServiceEntry> services = new ArrayList<>();
		List<Rules.SpendingRule> spending = new ArrayList<>();
		for (int i = 0; i < SERVICES; i++) {
			services.add(new Inventory.ServiceEntry(service(i), Inventory.ServiceKind.MODEL, 825, 16, 20_000, true,
					List.of(), List.of()));
			spending.add(new Rules.SpendingRule(service(i), 6_600, 1_000, 1));
		}
		List<Inventory.WorkspaceEntry> workspaceEntries = new ArrayList<>();
		for (int i = 0; i < workspaces; i++) {
			workspaceEntries.add(new Inventory.WorkspaceEntry(workspace(i), 1, List.of(service(0), service(1)),
					List.of(TrainerId.of("trainer-" + i % TRAINERS))));
		}
		List<KeyTable.Grant> grants = new ArrayList<>();
		for (int i = 0; i < keys; i++) {
			grants.add(new KeyTable.Grant(KeyHash.ofKey("key-" + i), workspace(i % Math.max(1, workspaces))));
		}
		Rules rules = new Rules(List.of(), List.of(new Rules.StalenessRule(LineId.of("line-0"), service(0), 2)),
				spending, new Rules.AdmissionRule(1_000_000, 2_000, 300_000), new Rules.UsageRule(60_000, 5_000),
				new Rules.IsolationRule(Rules.WhenIsolated.REFUSE, 4_000),
				new Rules.PolicyRule("fair", "affinity", "no-ramp", "demand", "waves", "resume"));
		return new Configuration(version, new Inventory("capacity", domains, entries, services, workspaceEntries),
				rules, new KeyTable(grants, Set.of()), Set.of());
	}

}
