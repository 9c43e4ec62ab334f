package org.bamboorelay.processtests;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Set;
import java.util.TreeMap;
import java.util.stream.Collectors;
import java.util.stream.Stream;

import com.fasterxml.jackson.databind.JsonNode;
import org.bamboorelay.processtests.Http.Reply;
import org.bamboorelay.processtests.Http.Standin;
import org.jspecify.annotations.Nullable;

/**
 * A deployment of separate processes on free loopback ports: platform stand-ins,
 * endpoints, entry and control processes, and operator commands. Peer links, the
 * connections of each domain to the object API and those to the ordering interface run
 * through a {@link Forwarder}.
 * <p>
 * Used by one thread. Closing it terminates exactly the processes that it started.
 */
final class Deployment implements AutoCloseable {

	static final String MODEL = "modelo";

	static final String PLAIN = "cuotas";

	static final String TRAINER = "cartas";

	static final String WORKSPACE = "huertos";

	private static final String TOKEN = "process-tests";

	private static final Set<String> PLATFORM = Set.of("object-api", "ordering", "usage-intake", "host-list",
			"weight-store");

	private static final int HEAP_MEGABYTES = 64;

	private final Path directory;

	private final List<String> domains;

	private final Map<String, Host> hosts = new LinkedHashMap<>();

	private final Map<String, Program> programs = new LinkedHashMap<>();

	private final Map<String, Standin> standins = new TreeMap<>();

	private final Map<String, Forwarder> stores = new TreeMap<>();

	private final Map<String, String> storeAddresses = new TreeMap<>();

	private final Map<String, Forwarder> peers = new TreeMap<>();

	private final String orderingAddress = Ports.freeAddress();

	private @Nullable Forwarder ordering;

	private final Map<String, String> values = new TreeMap<>(Map.of("capacity", "16", "fenced", "true", "model_steady",
			"1", "plain_steady", "1", "window", "5s", "grace", "1s", "isolated", "refuse"));

	private final Thread shutdownHook = new Thread(this::killAll);

	/**
	 * Starts the platform stand-ins.
	 * @param name the name of the directory of settings and logs
	 * @param hostsPerDomain the number of entry hosts in each domain
	 * @param domains the failure domains
	 */
	Deployment(String name, int hostsPerDomain, String... domains) {
		this.domains = List.of(domains);
		this.directory = Path.of("target", "process-logs", name).toAbsolutePath();
		Runtime.getRuntime().addShutdownHook(this.shutdownHook);
		try {
			Files.createDirectories(this.directory);
			startPlatform();
			this.ordering = Forwarder.open(this.orderingAddress, platform("ordering").address());
			for (String domain : domains) {
				this.storeAddresses.put(domain, Ports.freeAddress());
				this.stores.put(domain,
						Forwarder.open(this.storeAddresses.get(domain), platform("object-api").address()));
				for (int i = 1; i <= hostsPerDomain; i++) {
					Host host = new Host(domain + "-" + i, domain, Ports.freeAddress(), Ports.freeAddress(),
							Ports.freeAddress(), Ports.freeAddress());
					this.hosts.put(host.name(), host);
					this.peers.put(host.name(), Forwarder.open(host.peer(), host.realPeer()));
				}
			}
			setOperatorHosts(this.hosts.keySet().toArray(String[]::new));
		}
		catch (IOException | RuntimeException | AssertionError ex) {
			close();
			throw new IllegalStateException(ex);
		}
	}

	/**
	 * Sets a value of the inventory or the rules for the next {@link #apply()}.
	 * @param name one of the names in {@code rules()} or {@code inventory()}
	 * @param value the value
	 */
	void set(String name, String value) {
		if (this.values.put(name, value) == null) {
			throw new IllegalArgumentException("unknown value: " + name);
		}
	}

	Standin platform(String kind) {
		return this.standins.get(kind);
	}

