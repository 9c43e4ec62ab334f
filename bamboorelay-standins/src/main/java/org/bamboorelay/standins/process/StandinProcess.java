package org.bamboorelay.standins.process;

import java.io.IOException;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;

import org.bamboorelay.core.time.Clock;
import org.bamboorelay.runtime.connection.HttpConnectionPool;
import org.bamboorelay.standins.connection.Faults;
import org.bamboorelay.standins.connection.RequestRecord;
import org.bamboorelay.standins.connection.StandinResponse;
import org.bamboorelay.standins.connection.StandinServer;
import org.bamboorelay.standins.connection.StandinService;

/**
 * The stand-ins of one process, each with its own port, faults and request record.
 * <p>
 * Started and closed by one thread; any thread may read the ports.
 */
public final class StandinProcess implements AutoCloseable {

	/** Interval at which the simulation of an engine is advanced, in milliseconds. */
	private static final long ADVANCE_INTERVAL_MILLIS = 5;

	private static final int DEFAULT_RECORD_LINES = 20_000;

	private static final int DEFAULT_WEIGHT_BYTES = 65_536;

	private final Map<String, StandinServer> servers = new LinkedHashMap<>();

	private final List<Thread> trainerThreads = new ArrayList<>();

	private final HttpConnectionPool pool = new HttpConnectionPool();

	private final ScheduledExecutorService advanceScheduler = Executors.newSingleThreadScheduledExecutor((task) -> {
		Thread thread = new Thread(task, "engine-pacer");
		thread.setDaemon(true);
		return thread;
	});

	private final Clock clock = Clock.wall();

	private final StandinOptions options;

	private StandinProcess(StandinOptions options) {
		this.options = options;
	}

	/**
	 * Starts the stand-ins of a kind.
	 * @param options the options
	 * @return the running stand-ins
	 * @throws IOException if a port cannot be bound
	 * @throws IllegalArgumentException if an option has an invalid value
	 */
	public static StandinProcess start(StandinOptions options) throws IOException {
		StandinProcess process = new StandinProcess(options);
		try {
			process.open(options.kind());
			return process;
		}
		catch (IOException | RuntimeException ex) {
			process.close();
			throw ex;
		}
	}

	/**
	 * Returns the ports of the stand-ins.
	 * @return the port of each kind that is served
	 */
	public Map<String, Integer> ports() {
		Map<String, Integer> ports = new LinkedHashMap<>();
		this.servers.forEach((kind, server) -> ports.put(kind, server.port()));
		return ports;
	}

	@Override
	public void close() {
		this.trainerThreads.forEach(Thread::interrupt);
		this.advanceScheduler.shutdownNow();
		this.servers.values().forEach(StandinServer::close);
		this.pool.close();
	}

	private void open(String kind) throws IOException {
		switch (kind) {
			case "object-api" -> openObjectApi("port");
			case "ordering" -> openOrdering("port", hosts());
			case "usage-intake" -> openUsageIntake("port");
			case "host-list" -> openHostList("port", hosts());
			case "weight-store" -> openWeightStore("port");
			case "platform" -> openPlatform();
			case "model-engine" -> openEngine();
			case "plain-service" -> openPlainService();
			case "trainer" -> openTrainer();
			case "scoring" -> serve(kind, "port", new ScoringService(this.options.longValue("latency-ms", 0)),
					new Faults(), newRecord());
			default -> throw new IllegalArgumentException("unknown value of option --kind: \"" + kind + "\"");
		}
	}

	private void openPlatform() throws IOException {
		HostTable hosts = hosts();
		openObjectApi("object-api-port");
		openOrdering("ordering-port", hosts);
		openUsageIntake("usage-intake-port");
		openHostList("host-list-port", hosts);
		openWeightStore("weight-store-port");
	}

	private void openObjectApi(String portOption) throws IOException {
		serve("object-api", portOption, new ObjectApiService(new ObjectTable()), new Faults(), newRecord());
	}

	private void openOrdering(String portOption, HostTable hosts) throws IOException {
		Faults faults = new Faults();
		EndpointPool endpointPool = new EndpointPool(new HttpEndpointController(this.pool), hosts);
		serve("ordering", portOption, new OrderingService(endpointPool, faults), faults, newRecord());
	}

	private void openUsageIntake(String portOption) throws IOException {
		serve("usage-intake", portOption, new UsageIntakeService(), new Faults(), newRecord());
	}

