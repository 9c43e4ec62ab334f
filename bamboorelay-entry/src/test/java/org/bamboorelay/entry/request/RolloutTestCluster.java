package org.bamboorelay.entry.request;

import java.nio.charset.StandardCharsets;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Collections;
import java.util.Deque;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.BooleanSupplier;
import java.util.function.Function;

import com.fasterxml.jackson.databind.JsonNode;
import io.vavr.control.Either;
import io.vavr.control.Option;
import org.apache.hc.core5.http.io.entity.EntityUtils;
import org.bamboorelay.core.connection.PeerMessage;
import org.bamboorelay.core.time.ManualClock;
import org.bamboorelay.core.version.Configuration;
import org.bamboorelay.core.version.ConfigurationSource;
import org.bamboorelay.core.version.EndpointId;
import org.bamboorelay.core.version.FailureDomain;
import org.bamboorelay.core.version.HostId;
import org.bamboorelay.core.version.Inventory;
import org.bamboorelay.core.version.KeyTable;
import org.bamboorelay.core.version.LineId;
import org.bamboorelay.core.version.Rules;
import org.bamboorelay.core.version.ServiceId;
import org.bamboorelay.core.version.TrainerId;
import org.bamboorelay.core.version.WeightVersion;
import org.bamboorelay.core.version.WorkspaceId;
import org.bamboorelay.entry.connection.EngineClient;
import org.bamboorelay.entry.connection.EngineFailure;
import org.bamboorelay.entry.connection.PeerMesh;
import org.bamboorelay.runtime.connection.PeerFailure;
import org.bamboorelay.runtime.process.Counters;
import org.bamboorelay.runtime.request.Json;

/**
 * Entry hosts with a shared store, three engines and a peer mesh, on one thread. Tasks
 * are queued until a test runs them, so that no result depends on timing.
 */
final class RolloutTestCluster {

	static final ServiceId MODEL = ServiceId.of("modelo-huerto");

	static final WorkspaceId WORKSPACE = WorkspaceId.of("huerto");

	final InMemoryObjectStore store = new InMemoryObjectStore();

	final ManualClock clock = ManualClock.of(0);

	final Map<String, Host> hosts = new TreeMap<>();

	final Deque<Runnable> tasks = new ArrayDeque<>();

	final List<Long> recordedUsage = Collections.synchronizedList(new ArrayList<>());

	/**
	 * Behaviour of the engines by endpoint; by default one span of the newest version.
	 */
	final Map<String, EngineScript> engineScripts = new HashMap<>();

	final List<EngineClient.EngineRequest> streams = Collections.synchronizedList(new ArrayList<>());

	long engineVersion = 1;

	int maxVersions = 1;

	boolean keyValid = true;

	private final AtomicInteger tokens = new AtomicInteger();

	RolloutTestCluster(String... hostsByDomain) {
		for (String host : hostsByDomain) {
			this.hosts.put(host, new Host(host));
		}
	}

	static byte[] step(int prompts, int samples) {
		return Json.bytes(Map.of("service", MODEL.value(), "prompts",
				java.util.stream.IntStream.range(0, prompts).mapToObj((prompt) -> "prompt " + prompt).toList(),
				"samples_per_prompt", samples, "max_tokens", 8));
	}

	static EngineClient.EngineEvent event(int index, String version) {
		return new EngineClient.EngineEvent(index, " t", 1, (version != null) ? WeightVersion.parse(version) : null);
	}

	/** Returns the host that stores the second copies of the samples of a host. */
	Host secondHolder(Host owner) {
		return this.hosts.values()
			.stream()
			.filter((host) -> host != owner && host.holdsSamples())
			.findFirst()
			.orElseThrow();
	}

	void runTasks() {
		for (Runnable task = this.tasks.poll(); task != null; task = this.tasks.poll()) {
			task.run();
		}
	}

	long counter(String name) {
		return this.hosts.values()
			.stream()
			.flatMap((host) -> host.counters.text().lines())
			.filter((line) -> line.startsWith("bamboorelay_" + name + " "))
			.mapToLong((line) -> Long.parseLong(line.substring(line.lastIndexOf(' ') + 1)))
			.sum();
	}

	/** Behaviour of an engine for one request. */
	interface EngineScript {

		Either<EngineFailure, EngineClient.Finish> run(EngineClient.EngineRequest request,
				EngineClient.Listener listener);

	}

	/** A response to a trainer. */
	record Reply(int status, JsonNode body) {

		List<String> ids() {
			return this.body.path("samples").findValuesAsText("id");
		}

		List<String> slots() {
			List<String> slots = new ArrayList<>();
			this.body.path("samples").forEach((sample) -> slots.add(sample.get("group") + "." + sample.get("index")));
			return slots;
		}

	}

	/** An entry host; its name consists of its failure domain, a hyphen and a number. */
	final class Host implements PeerMesh, CreditSource, EngineClient, ConfigurationSource {

		final HostId id;

		Counters counters = Counters.create();

		final Map<Class<?>, Function<? super PeerMessage, PeerMessage>> handlers = new HashMap<>();

		final Set<String> partitionedFrom = new HashSet<>();

		boolean unreachable;

		RolloutRoutes routes;

		Host(String name) {
			this.id = HostId.of(name);
			start();
		}

		/** Starts a process without the in-memory state of the previous one. */
		void start() {
			// Queries of other hosts are processed synchronously, since the requester
			// blocks the only thread.
			start(new RolloutExecutors(RolloutTestCluster.this.tasks::add, Runnable::run,
					(task, delay) -> RolloutTestCluster.this.tasks.add(task)));
		}