	/**
	 * Starts an endpoint and adds it to the host list, or to the pool of the ordering
	 * interface.
	 * @param name the name of the endpoint
	 * @param service {@link #MODEL} or {@link #PLAIN}
	 * @param domain the failure domain of the endpoint
	 * @param pooled true to keep it in the pool until it is ordered to start
	 * @param args additional arguments of the endpoint process
	 * @return the endpoint
	 */
	Standin endpoint(String name, String service, String domain, boolean pooled, String... args) {
		List<String> all = new ArrayList<>(
				List.of("--endpoint", name, "--service", service, "--domain", domain, "--pooled", "" + pooled));
		if (service.equals(MODEL)) {
			all.addAll(List.of("--lines", TRAINER, "--weight-store", platform("weight-store").address()));
		}
		all.addAll(List.of(args));
		// The port is allocated here, so that endpoints can start concurrently.
		Standin endpoint = new Standin(Ports.freeAddress());
		this.standins.put(name, endpoint);
		all.addAll(List.of("--kind", service.equals(MODEL) ? "model-engine" : "plain-service", "--port",
				endpoint.address().substring(endpoint.address().lastIndexOf(':') + 1)));
		start(name, "bamboorelay-standins", "org.bamboorelay.standins.process.StandinMain", all);
		Map<String, String> entry = Map.of("address", endpoint.address(), "domain", domain, "service", service, "kind",
				"steady", "state", "live");
		if (pooled) {
			Http.send(platform("ordering").address(), "PUT", "/_pool/" + name, "", entry).ok();
		}
		else {
			Http.send(platform("host-list").address(), "PUT", "/hosts/" + name, "", entry).ok();
		}
		return endpoint;
	}

	Program entry(String host) {
		Host at = this.hosts.get(host);
		return start(host, "bamboorelay-entry", "org.bamboorelay.entry.process.EntryMain", settings(host + ".toml", """
				deployment = "pruebas"
				host = "%s"
				failure_domain = "%s"
				http_address = "%s"
				peer_address = "%s"
				object_api_address = "%s"
				operator_token = "%s"
				leave_delay = "1s"
				peer_addresses = [%s]
				""".formatted(host, at.domain(), at.http(), at.realPeer(), this.storeAddresses.get(at.domain()), TOKEN,
				addresses(this.hosts.values(), Host::peer))));
	}

	Program control(String host) {
		Host at = this.hosts.get(host);
		return start(host + "-control", "bamboorelay-control", "org.bamboorelay.control.process.ControlMain",
				settings(host + "-control.toml", """
						deployment = "pruebas"
						host = "%s"
						failure_domain = "%s"
						http_address = "%s"
						object_api_address = "%s"
						ordering_address = "%s"
						usage_intake_address = "%s"
						host_list_address = "%s"
						weight_store_rate = 20
						entry_addresses = [%s]
						""".formatted(host, at.domain(), at.control(), this.storeAddresses.get(at.domain()),
						this.orderingAddress, platform("usage-intake").address(), platform("host-list").address(),
						addresses(this.hosts.values()
							.stream()
							.filter((other) -> other.domain().equals(at.domain()))
							.toList(), Host::peer))));
	}

	/**
	 * Starts the entry and control processes of all hosts and waits until they are ready.
	 */
	void startAll() {
		this.hosts.keySet().forEach((host) -> {
			entry(host);
			control(host);
		});
		this.hosts.keySet().forEach(this::awaitReady);
	}

	void awaitReady(String host) {
		Wait.until(Wait.START_TIMEOUT_MILLIS, host + " ready", () -> Http.get(http(host), "/health/ready").isOk());
	}

	/** Waits until an entry host serves requests for a service with a key. */
	void awaitService(String host, String key, String service) {
		Wait.until(Wait.START_TIMEOUT_MILLIS, service + " served by " + host,
				() -> service.equals(PLAIN) ? plain(host, key).isOk() : complete(host, key, 2).isOk());
	}

	Reply plain(String host, String key) {
		return Http.get(http(host), "/services/" + PLAIN + "/balances/7", key);
	}

	Reply complete(String host, String key, int tokens) {
		return Http.send(http(host), "POST", "/v1/completions", key, Http.completion(MODEL, tokens));
	}

	Program program(String name) {
		return this.programs.get(name);
	}

	List<String> hostNames() {
		return List.copyOf(this.hosts.keySet());
	}

