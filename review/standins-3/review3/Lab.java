package review3;

import java.io.File;
import java.io.IOException;
import java.io.PrintWriter;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.TimeUnit;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * A small deployment: hosts started with the command of the deploy file, each on a
 * loopback address of its own, the store and the cloud address. All that is sent and
 * answered goes to the record.
 */
final class Lab implements AutoCloseable {

	static final String KEY = "i9n73hh2b9wu3fexd9dn";

	static final String OTHER_KEY = "n2ctnfzs989anu6wsjnb";

	static final String HOST = "ficu95.example";

	private final long startNanos = System.nanoTime();

	private final PrintWriter record;

	private final Path folder;

	private final int net = 1 + ThreadLocalRandom.current().nextInt(250);

	private final int subnet = 1 + ThreadLocalRandom.current().nextInt(250);

	final Store store;

	final String cloud;

	final List<Host> hosts = new ArrayList<>();

	final boolean trouble = !"0".equals(System.getenv("TROUBLE"));

	private String run = "";

	private boolean closed;

	private double brokenAt = Double.MAX_VALUE;

	/** Set when a case has its result; what callers see afterwards is not recorded. */
	volatile boolean finished;

	Lab(Path recordFile) throws IOException {
		this.record = new PrintWriter(Files.newBufferedWriter(recordFile), true);
		this.folder = Files.createTempDirectory("review-3-");
		this.store = new Store(ip(1));
		ServerSocket cloudServer = Http.serve(ip(1), 0, (request, connection) -> {
			connection.send(200, Map.of("Content-Type", "application/json"), "{}".getBytes(StandardCharsets.UTF_8));
			return true;
		});
		this.cloud = ip(1) + ":" + cloudServer.getLocalPort();
		Matcher matcher = Pattern.compile("\\[roles\\.entry\\]\\s+run = \"([^\"]+)\"")
			.matcher(Files.readString(Path.of("deploy/system.toml")));
		if (!matcher.find()) {
			throw new IOException("deploy/system.toml has no command for the role entry");
		}
		this.run = matcher.group(1);
		log("trouble " + (this.trouble ? "on" : "off"));
		Runtime.getRuntime().addShutdownHook(new Thread(this::close));
	}

	/** Runs a case and ends the process with its result: 0 held, 1 broken, 2 could not run. */
	static void main(String recordFile, Case body) {
		int[] result = { 2 };
		try (Lab lab = new Lab(Path.of(recordFile))) {
			result[0] = body.run(lab) ? 0 : 1;
			lab.finished = true;
			lab.log("result " + result[0]);
			System.out.println("result " + result[0] + ", see " + recordFile);
		}
		catch (Throwable ex) {
			System.err.println("the case could not run: " + ex);
		}
		finally {
			System.exit(result[0]);
		}
	}

	/** The operator's desired state: a rollout route and a plain route. */
	Map<String, Object> config(long version) {
		return map("version", version, "routes", List.of(
				map("name", "r-a", "host", HOST, "path_prefix", "/pule252/", "route_type", "rollout", "timeout_ms",
						10_000L, "goal_ms", 400L, "priority", 0L, "service", "huvo11a", "max_attempts", 3L, "public",
						false, "result_due_ms", 7_500L, "max_age_s", 40L),
				map("name", "r-b", "host", HOST, "path_prefix", "/lohu930/", "route_type", "safe", "timeout_ms", 2_000L,
						"goal_ms", 150L, "priority", 2L, "service", "wuno96b", "max_attempts", 2L, "public", false)),
				"services",
				List.of(map("name", "huvo11a", "health_path", "/health", "max_conns", 150L, "cold_start_s", 3.0,
						"cold_per_s", 11.0, "engine",
						map("slots", 12L, "kv_capacity", 40_202L, "models", List.of(map("name", "daka510000")))),
						map("name", "wuno96b", "health_path", "/health", "max_conns", 160L, "cold_start_s", 3.0,
								"cold_per_s", 11.0)),
				"limits",
				map("max_header_bytes", 16_384L, "max_body_bytes", 33_554_432L, "header_timeout_ms", 3_000L,
						"idle_timeout_ms", 15_000L),
				"tenants", List.of(map("name", "kaje80", "api_keys", List.of(KEY)),
						map("name", "vopu11", "api_keys", List.of(OTHER_KEY))));
	}

