package org.bamboorelay.core.process;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Random;
import java.util.Set;
import java.util.TreeMap;

import com.fasterxml.jackson.databind.JsonNode;
import io.vavr.control.Either;
import io.vavr.control.Option;
import org.bamboorelay.core.failure.Failure;
import org.bamboorelay.core.request.BatchRecord;
import org.bamboorelay.core.request.DeliveryState;
import org.bamboorelay.core.request.SampleSlot;
import org.bamboorelay.core.request.StalenessBound;
import org.bamboorelay.core.store.FakeObjectStore.Fault;
import org.bamboorelay.core.store.StoreFailure;
import org.bamboorelay.core.store.StoredObject;
import org.bamboorelay.core.version.Configuration;
import org.bamboorelay.core.version.ConfigurationRepository;
import org.bamboorelay.core.version.CoreJson;
import org.bamboorelay.core.version.EndpointId;
import org.bamboorelay.core.version.HostId;
import org.bamboorelay.core.version.Inventory;
import org.bamboorelay.core.version.KeyHash;
import org.bamboorelay.core.version.KeyTable;
import org.bamboorelay.core.version.Rules;
import org.bamboorelay.core.version.WorkspaceId;

/**
 * The simulated system of scripted scenarios: control processes, operators, the entry
 * hosts of a training step, and owners of endpoints, with one store and one clock. All
 * interactions are recorded in a transcript, one JSON object per line.
 */
final class ScenarioWorld implements ScenarioScript.World {

	private static final int TICK_MILLIS = 20;

	private static final long RENEW_INTERVAL_MILLIS = 1_000;

	private final ControlProcessSimulation simulation;

	private final long startMillis;

	private final List<String> transcript = new ArrayList<>();

	private final Set<Integer> frozenControls = new HashSet<>();

	/**
	 * The fault, {@code freeze} or {@code kill}, of the control process that next writes
	 * a key with the given prefix.
	 */
	private final Map<String, String> faultsOnWrite = new TreeMap<>();

	private final Set<String> keysToLoseAnswerOf = new HashSet<>();

	private final Map<String, Operator> operators = new TreeMap<>();

	private final Map<String, DeliveryState> deliveries = new TreeMap<>();

	private final Map<String, CreditLedger> ownerLedgers = new TreeMap<>();

	private final Map<String, Request> requests = new LinkedHashMap<>();

	private final Map<String, Integer> ordersSeen = new LinkedHashMap<>();

	private final Set<Long> reportsSeen = new HashSet<>();

	private String actor = "script";

	private String currentWriteKey = "";

	private int currentControl = -1;

	private long idCount;

	private long lastRenewalMillis;

	ScenarioWorld(int controlCount) {
		this.simulation = new ControlProcessSimulation(1, controlCount, true);
		this.startMillis = this.simulation.clock.millis();
		this.simulation.store.beforeWrite((key) -> this.currentWriteKey = key);
		this.simulation.store.faults(() -> this.keysToLoseAnswerOf.removeIf(this.currentWriteKey::startsWith)
				? Fault.RESPONSE_LOST : Fault.NONE);
		this.simulation.store.onWritten(this::written);
		this.simulation.store.onCall(this::onStoreCall);
	}

	String transcript() {
		return String.join("\n", this.transcript) + "\n";
	}

	@Override
	public void advanceTo(long millis) {
		while (elapsedMillis() < millis) {
			for (int i = 0; i < this.simulation.controlProcesses.size(); i++) {
				if (!this.frozenControls.contains(i)) {
					this.currentControl = i;
					this.actor = "control-" + i;
					this.simulation.controlProcesses.get(i).step();
					recordArrivals();
				}
			}
			this.currentControl = -1;
			this.actor = "script";
			this.simulation.clock.advance((int) Math.min(TICK_MILLIS, millis - elapsedMillis()));
			this.simulation.checkInvariants();
			updateCredits();
		}
	}

	@Override
	public void act(String verb, List<String> arguments) {
		line(Map.of("do", verb, "with", arguments));
		String name = arguments.isEmpty() ? "" : arguments.get(0);
		switch (verb) {
			case "freeze" -> this.frozenControls.add(Integer.valueOf(name));
			case "thaw" -> this.frozenControls.remove(Integer.valueOf(name));
			case "kill" -> this.simulation.kill(Integer.parseInt(name));
			case "on-write" -> this.faultsOnWrite.put(name, arguments.get(1));
			case "serve" -> serve(name, parseNumber(arguments, 1));
			case "store" -> this.simulation.store.down(name.equals("down"));
			case "lose-answer-of" -> this.keysToLoseAnswerOf.add(name);
			case "configure" -> configure();
			case "read-configuration" -> operator(name).read();
			case "grant" -> operator(name).grant(arguments.get(1));
			case "withdraw" -> operator(name).withdraw(arguments.get(1));
			case "step" -> this.deliveries.put(name, DeliveryState.of(2, parseNumber(arguments, 1)));
			case "sample" -> sample(name, arguments.get(1), (int) parseNumber(arguments, 2));
			case "fetch" -> fetch(name, parseNumber(arguments, 1));
			case "own" -> own(name, EndpointId.of(arguments.get(1)), (int) parseNumber(arguments, 2));
			case "kill-owner" -> this.ownerLedgers.remove(name);
			case "domain-out" -> this.ownerLedgers.get(name)
				.ownedEndpoints()
				.forEach((endpoint) -> this.ownerLedgers.get(name).accepting(endpoint, false));
			case "request" -> this.requests.put(name, new Request());
			case "end" -> end(name);
			default -> throw new IllegalArgumentException("unknown verb " + verb);
		}
		recordArrivals();
	}

