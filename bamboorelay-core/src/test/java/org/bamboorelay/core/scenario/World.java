package org.bamboorelay.core.scenario;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;

import org.bamboorelay.core.request.BatchRecord;
import org.bamboorelay.core.version.Configuration;
import org.bamboorelay.core.version.FailureDomain;
import org.bamboorelay.core.version.HostId;
import org.bamboorelay.core.version.Inventory;
import org.bamboorelay.core.version.KeyHash;
import org.bamboorelay.core.version.KeyTable;
import org.bamboorelay.core.version.Rules;
import org.bamboorelay.core.version.ServiceId;
import org.bamboorelay.core.version.WorkspaceId;
import org.jspecify.annotations.Nullable;

/**
 * One run: hosts made of the decision classes, the outside systems, and the workload.
 */
final class World {

	static final ServiceId SERVICE = ServiceId.of("modelo-huerto");

	static final List<WorkspaceId> WORKSPACES = List.of(WorkspaceId.of("norte"), WorkspaceId.of("sur"));

	private static final int HOSTS_PER_DOMAIN = 2;

	private static final int CONNECTIONS = 3;

	private static final long PROBE_MILLIS = 100;

	private static final long REQUEST_MILLIS = 100;

	final Random random;

	final EventLoop loop;

	final Journal journal;

	final Network network;

	final Variant variant;

	final boolean fencedReceiver;

	final List<FailureDomain> domains = new ArrayList<>();

	/** Entry processes, one on each host. */
	final List<SimProcess> processes = new ArrayList<>();

	/** Control processes, one on each host. */
	final List<SimProcess> controlProcesses = new ArrayList<>();

	final Map<SimProcess, ControlNode> controls = new LinkedHashMap<>();

	private final Map<FailureDomain, List<ControlNode>> controlsOf = new HashMap<>();

	final Map<SimProcess, EntryNode> entries = new LinkedHashMap<>();

	final Map<SimProcess, RolloutNode> rollouts = new LinkedHashMap<>();

	final Map<SimProcess, CreditNode> credits = new LinkedHashMap<>();

	final Map<String, BatchRecord> records = new HashMap<>();

	final FakePlatform platform = new FakePlatform(this);

	final UsageTally usage = new UsageTally();

	final KeyRing keys = new KeyRing();

	final FakeEngines engines;

	final FakeEndpoints endpoints;

	final Trainer trainer;

	final Operators operators;

	private final List<Checker> checkers;

	private long ids;

	World(long seed, int domainCount, Variant variant, boolean tracing) {
		this.random = new Random(seed);
		this.loop = new EventLoop(new Random(seed + 1));
		this.journal = new Journal(this.loop, tracing);
		this.network = new Network(this.loop, new Random(seed + 2));
		this.variant = variant;
		this.fencedReceiver = this.random.nextBoolean();
		this.checkers = Checkers.all(this);
		for (int domain = 0; domain < domainCount; domain++) {
			FailureDomain name = FailureDomain.of("domain-" + (char) ('a' + domain));
			this.domains.add(name);
			for (int host = 0; host < HOSTS_PER_DOMAIN; host++) {
				HostId id = HostId.of("host-" + (char) ('a' + domain) + host);
				this.processes.add(new SimProcess(id, name));
				this.controlProcesses.add(new SimProcess(HostId.of(id + "-control"), name));
			}
		}
		this.trainer = new Trainer(this);
		this.engines = new FakeEngines(this);
		this.endpoints = new FakeEndpoints(this, seed + 4);
		this.operators = new Operators(this, initial());
		this.processes.forEach(this::start);
		this.controlProcesses.forEach(this::start);
		this.trainer.start();
		this.loop.after(PROBE_MILLIS, this::probeAgain);
		this.loop.after(REQUEST_MILLIS, this::call);
	}

	private Configuration initial() {
		List<Inventory.DomainEntry> entries = this.domains.stream()
			.map((domain) -> new Inventory.DomainEntry(domain, "region"))
			.toList();
		Inventory inventory = new Inventory("scenario", entries, List.of(), List.of(),
				WORKSPACES.stream()
					.map((workspace) -> new Inventory.WorkspaceEntry(workspace, 1, List.of(SERVICE), List.of()))
					.toList());
		Rules rules = new Rules(List.of(), List.of(), List.of(), new Rules.AdmissionRule(100, 5_000, 60_000),
				new Rules.UsageRule(ControlNode.WINDOW_MILLIS, ControlNode.GRACE_MILLIS),
				new Rules.IsolationRule(Rules.WhenIsolated.REFUSE, 4_000),
				new Rules.PolicyRule("fair", "affinity", "ramp", "demand", "waves", "resume"));
		KeyTable table = KeyTable.empty();
		for (int i = 0; i < 2 * WORKSPACES.size() + 2; i++) {
			WorkspaceId workspace = WORKSPACES.get(i % WORKSPACES.size());
			table = table.withGrant(this.keys.grant(workspace), workspace);
		}
		return new Configuration(1, inventory, rules, table, Set.of());
	}