	/** Returns a batch submission in groups of four items. */
	static byte[] submission(String id, int items, int bodyBytes, int wantedGroups) {
		List<Object> list = new ArrayList<>();
		byte[] body = new byte[bodyBytes];
		for (int index = 0; index < items; index++) {
			String item = item(id, index);
			Arrays.fill(body, (byte) ('a' + index % 26));
			list.add(map("id", item, "path", "/pule252/3/" + item, "headers",
					map("X-Model", "daka510000", "X-Token-Counts", "271,4000", "X-Prompt-Prefix",
							"9c2e41" + index / 4 + ":255," + item + ":16"),
					"body", java.util.Base64.getEncoder().encodeToString(body), "tokens", 4_271L, "group",
					"g" + index / 4));
		}
		return Json.write(map("step", 0L, "model", "daka510000", "min_version", 1L, "desired", (long) wantedGroups,
				"items", list))
			.getBytes(StandardCharsets.UTF_8);
	}

	static String item(String submission, int index) {
		return submission + String.format("%04x", index);
	}

	/** Tells whether, on two machines, processes ended by themselves three times. */
	boolean isFault() {
		return this.hosts.stream().filter((host) -> host.ends.size() >= 3).count() >= 2;
	}

	/** Tells whether to go on: until a limit, or for some seconds once a rule was broken. */
	boolean goesOn(double limitSeconds, boolean broken, double moreSeconds) {
		if (broken && this.brokenAt == Double.MAX_VALUE) {
			this.brokenAt = seconds();
			log("a rule is broken");
		}
		return seconds() < limitSeconds && seconds() < this.brokenAt + moreSeconds;
	}

	String ends() {
		StringBuilder text = new StringBuilder("ended by themselves:");
		this.hosts.forEach((host) -> text.append(' ').append(host.name).append(' ').append(host.ends.size()));
		return text.toString();
	}

	String ip(int last) {
		return "127." + this.net + "." + this.subnet + "." + last;
	}

	void log(String text) {
		if (this.finished && !text.startsWith("result")) {
			return;
		}
		synchronized (this.record) {
			this.record.printf("%8.3f %s%n", (System.nanoTime() - this.startNanos) / 1e9, text);
		}
	}

	double seconds() {
		return (System.nanoTime() - this.startNanos) / 1e9;
	}

	/** Returns ports of an address that are free and differ from each other. */
	static int[] freePorts(String ip, int count) throws IOException {
		ServerSocket[] sockets = new ServerSocket[count];
		int[] ports = new int[count];
		for (int i = 0; i < count; i++) {
			sockets[i] = new ServerSocket(0, 1, InetAddress.getByName(ip));
			ports[i] = sockets[i].getLocalPort();
		}
		for (ServerSocket socket : sockets) {
			socket.close();
		}
		return ports;
	}