	@Override
	public String fact(String name, List<String> arguments) {
		Object found = switch (name) {
			case "holds" -> this.simulation.controlProcesses.get((int) parseNumber(arguments, 0)).domainLease.isHeld();
			case "violations" -> this.simulation.violations.size();
			case "orders" -> this.simulation.effectiveOrders.size();
			case "late-orders" -> this.simulation.ordersAfterLeaseEnd;
			case "late-reports" -> this.simulation.reportsAfterLeaseEnd;
			case "reported" -> this.simulation.reportedRequests();
			case "version" -> operator(arguments.get(0)).lastReading.configuration().version();
			case "accepted" -> operator(arguments.get(0)).accepted;
			case "granted" -> operator(arguments.get(0)).lastReading.configuration().keys().granted().size();
			case "withdrawn" -> operator(arguments.get(0)).lastReading.configuration().keys().withdrawn().size();
			case "batch" -> batch(parseNumber(arguments, 0));
			case "lent" -> this.ownerLedgers.get(arguments.get(0)).outstanding(EndpointId.of(arguments.get(1)));
			case "at" -> this.requests.get(arguments.get(0)).location();
			default -> throw new IllegalArgumentException("unknown fact " + name);
		};
		return String.valueOf(found);
	}

	private void serve(String host, long count) {
		ControlProcessSimulation.EntryProcess entry = Objects.requireNonNull(this.simulation.entryProcesses.get(host),
				host);
		entry.requests += count;
	}

	private long elapsedMillis() {
		return this.simulation.clock.millis() - this.startMillis;
	}

	private static long parseNumber(List<String> arguments, int index) {
		return Long.parseLong(arguments.get(index));
	}

	private void line(Map<String, ?> fields) {
		Map<String, Object> line = new LinkedHashMap<>();
		line.put("at", elapsedMillis());
		line.put("by", this.actor);
		line.putAll(new TreeMap<>(fields));
		this.transcript.add(new String(CoreJson.bytes(line), StandardCharsets.UTF_8));
	}

	private void onStoreCall(String call, String key, byte[] body, Either<StoreFailure, ?> result) {
		Option<JsonNode> value = CoreJson.read(body, JsonNode.class);
		String answer = result.fold(StoreFailure::code, String::valueOf);
		line(value.isDefined() ? Map.of("store", call, "key", key, "answer", answer, "value", value.get())
				: Map.of("store", call, "key", key, "answer", answer));
	}

	private void written(StoredObject object) {
		if (this.currentControl < 0) {
			return;
		}
		this.faultsOnWrite.entrySet().removeIf((armed) -> {
			if (!object.key().startsWith(armed.getKey())) {
				return false;
			}
			if (armed.getValue().equals("kill")) {
				this.simulation.kill(this.currentControl);
			}
			else {
				this.frozenControls.add(this.currentControl);
			}
			return true;
		});
	}

	/** Adds new arrivals of orders and reports to the transcript. */
	private void recordArrivals() {
		this.simulation.effectiveOrders.forEach((order, count) -> {
			if (!count.equals(this.ordersSeen.put(order, count))) {
				line(Map.of("order", order, "arrivals", count));
			}
		});
		this.simulation.reports.forEach((window, report) -> {
			if (this.reportsSeen.add(window)) {
				line(Map.of("report", report));
			}
		});
	}

	private void configure() {
		Rules rules = new Rules(List.of(), List.of(), List.of(), new Rules.AdmissionRule(10, 1_000, 1_000),
				new Rules.UsageRule(60_000, 5_000), new Rules.IsolationRule(Rules.WhenIsolated.REFUSE, 4_000),
				new Rules.PolicyRule("fair", "affinity", "ramp", "demand", "waves", "resume"));
		Inventory inventory = new Inventory("parcela", List.of(), List.of(), List.of(), List.of());
		assembly("first").write(new Configuration(1, inventory, rules, KeyTable.empty(), Set.of()), Option.none());
	}

	private ConfigurationRepository assembly(String name) {
		return ConfigurationRepository.over(this.simulation.store, () -> name + "-" + (++this.idCount));
	}

	private Operator operator(String name) {
		return this.operators.computeIfAbsent(name, (unused) -> new Operator(assembly(name)));
	}

