package org.bamboorelay.entry.process;

import java.io.IOException;
import java.util.ArrayList;
import java.util.Collections;
import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import java.util.TreeMap;
import java.util.concurrent.AbstractExecutorService;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.function.Function;

import io.vavr.control.Either;
import io.vavr.control.Option;
import org.bamboorelay.core.connection.PeerMessage;
import org.bamboorelay.core.time.ManualClock;
import org.bamboorelay.core.version.Configuration;
import org.bamboorelay.core.version.ConfigurationSource;
import org.bamboorelay.core.version.EndpointId;
import org.bamboorelay.core.version.FailureDomain;
import org.bamboorelay.core.version.HostId;
import org.bamboorelay.core.version.Inventory;
import org.bamboorelay.core.version.KeyTable;
import org.bamboorelay.core.version.Rules;
import org.bamboorelay.core.version.ServiceId;
import org.bamboorelay.entry.connection.PeerMesh;
import org.bamboorelay.runtime.connection.HttpConnectionPool;
import org.bamboorelay.runtime.connection.HttpListener;
import org.bamboorelay.runtime.connection.PeerFailure;
import org.bamboorelay.runtime.process.Counters;

/**
 * Several entry hosts in one process that call each other directly and share a manual
 * clock.
 */
final class CreditCluster implements AutoCloseable {

	static final ServiceId SERVICE = ServiceId.of("modelo-huerto");

	final ManualClock clock = ManualClock.of(1_000);

	final Map<HostId, CreditService> services = new TreeMap<>();

	final Map<String, String> loadReports = new ConcurrentHashMap<>();

	/** Delay of the next response to a credit request, in milliseconds. */
	long nextGrantDelayMillis;

	/** By host, another host that is missing from its view of the live hosts. */
	final Map<HostId, HostId> hiddenHosts = new ConcurrentHashMap<>();

	private final Map<HostId, Map<Class<?>, Function<PeerMessage, PeerMessage>>> handlers = new HashMap<>();

	private final Set<HostId> live = Collections.synchronizedSet(new LinkedHashSet<>());

	private final List<Consumer<Configuration>> listeners = new ArrayList<>();

	private final HttpConnectionPool pool = new HttpConnectionPool();

	private final HttpListener endpoints;

	private Configuration configuration;

	CreditCluster(int capacity, String... hosts) throws IOException {
		this.endpoints = HttpListener.open("127.0.0.1", 0,
				(request, responder) -> responder.send(200, "application/json", this.loadReports.get("load")), (ex) -> {
				});
		setLoadReport("one", true, capacity, false);
		List<Inventory.DomainEntry> domains = List.of(new Inventory.DomainEntry(FailureDomain.of("a"), "r"),
				new Inventory.DomainEntry(FailureDomain.of("b"), "r"));
		this.configuration = new Configuration(1,
				new Inventory("test", domains, List.of(),
						List.of(new Inventory.ServiceEntry(SERVICE, Inventory.ServiceKind.MODEL, 1, capacity, 0, true,
								List.of(), List.of())),
						List.of()),
				new Rules(List.of(), List.of(), List.of(), new Rules.AdmissionRule(100, 60_000, 60_000),
						new Rules.UsageRule(1_000, 1_000), new Rules.IsolationRule(Rules.WhenIsolated.REFUSE, 4_000),
						new Rules.PolicyRule("fair", "affinity", "no-ramp", "demand", "waves", "resume")),
				KeyTable.empty(), Set.of());
		for (String name : hosts) {
			this.live.add(HostId.of(name));
		}
		for (String name : hosts) {
			HostId host = HostId.of(name);
			this.services.put(host,
					CreditService.builder()
						.mesh(new DirectPeerMesh(host))
						.configuration(new TestConfigurationSource())
						.pool(this.pool)
						.counters(Counters.create())
						.clock(this.clock)
						.random(new Random(7))
						.executor(new DirectExecutor())
						.build());
		}
	}

	CreditService service(String host) {
		return this.services.get(HostId.of(host));
	}

	void setLoadReport(String incarnation, boolean warm, int capacity, boolean leaving) {
		this.loadReports.put("load", "{\"incarnation\":\"" + incarnation + "\",\"warm\":" + warm + ",\"capacity\":"
				+ capacity + ",\"leaving\":" + leaving + ",\"running\":0}");
	}

	PeerMessage.EndpointInfo endpoint(String name, String domain, boolean leaving) {
		return new PeerMessage.EndpointInfo(EndpointId.of(name), "127.0.0.1:" + this.endpoints.port(),
				FailureDomain.of(domain), SERVICE, false, leaving);
	}

	void publishEndpoints(String domain, long sequence, PeerMessage.EndpointInfo... infos) {
		PeerMessage.EndpointSet set = new PeerMessage.EndpointSet(FailureDomain.of(domain), sequence, List.of(infos),
				List.of());
		this.handlers.values().forEach((host) -> host.get(PeerMessage.EndpointSet.class).apply(set));
	}

