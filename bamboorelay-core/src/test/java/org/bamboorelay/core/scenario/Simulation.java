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
 * One simulation run: hosts built from the state machines of the core module, fakes of
 * the external systems, and the workload.
 */
final class Simulation {

	static final ServiceId SERVICE = ServiceId.of("modelo-huerto");

	static final List<WorkspaceId> WORKSPACES = List.of(WorkspaceId.of("norte"), WorkspaceId.of("sur"));

	private static final int HOSTS_PER_DOMAIN = 2;

	private static final int CONNECTION_COUNT = 3;

	private static final long CONNECTIVITY_INTERVAL_MILLIS = 100;

	private static final long REQUEST_INTERVAL_MILLIS = 100;

	final Random random;

	final EventLoop loop;

	final Journal journal;

	final Network network;

	final Mutation mutation;

	/** Whether the platform rejects orders with outdated fencing numbers. */
	final boolean platformChecksFencing;

	final List<FailureDomain> domains = new ArrayList<>();

	/** Entry processes, one on each host. */
	final List<SimulatedProcess> processes = new ArrayList<>();

	/** Control processes, one on each host. */
	final List<SimulatedProcess> controlProcesses = new ArrayList<>();

	final Map<SimulatedProcess, ControlNode> controls = new LinkedHashMap<>();

	private final Map<FailureDomain, List<ControlNode>> controlsByDomain = new HashMap<>();

	final Map<SimulatedProcess, EntryNode> entries = new LinkedHashMap<>();

	final Map<SimulatedProcess, RolloutNode> rollouts = new LinkedHashMap<>();

	final Map<SimulatedProcess, CreditNode> credits = new LinkedHashMap<>();

	/** Batch records by token; the store holds only the tokens. */
	final Map<String, BatchRecord> records = new HashMap<>();

	final FakePlatform platform = new FakePlatform(this);

	final UsageTally usage = new UsageTally();

	final KeyRing keys = new KeyRing();

	final FakeEngines engines;

	final FakeEndpoints endpoints;

	final Trainer trainer;

	final Operators operators;

	private final List<Checker> checkers;

	private long lastId;

	Simulation(long seed, int domainCount, Mutation mutation, boolean tracing) {
		this.random = new Random(seed);
		this.loop = new EventLoop(new Random(seed + 1));
		this.journal = new Journal(this.loop, tracing);
		this.network = new Network(this.loop, new Random(seed + 2));
		this.mutation = mutation;
		this.platformChecksFencing = this.random.nextBoolean();
		this.checkers = Checkers.all(this);
		for (int domain = 0; domain < domainCount; domain++) {
			FailureDomain name = FailureDomain.of("domain-" + (char) ('a' + domain));
			this.domains.add(name);
			for (int host = 0; host < HOSTS_PER_DOMAIN; host++) {
				HostId id = HostId.of("host-" + (char) ('a' + domain) + host);
				this.processes.add(new SimulatedProcess(id, name));
				this.controlProcesses.add(new SimulatedProcess(HostId.of(id + "-control"), name));
			}
		}
		this.trainer = new Trainer(this);
		this.engines = new FakeEngines(this);
		this.endpoints = new FakeEndpoints(this, seed + 4);
		this.operators = new Operators(this, initialConfiguration());
		this.processes.forEach(this::start);
		this.controlProcesses.forEach(this::start);
		this.trainer.start();
		this.loop.after(CONNECTIVITY_INTERVAL_MILLIS, this::updateConnectivityPeriodically);
		this.loop.after(REQUEST_INTERVAL_MILLIS, this::sendRequest);
	}

	private Configuration initialConfiguration() {
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
		return this.controlsByDomain.get(domain);
	}

	/** Creates the nodes of a process that starts. */
	void start(SimulatedProcess process) {
		if (this.controlProcesses.contains(process)) {
			this.controls.put(process, new ControlNode(this, process));
			this.controlsByDomain.put(process.domain,
					this.controls.values()
						.stream()
						.filter((control) -> control.process().domain.equals(process.domain))
						.toList());
			new ConfigurationDistributor(this, process);
		}
		else {
			this.entries.put(process, new EntryNode(this, process));
			this.credits.put(process, new CreditNode(this, process));
			this.rollouts.put(process, new RolloutNode(this, process));
		}
	}

	void observe(Observation observation) {
		this.checkers.forEach((checker) -> checker.onObservation(observation));
	}