	private void openHostList(String portOption, HostTable hosts) throws IOException {
		serve("host-list", portOption, new HostListService(hosts), new Faults(), newRecord());
	}

	private void openWeightStore(String portOption) throws IOException {
		WeightStoreService service = new WeightStoreService(this.clock, this.options.doubleValue("rate", 0),
				this.options.intValue("weight-bytes", DEFAULT_WEIGHT_BYTES));
		serve("weight-store", portOption, service, new Faults(), newRecord());
	}

	private void openEngine() throws IOException {
		EngineSettings settings = engineSettings();
		Faults faults = new Faults();
		RequestRecord record = newRecord();
		SimulatedEngine engine = new SimulatedEngine(settings, this.clock, record,
				!this.options.booleanValue("pooled", false));
		WeightSource weights = this.options.has("weight-store")
				? new HttpWeightSource(this.pool, this.options.stringValue("weight-store", ""))
				: (line, version) -> 200;
		EngineOrders orders = new EngineOrders(engine, weights, faults, settings.honoursFencing());
		serve("model-engine", "port", new EngineService(settings, engine, orders, faults, record), faults, record);
		this.advanceScheduler.scheduleAtFixedRate(engine::advance, ADVANCE_INTERVAL_MILLIS, ADVANCE_INTERVAL_MILLIS,
				TimeUnit.MILLISECONDS);
	}

	private EngineSettings engineSettings() {
		int capacity = this.options.intValue("capacity", 8);
		return new EngineSettings(identity(), capacity, this.options.doubleValue("tokens-per-second", 200),
				List.of(this.options.stringValue("lines", "base").split(",")),
				this.options.longValue("cold-start-ms", 0),
				this.options.intValue("cold-bears", Math.max(1, capacity / 4)),
				this.options.booleanValue("honours-fencing", true), this.options.longValue("report-lag-ms", 0),
				this.options.longValue("cache-lag-ms", 500), this.options.intValue("cache-gap-every", 10),
				this.options.intValue("cache-blocks", 1024),
				"drawn".equals(this.options.stringValue("lengths", "full")));
	}

	private void openPlainService() throws IOException {
		Faults faults = new Faults();
		RequestRecord record = newRecord();
		PlainService service = new PlainService(identity(), faults, record, this.clock,
				this.options.longValue("latency-ms", 0), this.options.intValue("capacity", 16),
				!this.options.booleanValue("pooled", false));
		serve("plain-service", "port", service, faults, record);
	}

	private void openTrainer() throws IOException {
		RequestRecord record = newRecord();
		TrainerSettings settings = new TrainerSettings(this.options.stringValue("entry", "127.0.0.1:8080"),
				this.options.stringValue("key", ""), this.options.stringValue("trainer", "trainer-1"),
				this.options.stringValue("service", "service"), this.options.stringValue("line", "base"),
				this.options.intValue("prompts", 8), this.options.intValue("samples", 4),
				this.options.intValue("max-tokens", 64), this.options.longValue("steps", 0),
				this.options.longValue("first-version", 1), this.options.longValue("first-seq", 0),
				this.options.intValue("batch-max", 64), this.options.longValue("train-ms", 0));
		BatchVerifier verifier = new BatchVerifier(record, this.options.longValue("staleness-bound", 1));
		serve("trainer", "port", (request) -> StandinResponse.problem(404, "a trainer handles no requests"),
				new Faults(), record);
		Thread trainerThread = new Thread(new TrainerLoop(settings, this.pool, verifier, record, this.clock),
				"trainer");
		trainerThread.setDaemon(true);
		trainerThread.start();
		this.trainerThreads.add(trainerThread);
	}

	private EndpointIdentity identity() {
		return new EndpointIdentity(this.options.stringValue("endpoint", "endpoint-1"),
				this.options.stringValue("service", "service"), this.options.stringValue("domain", "domain-a"));
	}

	private HostTable hosts() {
		return new HostTable(this.clock, this.options.longValue("lag-ms", 0));
	}

	private RequestRecord newRecord() {
		return new RequestRecord(this.options.intValue("record-limit", DEFAULT_RECORD_LINES));
	}

	private void serve(String kind, String portOption, StandinService service, Faults faults, RequestRecord record)
			throws IOException {
		this.servers.put(kind,
				StandinServer.open(this.options.intValue(portOption, 0), service, faults, record, this.clock));
	}

}