	/**
	 * Sends an endpoint set to the hosts of its failure domain only, as control processes
	 * do.
	 */
	void publishEndpointsInDomain(String domain, long sequence, PeerMessage.EndpointInfo... infos) {
		PeerMessage.EndpointSet set = new PeerMessage.EndpointSet(FailureDomain.of(domain), sequence, List.of(infos),
				List.of());
		this.handlers.forEach((host, handlers) -> {
			if (host.value().startsWith(domain)) {
				handlers.get(PeerMessage.EndpointSet.class).apply(set);
			}
		});
	}

	/** Delivers the digests of each running host to all others. */
	void exchangeDigests() {
		this.services.forEach((from, sender) -> this.services.forEach((to, receiver) -> {
			if (!from.equals(to)) {
				receiver.applyDigests(from, sender.digests());
			}
		}));
	}

	void setDomainInService(String domain, boolean inService) {
		this.configuration = this.configuration.withDomainInService(FailureDomain.of(domain), inService);
		this.listeners.forEach((listener) -> listener.accept(this.configuration));
	}

	void priorities(Rules.PriorityRule... priorities) {
		Rules rules = this.configuration.rules();
		this.configuration = this.configuration.withInventoryAndRules(this.configuration.inventory(),
				new Rules(List.of(priorities), rules.staleness(), rules.spending(), rules.admission(), rules.usage(),
						rules.isolation(), rules.policies()));
		this.listeners.forEach((listener) -> listener.accept(this.configuration));
	}

	void kill(String host) {
		this.live.remove(HostId.of(host));
		this.services.remove(HostId.of(host));
	}

	/**
	 * Advances the clock in ticks of 50 ms; renews credits and polls loads once a second.
	 */
	void run(long millis) {
		for (long passed = 50; passed <= millis; passed += 50) {
			this.clock.advance(50);
			this.services.values().forEach(CreditService::tick);
			if (this.clock.millis() % 1_000 == 0) {
				this.services.values().forEach(CreditService::keepAlive);
				this.services.values().forEach(CreditService::pollLoads);
			}
		}
	}

	int lent(String endpoint) {
		return this.services.values()
			.stream()
			.flatMap((service) -> service.status().stream())
			.filter((status) -> status.endpoint().value().equals(endpoint))
			.mapToInt(EndpointStatus::lent)
			.sum();
	}

	@Override
	public void close() {
		this.endpoints.close();
		this.pool.close();
	}

	private final class TestConfigurationSource implements ConfigurationSource {

		@Override
		public Option<Configuration> current() {
			return Option.of(CreditCluster.this.configuration);
		}

		@Override
		public void onChange(Consumer<Configuration> listener) {
			CreditCluster.this.listeners.add(listener);
		}

	}

	private final class DirectPeerMesh implements PeerMesh {

		private final HostId self;

		private DirectPeerMesh(HostId self) {
			this.self = self;
		}

		@Override
		public HostId self() {
			return this.self;
		}

		@Override
		public FailureDomain domain(HostId host) {
			return FailureDomain.of(host.value().substring(0, 1));
		}

		@Override
		public Set<HostId> live() {
			synchronized (CreditCluster.this.live) {
				Set<HostId> seen = new LinkedHashSet<>(CreditCluster.this.live);
				seen.remove(CreditCluster.this.hiddenHosts.getOrDefault(this.self, HostId.of("none")));
				return seen;
			}
		}

		@Override
		public Either<PeerFailure, PeerMessage> call(HostId host, PeerMessage message, long timeoutMillis) {
			if (!CreditCluster.this.live.contains(host)) {
				return Either.left(new PeerFailure.Unreachable("host is not live"));
			}
			PeerMessage answer = CreditCluster.this.handlers.get(host).get(message.getClass()).apply(message);
			if (message instanceof PeerMessage.CreditRequest) {
				long delay = CreditCluster.this.nextGrantDelayMillis;
				CreditCluster.this.nextGrantDelayMillis = 0;
				CreditCluster.this.run(delay);
			}
			return Either.right(answer);
		}

		@Override
		public <M extends PeerMessage> void register(Class<M> type, Function<M, PeerMessage> handler) {
			CreditCluster.this.handlers.computeIfAbsent(this.self, (unused) -> new HashMap<>())
				.put(type, (message) -> handler.apply(type.cast(message)));
		}

	}

	/**
	 * Runs background tasks on the calling thread, so that their effects are visible to
	 * the test immediately.
	 */
	private static final class DirectExecutor extends AbstractExecutorService {

		@Override
		public void execute(Runnable command) {
			command.run();
		}

		@Override
		public void shutdown() {
			throw new UnsupportedOperationException();
		}

		@Override
		public List<Runnable> shutdownNow() {
			throw new UnsupportedOperationException();
		}

		@Override
		public boolean isShutdown() {
			return false;
		}

		@Override
		public boolean isTerminated() {
			return false;
		}

		@Override
		public boolean awaitTermination(long timeout, TimeUnit unit) {
			return false;
		}

	}

}