	void run(long untilElapsedMillis) {
		this.loop.run(untilElapsedMillis, () -> this.checkers.forEach(Checker::afterStep));
	}

	long nextId() {
		return ++this.lastId;
	}

	/** Returns the batch record of a token that was read from the store. */
	BatchRecord record(byte[] token) {
		return this.records.get(new String(token, StandardCharsets.UTF_8));
	}

	SimulatedProcess randomHost() {
		return this.processes.get(this.random.nextInt(this.processes.size()));
	}

	/**
	 * Picks the host that receives a fetch: usually the one that already runs the step.
	 */
	SimulatedProcess rolloutHost(int step) {
		if (this.random.nextInt(8) > 0) {
			for (SimulatedProcess process : this.processes) {
				if (process.isRunning(this.loop.now()) && this.rollouts.get(process).runs(step)) {
					return process;
				}
			}
		}
		return randomHost();
	}

	/**
	 * Picks a reachable host for the second copy of a sample, preferably in another
	 * domain.
	 */
	@Nullable SimulatedProcess secondCopyHost(SimulatedProcess first) {
		List<SimulatedProcess> others = this.processes.stream()
			.filter((other) -> other != first && other.isRunning(this.loop.now())
					&& this.network.connects(first, other))
			.toList();
		List<SimulatedProcess> inOtherDomains = others.stream()
			.filter((other) -> !other.domain.equals(first.domain))
			.toList();
		List<SimulatedProcess> from = inOtherDomains.isEmpty() ? others : inOtherDomains;
		return from.isEmpty() ? null : from.get(this.random.nextInt(from.size()));
	}

	boolean hasCopy(SimulatedProcess holder, String id) {
		return this.rollouts.get(holder).held(id) != null;
	}

	RolloutNode.@Nullable Attempt sample(SimulatedProcess reader, BatchRecord.Entry sample) {
		for (SimulatedProcess holder : this.processes) {
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

	void drop(SimulatedProcess from, String id) {
		this.processes.forEach((holder) -> this.network.send(from, holder, () -> this.rollouts.get(holder).drop(id)));
	}

	void traceDomainsOut(Configuration configuration) {
		this.journal.trace(() -> "version " + configuration.version() + " accepted, domains out of service: "
				+ configuration.domainsOut());
	}

	private void sendRequest() {
		SimulatedProcess process = randomHost();
		List<KeyHash> all = this.keys.all();
		KeyHash key = all.get(this.random.nextInt(all.size()));
		int connection = this.random.nextInt(CONNECTION_COUNT);
		boolean streaming = this.random.nextInt(8) == 0;
		this.loop.after(this.network.latency(), process, () -> {
			EntryNode entry = this.entries.get(process);
			boolean started = entry.request(connection, key, streaming).isRight();
			observe(new Observation.RequestSent(process, connection, key, started));
			if (started) {
				SimulatedRequest text = new SimulatedRequest(this.keys.text(key), this.random);
				observe(new Observation.RequestForwarded(text, text.textsForEndpoint(this.mutation)));
			}
		});
		this.loop.after(REQUEST_INTERVAL_MILLIS / 2 + this.random.nextInt((int) REQUEST_INTERVAL_MILLIS),
				this::sendRequest);
	}

	private void updateConnectivityPeriodically() {
		updateConnectivity();
		this.loop.after(CONNECTIVITY_INTERVAL_MILLIS, this::updateConnectivityPeriodically);
	}

	/**
	 * Determines which entry processes can reach the store, directly through a control
	 * process of their domain or through other entry processes.
	 */
	void updateConnectivity() {
		long now = this.loop.now();
		Set<SimulatedProcess> connected = new HashSet<>();
		if (!this.network.store.isDown()) {
			this.controlProcesses.stream()
				.filter((control) -> control.isRunning(now) && this.network.reachesPlatform(control))
				.forEach((control) -> this.processes.stream()
					.filter((entry) -> entry.domain.equals(control.domain) && entry.isRunning(now))
					.forEach(connected::add));
		}
		boolean changed = true;
		while (changed) {
			changed = false;
			for (SimulatedProcess entry : this.processes) {
				if (!connected.contains(entry) && entry.isRunning(now)
						&& connected.stream().anyMatch((other) -> this.network.connects(entry, other))) {
					changed |= connected.add(entry);
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