	/** Returns the control processes of a domain. */
	List<ControlNode> controls(FailureDomain domain) {
		return this.controlsOf.get(domain);
	}

	/** Starts the nodes of a process. */
	void start(SimProcess process) {
		if (this.controlProcesses.contains(process)) {
			this.controls.put(process, new ControlNode(this, process));
			this.controlsOf.put(process.domain,
					this.controls.values()
						.stream()
						.filter((control) -> control.process().domain.equals(process.domain))
						.toList());
			new ConfigurationDuty(this, process);
		}
		else {
			this.entries.put(process, new EntryNode(this, process));
			this.credits.put(process, new CreditNode(this, process));
			this.rollouts.put(process, new RolloutNode(this, process));
		}
	}

	void emit(Fact fact) {
		this.checkers.forEach((checker) -> checker.on(fact));
	}

	void run(long untilElapsed) {
		this.loop.run(untilElapsed, () -> this.checkers.forEach(Checker::afterStep));
	}

	long nextId() {
		return ++this.ids;
	}

	BatchRecord record(byte[] token) {
		return this.records.get(new String(token, StandardCharsets.UTF_8));
	}

	SimProcess anyHost() {
		return this.processes.get(this.random.nextInt(this.processes.size()));
	}

	/** Picks the host that gets a fetch: mostly the one that runs the step. */
	SimProcess rolloutHost(int step) {
		if (this.random.nextInt(8) > 0) {
			for (SimProcess process : this.processes) {
				if (process.isRunning(this.loop.now()) && this.rollouts.get(process).runs(step)) {
					return process;
				}
			}
		}
		return anyHost();
	}

	/** Picks the host of a second copy, in another domain where one is reachable. */
	@Nullable SimProcess secondHolder(SimProcess first) {
		List<SimProcess> others = this.processes.stream()
			.filter((other) -> other != first && other.isRunning(this.loop.now())
					&& this.network.connects(first, other))
			.toList();
		List<SimProcess> apart = others.stream().filter((other) -> !other.domain.equals(first.domain)).toList();
		List<SimProcess> from = apart.isEmpty() ? others : apart;
		return from.isEmpty() ? null : from.get(this.random.nextInt(from.size()));
	}

	boolean isCopied(SimProcess holder, String id) {
		return this.rollouts.get(holder).held(id) != null;
	}

	RolloutNode.@Nullable Attempt sample(SimProcess reader, BatchRecord.Entry sample) {
		for (SimProcess holder : this.processes) {
			if (sample.holders().contains(holder.host) && holder.isRunning(this.loop.now())
					&& this.network.connects(reader, holder)) {
				RolloutNode.Attempt body = this.rollouts.get(holder).held(sample.id());
				if (body != null) {
					return body;
				}
			}
		}
		return null;
	}

	void drop(SimProcess from, String id) {
		this.processes.forEach((holder) -> this.network.send(from, holder, () -> this.rollouts.get(holder).drop(id)));
	}

	void domainsOutAccepted(Configuration configuration) {
		this.journal
			.trace(() -> "version " + configuration.version() + " accepted, out: " + configuration.domainsOut());
	}

	private void call() {
		SimProcess process = anyHost();
		List<KeyHash> all = this.keys.all();
		KeyHash key = all.get(this.random.nextInt(all.size()));
		int connection = this.random.nextInt(CONNECTIONS);
		boolean streaming = this.random.nextInt(8) == 0;
		this.loop.after(this.network.latency(), process, () -> {
			EntryNode entry = this.entries.get(process);
			boolean ran = entry.request(connection, key, streaming).isRight();
			emit(new Fact.Asked(process, connection, key, ran));
			if (ran) {
				RequestText text = new RequestText(this.keys.text(key), this.random);
				emit(new Fact.Sent(text, text.toEndpoint(this.variant)));
			}
		});
		this.loop.after(REQUEST_MILLIS / 2 + this.random.nextInt((int) REQUEST_MILLIS), this::call);
	}

	private void probeAgain() {
		probe();
		this.loop.after(PROBE_MILLIS, this::probeAgain);
	}

	/** Finds which entry processes reach the store over some chain. */
	void probe() {
		long now = this.loop.now();
		Set<SimProcess> connected = new HashSet<>();
		if (!this.network.store.isDown()) {
			this.controlProcesses.stream()
				.filter((control) -> control.isRunning(now) && this.network.reachesPlatform(control))
				.forEach((control) -> this.processes.stream()
					.filter((entry) -> entry.domain.equals(control.domain) && entry.isRunning(now))
					.forEach(connected::add));
		}
		boolean grown = true;
		while (grown) {
			grown = false;
			for (SimProcess entry : this.processes) {
				if (!connected.contains(entry) && entry.isRunning(now)
						&& connected.stream().anyMatch((other) -> this.network.connects(entry, other))) {
					grown |= connected.add(entry);
				}
			}
		}
		this.processes.forEach((entry) -> {
			if (!connected.contains(entry)) {
				entry.connectedSince = -1;
			}
			else if (entry.connectedSince < 0) {
				entry.connectedSince = now;
			}
		});
	}

}