	/** Adds a host; {@code number} selects its address and its zone. */
	Host addHost(int number, String zone) throws IOException {
		Host host = new Host();
		host.name = "edge-" + zone + "-" + number;
		host.ip = ip(10 + number);
		int[] ports = freePorts(host.ip, 3);
		host.front = host.ip + ":" + ports[0];
		host.ready = host.ip + ":" + ports[1];
		int internal = ports[2];
		host.settings = this.folder.resolve(host.name + ".toml");
		Files.writeString(host.settings, "node = \"" + host.name + "\"\nrole = \"entry\"\nmachine_class = \"edge\"\n"
				+ "serves = [\"edge\"]\nip = \"" + host.ip + "\"\nzone = \"" + zone + "\"\nregion = \"suva\"\n"
				+ "internal_ports = [" + internal + "," + (internal + 15) + "]\nseeds = []\nfirst_start = true\n"
				+ "loss_counts = false\ndiscovery = \"platform\"\nentry = \"vip\"\nheartbeat_ms = 1200\n"
				+ "contracts = [\"base\",\"drain\",\"config\",\"cost\",\"recover\",\"samples\",\"stream\",\"engine\","
				+ "\"batch\",\"tenants\",\"leader\",\"places\",\"platform\"]\n"
				+ "[zones]\nsuva-a = \"suva\"\nsuva-b = \"suva\"\nsuva-c = \"suva\"\n[listen]\nfront = \"" + host.front
				+ "\"\nready = \"" + host.ready + "\"\n[limits]\ncpu_share = 0.75\ncores = 1\nmemory_mb = 280\n"
				+ "max_fds = 4100\nlink_mbps = 1000.0\ndisk_mb = 0\n[fault_tolerance]\nmachines = 1\nzones = 1\n"
				+ "regions = 0\n[bounds]\nseed_lag_s = 3\nreuse_after_s = 2\ncontact_ms = 3000\nack_ms = 4000\n"
				+ "catch_up_s = 5.6\ndrain_ms = 2000\ngrace_s = 8\nlost_ms = 200\nconfig_ms = 2000\nrevert_ms = 250\n"
				+ "outer_ms = 5000\nfail_closed = false\nrevoke_ms = 5000\nchecks_fence = false\nlease_ms = 3000\n"
				+ "thaw_ms = 300\nreport_window_s = 5\nusage_tolerance = 0.05\nusage_late_s = 10\ncold_over = 1.5\n"
				+ "cold_slack = 5\nevacuate_ms = 5000\nrecover_s = 12\npass_ms = 120\nagain_s = 0\nfinish_s = 10\n"
				+ "status_s = 120\ncancel_ms = 3000\nsettle_ms = 1000\nquota_over = 0.1\n[platform]\naddress = \""
				+ this.store.address() + "\"\nform = \"objects\"\nwrites_per_s = 400\nreads_per_s = 2000\n"
				+ "history_s = 20\nvalue_bytes = 1048576\nttl_min_ms = 1000\n[cloud]\naddress = \"" + this.cloud
				+ "\"\nrate_per_s = 50.0\nduties = [\"usage_report\",\"autoscale\"]\nduty_per_s = 50.0\n");
		host.output = this.folder.resolve(host.name + ".log");
		this.hosts.add(host);
		return host;
	}

	synchronized void start(Host host) throws IOException {
		if (this.closed) {
			return;
		}
		ProcessBuilder builder = new ProcessBuilder(Arrays.asList(this.run.split(" ")));
		Map<String, String> environment = builder.environment();
		environment.keySet().retainAll(Arrays.asList("PATH", "HOME", "JAVA_HOME", "LANG"));
		environment.put("BAMBOORELAY_SETTINGS", host.settings.toString());
		builder.redirectErrorStream(true).redirectOutput(ProcessBuilder.Redirect.appendTo(host.output.toFile()));
		host.process = builder.start();
		host.starts++;
		log(host.name + " started, pid " + host.process.pid());
	}

	/** Restarts a process that ended by itself after a short delay, as the platform does. */
	void supervise(Host host) {
		Thread thread = new Thread(() -> {
			while (!host.retired) {
				try {
					int code = host.process.waitFor();
					if (host.retired) {
						return;
					}
					host.ends.add(code);
					log(host.name + " ENDED by itself with code " + code);
					TimeUnit.MILLISECONDS.sleep(500);
					if (!host.retired) {
						start(host);
					}
				}
				catch (IOException | InterruptedException ex) {
					return;
				}
			}
		});
		thread.setDaemon(true);
		thread.start();
	}