	private void sample(String host, String id, int index) {
		this.deliveries.get(host)
			.ready(new BatchRecord.Entry(id, new SampleSlot(0, index), 1, 3, 100,
					List.of(HostId.of("a-1"), HostId.of("b-1"))));
	}

	/**
	 * Answers a fetch as an entry host does: creates the batch record or uses the
	 * existing one.
	 */
	private void fetch(String host, long seq) {
		DeliveryState delivery = this.deliveries.get(host);
		for (DeliveryState.Action action : delivery.fetch(seq, false, 9, 1, new StalenessBound(1),
				host + "-" + (++this.idCount))) {
			if (action instanceof DeliveryState.Action.Propose propose) {
				String key = "delivery/cartas/1/" + propose.record().seq();
				this.simulation.store.create(key, CoreJson.bytes(propose.record()));
				delivery.applyRecord(stored(key));
				fetch(host, seq);
			}
			else {
				line(Map.of("answer", action.getClass().getSimpleName(), "host", host, "seq", seq));
			}
		}
	}

	private BatchRecord stored(String key) {
		return CoreJson.read(this.simulation.store.read(key).get().get().body(), BatchRecord.class).get();
	}

	private String batch(long seq) {
		return String.join(",",
				stored("delivery/cartas/1/" + seq).samples().stream().map(BatchRecord.Entry::id).toList());
	}

	private void own(String owner, EndpointId endpoint, int capacity) {
		CreditLedger ledger = CreditLedger.of(EndpointSelection.of(new Random(1)), () -> ++this.idCount);
		ledger.policies(false, true);
		ledger.addEndpoint(endpoint, false, capacity, this.simulation.clock.millis());
		this.ownerLedgers.put(owner, ledger);
	}

	private void end(String name) {
		Request request = this.requests.get(name);
		CreditLedger owner = this.ownerLedgers.get(request.owner);
		if (owner != null) {
			owner.release(request.credit, CreditLedger.Outcome.OK, 5, this.simulation.clock.millis());
		}
		request.ended = true;
	}

	/**
	 * Lends credits to waiting requests in their order; running requests renew their
	 * credits once a second.
	 */
	private void updateCredits() {
		long millis = this.simulation.clock.millis();
		boolean renew = millis - this.lastRenewalMillis >= RENEW_INTERVAL_MILLIS;
		this.lastRenewalMillis = renew ? millis : this.lastRenewalMillis;
		this.requests.forEach((name, request) -> {
			if (request.ended) {
				return;
			}
			if (request.endpoint == null) {
				this.ownerLedgers.forEach((owner, ledger) -> lendIfWaiting(name, request, owner, ledger, millis));
			}
			else if (renew && !renewed(request, millis)) {
				this.ownerLedgers
					.forEach((owner, ledger) -> ledger.adopt(request.endpoint, millis).forEach((credit) -> {
						request.owner = owner;
						request.credit = credit;
						line(Map.of("adopted", name, "owner", owner));
					}));
			}
		});
	}

	private void lendIfWaiting(String name, Request request, String owner, CreditLedger ledger, long millis) {
		if (request.endpoint == null) {
			ledger.grant(new EndpointSelection.Query(true, true, 0, 1, Set.of()), millis).forEach((loan) -> {
				request.owner = owner;
				request.credit = loan.credit();
				request.endpoint = loan.endpoint();
				line(Map.of("lent", name, "owner", owner, "endpoint", loan.endpoint()));
			});
		}
	}

	private boolean renewed(Request request, long millis) {
		CreditLedger owner = this.ownerLedgers.get(request.owner);
		return owner != null && owner.renew(request.credit, millis);
	}

	/** A request of a caller and its credit. */
	private static final class Request {

		private String owner = "";

		private long credit;

		private @org.jspecify.annotations.Nullable EndpointId endpoint;

		private boolean ended;

		private String location() {
			return (this.endpoint != null) ? this.endpoint.value() : "queue";
		}

	}

	/** An operator and the configuration that it read last. */
	private static final class Operator {

		private final ConfigurationRepository assembly;

		private ConfigurationRepository.Snapshot lastReading = new ConfigurationRepository.Snapshot(0, null);

		private String accepted = "none";

		private Operator(ConfigurationRepository assembly) {
			this.assembly = assembly;
		}

		private void read() {
			this.lastReading = this.assembly.read().get().get();
		}

		private void grant(String key) {
			Configuration next = this.lastReading.configuration()
				.withKeys(
						this.lastReading.configuration().keys().withGrant(KeyHash.ofKey(key), WorkspaceId.of("norte")));
			this.accepted = accepted(this.assembly.write(next, Option.some(this.lastReading)));
		}

		private void withdraw(String key) {
			this.accepted = accepted(this.assembly.withdraw(Set.of(KeyHash.ofKey(key)), 3));
		}

		private static String accepted(Either<Failure, Configuration> result) {
			return result.fold(Failure::code, (written) -> "version-" + written.version());
		}

	}

}
