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
import org.bamboorelay.standins.connection.CallRecord;
import org.bamboorelay.standins.connection.Faults;
import org.bamboorelay.standins.connection.StandinReply;
import org.bamboorelay.standins.connection.StandinServer;
import org.bamboorelay.standins.connection.StandinService;

/**
 * The stand-ins of one process, each with its own port, faults and record.
 * <p>
 * Started and closed by one thread; the ports can be read by any.
 */
public final class StandinProcess implements AutoCloseable {

	/** How often the token clock of an engine moves, in milliseconds. */
	private static final long PACE_MILLIS = 5;

	private static final int RECORD_LIMIT = 20_000;

	private static final int WEIGHT_BYTES = 65_536;

	private final Map<String, StandinServer> servers = new LinkedHashMap<>();

	private final List<Thread> loops = new ArrayList<>();

	private final HttpConnectionPool pool = new HttpConnectionPool();

	private final ScheduledExecutorService pacer = Executors.newSingleThreadScheduledExecutor((task) -> {
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
	 * @throws IOException where a port cannot be bound
	 * @throws IllegalArgumentException where an option has a value that cannot be used
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
	 * Returns the ports.
	 * @return the port of each kind that is served
	 */
	public Map<String, Integer> ports() {
		Map<String, Integer> ports = new LinkedHashMap<>();
		this.servers.forEach((kind, server) -> ports.put(kind, server.port()));
		return ports;
	}

	@Override
	public void close() {
		this.loops.forEach(Thread::interrupt);
		this.pacer.shutdownNow();
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
			case "scoring" ->
				serve(kind, "port", new ScoringService(this.options.whole("latency-ms", 0)), new Faults(), newRecord());
			default -> throw new IllegalArgumentException("option --kind has no such value: \"" + kind + "\"");
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
		OrderingTable table = new OrderingTable(new HttpEndpointStarter(this.pool), hosts);
		serve("ordering", portOption, new OrderingService(table, faults), faults, newRecord());
	}

	private void openUsageIntake(String portOption) throws IOException {
		serve("usage-intake", portOption, new UsageIntakeService(), new Faults(), newRecord());
	}

	private void openHostList(String portOption, HostTable hosts) throws IOException {
		serve("host-list", portOption, new HostListService(hosts), new Faults(), newRecord());
	}

	private void openWeightStore(String portOption) throws IOException {
		WeightStoreService service = new WeightStoreService(this.clock, this.options.number("rate", 0),
				this.options.small("weight-bytes", WEIGHT_BYTES));
		serve("weight-store", portOption, service, new Faults(), newRecord());
	}

	private void openEngine() throws IOException {
		EngineSettings settings = engineSettings();
		Faults faults = new Faults();
		CallRecord record = newRecord();
		EngineState state = new EngineState(settings, this.clock, record, !this.options.flag("pooled", false));
		WeightSource weights = this.options.has("weight-store")
				? new HttpWeightSource(this.pool, this.options.text("weight-store", "")) : (line, version) -> 200;
		EngineOrders orders = new EngineOrders(state, weights, faults, settings.honoursFencing());
		serve("model-engine", "port", new EngineService(settings, state, orders, faults, record), faults, record);
		this.pacer.scheduleAtFixedRate(state::advance, PACE_MILLIS, PACE_MILLIS, TimeUnit.MILLISECONDS);
	}

	private EngineSettings engineSettings() {
		int capacity = this.options.small("capacity", 8);
		return new EngineSettings(identity(), capacity, this.options.number("tokens-per-second", 200),
				List.of(this.options.text("lines", "base").split(",")), this.options.whole("cold-start-ms", 0),
				this.options.small("cold-bears", Math.max(1, capacity / 4)), this.options.flag("honours-fencing", true),
				this.options.whole("report-lag-ms", 0), this.options.whole("cache-lag-ms", 500),
				this.options.small("cache-gap-every", 10), this.options.small("cache-blocks", 1024),
				"drawn".equals(this.options.text("lengths", "full")));
	}

	private void openPlainService() throws IOException {
		Faults faults = new Faults();
		CallRecord record = newRecord();
		PlainService service = new PlainService(identity(), faults, record, this.clock,
				this.options.whole("latency-ms", 0), this.options.small("capacity", 16),
				!this.options.flag("pooled", false));
		serve("plain-service", "port", service, faults, record);
	}

	private void openTrainer() throws IOException {
		CallRecord record = newRecord();
		TrainerSettings settings = new TrainerSettings(this.options.text("entry", "127.0.0.1:8080"),
				this.options.text("key", ""), this.options.text("trainer", "trainer-1"),
				this.options.text("service", "service"), this.options.text("line", "base"),
				this.options.small("prompts", 8), this.options.small("samples", 4),
				this.options.small("max-tokens", 64), this.options.whole("steps", 0),
				this.options.whole("first-version", 1), this.options.whole("first-seq", 0),
				this.options.small("batch-max", 64), this.options.whole("train-ms", 0));
		BatchLedger ledger = new BatchLedger(record, this.options.whole("staleness-bound", 1));
		serve("trainer", "port", (request) -> StandinReply.problem(404, "a trainer serves nothing"), new Faults(),
				record);
		Thread loop = new Thread(new TrainerLoop(settings, this.pool, ledger, record, this.clock), "trainer");
		loop.setDaemon(true);
		loop.start();
		this.loops.add(loop);
	}

	private EndpointIdentity identity() {
		return new EndpointIdentity(this.options.text("endpoint", "endpoint-1"),
				this.options.text("service", "service"), this.options.text("domain", "domain-a"));
	}

	private HostTable hosts() {
		return new HostTable(this.clock, this.options.whole("lag-ms", 0));
	}

	private CallRecord newRecord() {
		return new CallRecord(this.options.small("record-limit", RECORD_LIMIT));
	}

	private void serve(String kind, String portOption, StandinService service, Faults faults, CallRecord record)
			throws IOException {
		this.servers.put(kind,
				StandinServer.open(this.options.small(portOption, 0), service, faults, record, this.clock));
	}

}