		void start(RolloutExecutors executors) {
			this.handlers.clear();
			this.counters = Counters.create();
			this.routes = RolloutRoutes.of(new RolloutDependencies(this, RolloutTestCluster.this.store, this, this,
					this, (workspace, service, count) -> RolloutTestCluster.this.recordedUsage.add(count),
					this.counters, RolloutTestCluster.this.clock, executors,
					() -> "token-" + RolloutTestCluster.this.tokens.incrementAndGet(),
					new RolloutDependencies.Limits(64, 1_000_000)), ProblemResponder.of(this.counters));
		}

		Reply send(String method, String path, String query, byte[] body) {
			List<Reply> replies = new ArrayList<>();
			BooleanSupplier stillAllowed = () -> RolloutTestCluster.this.keyValid;
			try {
				this.routes.serve(
						new CallerRequest("request", method, path, query, Map.of(), body, WORKSPACE, stillAllowed),
						(response) -> {
							String text = (response.getEntity() != null)
									? EntityUtils.toString(response.getEntity(), StandardCharsets.UTF_8) : "{}";
							replies.add(new Reply(response.getCode(), Json.MAPPER.readTree(text)));
						});
			}
			catch (Exception ex) {
				throw new AssertionError(ex);
			}
			return replies.get(0);
		}

		Reply post(String trainer, int step, byte[] body) {
			return send("POST", "/v1/trainers/" + trainer + "/steps/" + step, null, body);
		}

		Reply weights(String trainer, long version) {
			return send("POST", "/v1/trainers/" + trainer + "/weights", null,
					Json.bytes(Map.of("service", MODEL.value(), "version", version)));
		}

		Reply fetch(String trainer, int step, int seq, int max, long version) {
			return fetch(trainer, step, seq, max, version, false);
		}

		Reply fetch(String trainer, int step, int seq, int max, long version, boolean lostBefore) {
			return send("GET", "/v1/trainers/" + trainer + "/steps/" + step + "/batches/" + seq,
					"max=" + max + "&trainer_version=" + version + "&lost_before=" + lostBefore, new byte[0]);
		}

		boolean holdsSamples() {
			return !this.counters.text().contains("sample_store_bytes 0\n");
		}

		@Override
		public HostId self() {
			return this.id;
		}

		@Override
		public FailureDomain domain(HostId host) {
			return FailureDomain.of(host.value().replaceAll("-\\d+$", ""));
		}

		@Override
		public Set<HostId> live() {
			Set<HostId> live = new TreeSet<>();
			RolloutTestCluster.this.hosts.values().forEach((host) -> {
				if (!host.unreachable && !this.partitionedFrom.contains(host.id.value())) {
					live.add(host.id);
				}
			});
			live.add(this.id);
			return live;
		}

		@Override
		public Either<PeerFailure, PeerMessage> call(HostId host, PeerMessage message, long timeoutMillis) {
			if (!live().contains(host)) {
				return Either.left(new PeerFailure.Unreachable(host + " is cut off"));
			}
			return Either
				.right(RolloutTestCluster.this.hosts.get(host.value()).handlers.get(message.getClass()).apply(message));
		}

		@Override
		@SuppressWarnings("unchecked")
		public <M extends PeerMessage> void register(Class<M> type, Function<M, PeerMessage> handler) {
			this.handlers.put(type, (message) -> handler.apply((M) message));
		}

		@Override
		public Either<org.bamboorelay.core.failure.Refusal, Credit> acquire(RouteRequest request) {
			EndpointId endpoint = List.of("engine-1", "engine-2", "engine-3")
				.stream()
				.map(EndpointId::of)
				.filter((engine) -> !request.excluded().contains(engine))
				.findFirst()
				.orElseThrow();
			return Either.right(new Credit() {

				@Override
				public EndpointId endpoint() {
					return endpoint;
				}

				@Override
				public String address() {
					return endpoint.value();
				}

				@Override
				public void end(Outcome outcome, long firstByteMillis, long count) {
				}

			});
		}

		@Override
		public Either<EngineFailure, Finish> stream(String address, EngineRequest request, Listener listener) {
			RolloutTestCluster.this.streams.add(request);
			EngineScript script = RolloutTestCluster.this.engineScripts.get(address);
			if (script != null) {
				return script.run(request, listener);
			}
			for (int index = 0; index < 2; index++) {
				if (!listener.onEvent(event(index, request.line() + "@" + RolloutTestCluster.this.engineVersion))) {
					return Either.right(new Finish("cancelled", index, 1));
				}
			}
			return Either.right(new Finish("stop", 2, 1));
		}

		@Override
		public Option<Configuration> current() {
			Inventory inventory = new Inventory("test", List.of(), List.of(),
					List.of(new Inventory.ServiceEntry(MODEL, Inventory.ServiceKind.MODEL, 3, 8, 0, true, List.of(),
							List.of())),
					List.of(new Inventory.WorkspaceEntry(WORKSPACE, 1, List.of(MODEL),
							List.of(TrainerId.of("cartas"), TrainerId.of("avisos")))));
			Rules rules = new Rules(List.of(),
					List.of(new Rules.StalenessRule(LineId.of("cartas"), MODEL, RolloutTestCluster.this.maxVersions),
							new Rules.StalenessRule(LineId.of("avisos"), MODEL, 1)),
					List.of(), new Rules.AdmissionRule(1, 1, 1), new Rules.UsageRule(1, 1),
					new Rules.IsolationRule(Rules.WhenIsolated.REFUSE, 1),
					new Rules.PolicyRule("fair", "affinity", "ramp", "demand", "waves", "resume"));
			return Option.of(new Configuration(1, inventory, rules, KeyTable.empty(), Set.of()));
		}

		@Override
		public void onChange(java.util.function.Consumer<Configuration> listener) {
		}

	}

}