	boolean isReady(Host host) {
		try {
			return Http.call(host.ready, "GET", "/ready", Map.of("Host", "ready"), new byte[0], 1_000).status() == 200;
		}
		catch (IOException ex) {
			return false;
		}
	}

	void awaitReady(double limitSeconds) throws Exception {
		double end = seconds() + limitSeconds;
		for (Host host : this.hosts) {
			while (!isReady(host)) {
				if (seconds() > end) {
					throw new IllegalStateException(host.name + " is not ready");
				}
				TimeUnit.MILLISECONDS.sleep(100);
			}
		}
		// The hosts find each other through the store.
		TimeUnit.MILLISECONDS.sleep(2_500);
		log("all hosts are ready");
	}

	static Map<String, Object> map(Object... pairs) {
		Map<String, Object> map = new LinkedHashMap<>();
		for (int i = 0; i < pairs.length; i += 2) {
			map.put((String) pairs[i], pairs[i + 1]);
		}
		return map;
	}

	/** Registers a server with the store. */
	void register(String id, String service, String address, String zone, int slots, long born, String... models) {
		List<Object> held = new ArrayList<>();
		for (String model : models) {
			held.add(map("name", model, "version", 1L, "adapters", List.of()));
		}
		this.store.put("servers", id, map("service", service, "address", address, "zone", zone, "version", "v1",
				"slots", slots, "state", "ready", "cold_left_ms", 0L, "stage", "both", "models", held, "seq", 1L,
				"born", born));
	}

	Http.Message call(Host host, String method, String path, String id, String key, Map<String, String> more,
			byte[] body, int timeoutMillis) throws IOException {
		Map<String, String> headers = new LinkedHashMap<>();
		headers.put("Host", HOST);
		if (!id.isEmpty()) {
			headers.put("X-Request-Id", id);
		}
		if (!key.isEmpty()) {
			headers.put("Authorization", "Bearer " + key);
		}
		headers.putAll(more);
		return Http.call(host.front, method, path, headers, body, timeoutMillis);
	}

	String tail(Host host, String word, int count) {
		try {
			List<String> found = new ArrayList<>();
			for (String line : Files.readAllLines(host.output, StandardCharsets.UTF_8)) {
				if (line.contains(word)) {
					found.add(line);
				}
			}
			return String.join("\n", found.subList(Math.max(0, found.size() - count), found.size()));
		}
		catch (IOException ex) {
			return String.valueOf(ex);
		}
	}

	void signal(Host host, String signal) throws IOException, InterruptedException {
		log(host.name + " gets SIG" + signal);
		new ProcessBuilder("kill", "-" + signal, String.valueOf(host.process.pid())).start().waitFor();
	}

	@Override
	public synchronized void close() {
		if (this.closed) {
			return;
		}
		this.closed = true;
		for (Host host : this.hosts) {
			host.retired = true;
			if (host.process != null) {
				host.process.destroyForcibly();
			}
		}
		for (Host host : this.hosts) {
			try {
				if (host.process != null) {
					host.process.waitFor(5, TimeUnit.SECONDS);
				}
				if (System.getenv("KEEP_LOGS") != null) {
					Files.copy(host.output, Path.of(System.getenv("KEEP_LOGS"), host.name + ".log"),
							java.nio.file.StandardCopyOption.REPLACE_EXISTING);
				}
			}
			catch (IOException | InterruptedException ex) {
				log("not cleaned up: " + ex);
			}
		}
		File[] files = this.folder.toFile().listFiles();
		for (File file : (files != null) ? files : new File[0]) {
			file.delete();
		}
		this.folder.toFile().delete();
	}

	/** A case; returns whether the rule held. */
	interface Case {

		boolean run(Lab lab) throws Exception;

	}

	/** A process of the project. */
	static final class Host {

		String name;

		String ip;

		String front;

		String ready;

		Path settings;

		Path output;

		volatile Process process;

		volatile boolean retired;

		volatile int starts;

		final List<Integer> ends = new java.util.concurrent.CopyOnWriteArrayList<>();

	}

}