	String http(String host) {
		return this.hosts.get(host).http();
	}

	JsonNode controlHealth(String host) {
		return Http.get(this.hosts.get(host).control(), "/health").json();
	}

	JsonNode status(String host) {
		return Http.get(http(host), "/operator/status", TOKEN).json();
	}

	Forwarder store(String domain) {
		return this.stores.get(domain);
	}

	Forwarder peer(String host) {
		return this.peers.get(host);
	}

	/** Returns the forwarder between the control processes and the ordering interface. */
	Forwarder ordering() {
		return Objects.requireNonNull(this.ordering);
	}

	/** Sets the entry hosts that the operator command line connects to. */
	void setOperatorHosts(String... names) {
		settings("operator.toml", """
				object_api_address = "%s"
				entry_addresses = [%s]
				operator_token = "%s"
				""".formatted(platform("object-api").address(),
				addresses(Stream.of(names).map(this.hosts::get).toList(), Host::http), TOKEN));
	}

	void healPeers() {
		this.peers.values().forEach(Forwarder::heal);
	}

	/** Blocks the peer links between a domain and all others, in both directions. */
	void disconnectPeers(String domain) {
		Set<String> others = this.domains.stream().filter((other) -> !other.equals(domain)).collect(Collectors.toSet());
		this.hosts.values()
			.forEach((host) -> this.peers.get(host.name())
				.blockDomains(host.domain().equals(domain) ? others : Set.of(domain)));
	}

	/** Runs the operator command {@code apply} with all values that were set. */
	OperatorResult apply(String... options) {
		return OperatorResult.of(applyStart("operator", options));
	}

	Program applyStart(String name, String... options) {
		List<String> args = new ArrayList<>(List.of("apply", settings(name + "-inventory.toml", inventory()).toString(),
				settings(name + "-rules.toml", rules()).toString()));
		args.addAll(List.of(options));
		return operatorStart(args.toArray(String[]::new));
	}

	String grant() {
		return operator("key", "grant", WORKSPACE).ok().json().path("key").asText();
	}

	OperatorResult operator(String... args) {
		return OperatorResult.of(operatorStart(args));
	}

	Program operatorStart(String... args) {
		List<String> all = new ArrayList<>(List.of("--settings", file("operator.toml").toString(), "--json"));
		all.addAll(List.of(args));
		String name = "operator-" + this.programs.size();
		return start(name, "bamboorelay-cli", "org.bamboorelay.cli.process.OperatorMain", all);
	}

	@Override
	public void close() {
		killAll();
		this.stores.values().forEach(Deployment::closeQuietly);
		this.peers.values().forEach(Deployment::closeQuietly);
		if (this.ordering != null) {
			closeQuietly(this.ordering);
		}
		try {
			Runtime.getRuntime().removeShutdownHook(this.shutdownHook);
		}
		catch (IllegalStateException ex) {
			// The JVM is shutting down and runs the hook itself.
		}
	}

	private void killAll() {
		this.programs.values().forEach(Program::kill);
	}

	private static void closeQuietly(Forwarder forwarder) {
		try {
			forwarder.close();
		}
		catch (IOException ex) {
			// The forwarder is no longer in use.
		}
	}

	private void startPlatform() {
		Program program = start("platform", "bamboorelay-standins", "org.bamboorelay.standins.process.StandinMain",
				List.of("--kind", "platform", "--lag-ms", "100"));
		Wait.until(Wait.START_TIMEOUT_MILLIS, "ports of the platform", () -> {
			program.output().lines().map((line) -> new Reply(200, line).json()).forEach((line) -> {
				if (line.path("event").asText().equals("ready")) {
					this.standins.put(line.path("kind").asText(),
							new Standin("127.0.0.1:" + line.path("port").asInt()));
				}
			});
			return this.standins.keySet().containsAll(PLATFORM);
		});
	}

	private Program start(String name, String module, String main, List<String> args) {
		try {
			Program program = Program.start(name, this.directory, module, main, HEAP_MEGABYTES, args);
			this.programs.put(name, program);
			return program;
		}
		catch (IOException ex) {
			throw new UncheckedIOException(ex);
		}
	}

	private Program start(String name, String module, String main, Path settings) {
		return start(name, module, main, List.of("--settings", settings.toString()));
	}

	private Path settings(String name, String text) {
		try {
			return Files.writeString(file(name), text);
		}
		catch (IOException ex) {
			throw new UncheckedIOException(ex);
		}
	}

	private Path file(String name) {
		return this.directory.resolve(name);
	}

	private static String addresses(java.util.Collection<Host> hosts,
			java.util.function.Function<Host, String> address) {
		return hosts.stream().map((host) -> "\"" + address.apply(host) + "\"").collect(Collectors.joining(", "));
	}

	private String inventory() {
		StringBuilder text = new StringBuilder("deployment = \"pruebas\"\n");
		this.domains.forEach((domain) -> text.append("""
				[[failure_domains]]
				name = "%s"
				region = "valle"
				""".formatted(domain)));
		this.hosts.values().forEach((host) -> text.append("""
				[[hosts]]
				name = "%s"
				failure_domain = "%s"
				http_address = "%s"
				peer_address = "%s"
				""".formatted(host.name(), host.domain(), host.http(), host.peer())));
		List.of(MODEL, PLAIN)
			.forEach((service) -> text.append("""
					[[services]]
					name = "%s"
					kind = "%s"
					endpoints_per_domain = 4
					endpoint_capacity = %s
					cold_start = "1s"
					honours_fencing = %s
					open_paths = [%s]
					repeatable_paths = []
					""".formatted(service, service.equals(MODEL) ? "model" : "plain", this.values.get("capacity"),
					this.values.get("fenced"), service.equals(MODEL) ? "" : "\"/public/\"")));
		return text.append("""
				[[workspaces]]
				name = "%s"
				weight = 1
				services = ["%s", "%s"]
				trainers = ["%s"]
				""".formatted(WORKSPACE, MODEL, PLAIN, TRAINER)).toString();
	}

	private String rules() {
		StringBuilder text = new StringBuilder("""
				[[staleness]]
				line = "%s"
				service = "%s"
				max_versions = 2
				""".formatted(TRAINER, MODEL));
		Map.of(MODEL, "model_steady", PLAIN, "plain_steady").forEach((service, steady) -> text.append("""
				[[spending]]
				service = "%s"
				max_endpoints = 12
				max_cost_per_hour = 100.0
				min_steady_per_domain = %s
				""".formatted(service, this.values.get(steady))));
		return text.append("""
				[admission]
				max_queued = 500
				max_wait_interactive = "10s"
				max_wait_rollout = "1min"
				[usage]
				window = "%s"
				grace = "%s"
				[isolation]
				when_isolated = "%s"
				max_view_age = "4s"
				[policies]
				admission = "fair"
				routing = "affinity"
				ramp = "ramp"
				scaling = "demand"
				weights = "waves"
				stragglers = "resume"
				""".formatted(this.values.get("window"), this.values.get("grace"), this.values.get("isolated")))
			.toString();
	}

	/**
	 * Result of an operator command.
	 *
	 * @param code the exit code
	 * @param text the standard output followed by the standard error
	 */
	record OperatorResult(int code, String text) {

		static OperatorResult of(Program program) {
			int code = program.await(Wait.START_TIMEOUT_MILLIS);
			return new OperatorResult(code, program.output() + program.log());
		}

		OperatorResult ok() {
			if (this.code != 0) {
				throw new AssertionError("operator: expected exit code 0, found " + this.code + " " + this.text);
			}
			return this;
		}

		JsonNode json() {
			return new Reply(200, this.text.lines().findFirst().orElse("")).json();
		}

	}

	/**
	 * Addresses of a host.
	 *
	 * @param name the name of the host
	 * @param domain the failure domain of the host
	 * @param http the address for callers
	 * @param peer the address of the forwarder for its peer links
	 * @param realPeer the peer address of its entry process
	 * @param control the HTTP address of its control process
	 */
	record Host(String name, String domain, String http, String peer, String realPeer, String control) {
	}

}
