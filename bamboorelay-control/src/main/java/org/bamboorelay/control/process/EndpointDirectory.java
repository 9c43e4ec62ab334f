package org.bamboorelay.control.process;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import java.util.function.BooleanSupplier;

import com.fasterxml.jackson.databind.JsonNode;
import io.vavr.control.Either;
import io.vavr.control.Option;
import org.bamboorelay.control.connection.PlatformFailure;
import org.bamboorelay.core.connection.PeerMessage.EndpointInfo;
import org.bamboorelay.core.connection.PeerMessage.EndpointSet;
import org.bamboorelay.core.connection.PeerMessage.EndpointSetOffer;
import org.bamboorelay.core.process.OrderLog;
import org.bamboorelay.core.store.ObjectStore;
import org.bamboorelay.core.store.StoreFailure;
import org.bamboorelay.core.store.StoredObject;
import org.bamboorelay.core.version.CoreJson;
import org.bamboorelay.core.version.EndpointId;
import org.bamboorelay.core.version.FailureDomain;
import org.bamboorelay.core.version.LineId;
import org.bamboorelay.core.version.ServiceId;
import org.bamboorelay.core.version.WeightVersion;
import org.bamboorelay.runtime.connection.PeerFailure;
import org.bamboorelay.runtime.connection.PeerLink;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Tracks the endpoints of the local failure domain and their load, and publishes them to
 * the entry processes. The sources are the host list, the ordering list, the load reports
 * of the endpoints and the stop orders.
 * <p>
 * Thread-safe; each periodic task runs on one thread.
 */
final class EndpointDirectory {

	static final long INTERVAL_MILLIS = 500;

	private static final Logger LOG = LoggerFactory.getLogger(EndpointDirectory.class);

	private static final long RESEND_INTERVAL_MILLIS = 1_000;

	/** Load reports older than this are ignored. */
	private static final long MAX_LOAD_AGE_MILLIS = 5_000;

	private static final long ORDER_LOG_INTERVAL_MILLIS = 2_000;

	/**
	 * Interval in milliseconds at which a standby process reads the ordering list, so
	 * that it knows which endpoints were ordered before it takes over. An ordered
	 * endpoint is billed for 300 s, so it appears in several reads.
	 */
	private static final long STANDBY_INTERVAL_MILLIS = 30_000;

	/**
	 * Longest time in milliseconds that a new reader waits to read both lists and the
	 * order log before it publishes. Entry hosts keep the last endpoint set meanwhile.
	 */
	private static final long NEW_READER_TIMEOUT_MILLIS = 2_000;

	private static final long SET_CALL_TIMEOUT_MILLIS = 1_000;

	private static final String WEIGHTS_PREFIX = "weights/";

	private final ControlContext context;

	private final BooleanSupplier isNeeded;

	private final Map<EndpointId, LoadReport> loads = new ConcurrentHashMap<>();

	private final Map<EndpointId, Long> firstSeen = new ConcurrentHashMap<>();

	private final Set<EndpointId> knownOrderedEndpoints = ConcurrentHashMap.newKeySet();

	private final Set<EndpointId> stopOrdered = ConcurrentHashMap.newKeySet();

	private final Map<String, LatestVersion> latestVersions = new ConcurrentHashMap<>();

	private volatile Map<EndpointId, ListedEndpoint> hostList = Map.of();

	private volatile Map<EndpointId, ListedEndpoint> orderedEndpoints = Map.of();

	private volatile Set<EndpointId> stopOrderedInLog = Set.of();

	private volatile List<Endpoint> endpoints = List.of();

	private volatile boolean orderingListRead;

	private volatile long orderLogReadAtMillis = Long.MIN_VALUE / 2;

	private volatile long listsReadAtMillis = Long.MIN_VALUE / 2;

	private boolean active;

	private long activeSinceMillis;

	private boolean listsRead;

	private long standbyReadAtMillis = Long.MIN_VALUE / 2;

	private List<EndpointInfo> lastSentEndpoints = List.of();

	private List<WeightVersion> lastSentVersions = List.of();

	private long sentAtMillis;

	private long sequence;

	private long orderLogPolledAtMillis;

	/**
	 * Creates the directory.
	 * @param context the shared state of the control process
	 * @param isNeeded true if this process is a reader of its domain or holds the domain
	 * lease, and therefore needs the endpoints and their load
	 */
	EndpointDirectory(ControlContext context, BooleanSupplier isNeeded) {
		this.context = context;
		this.isNeeded = isNeeded;
	}

	/**
	 * Returns the endpoints of the domain.
	 * @return the endpoints, sorted by name
	 */
	List<Endpoint> endpoints() {
		return this.endpoints;
	}

	/**
	 * Returns whether the ordering interface lists an endpoint.
	 * @param endpoint the endpoint
	 * @return true if it is listed, or if the ordering list has not been read yet
	 */
	boolean isInOrderingList(EndpointId endpoint) {
		return !this.orderingListRead || this.orderedEndpoints.containsKey(endpoint);
	}

	/**
	 * Returns whether both lists were read recently. Otherwise no endpoint is started,
	 * because an unlisted endpoint may already exist.
	 * @return true if the last complete read is recent enough to act on
	 */
	boolean isKnown() {
		return this.context.clock().millis() - this.listsReadAtMillis < MAX_LOAD_AGE_MILLIS;
	}

	/**
	 * Counts the endpoints of a service in all domains.
	 * @param service the service
	 * @return the number of endpoints in the host list
	 */
	int endpointCount(ServiceId service) {
		return (int) this.hostList.values().stream().filter((listed) -> listed.service().equals(service)).count();
	}

	/**
	 * Records a stop order of this process. The endpoint counts as leaving from now on,
	 * before any list shows it.
	 * @param endpoint the endpoint
	 */
	void onStopOrdered(EndpointId endpoint) {
		this.stopOrdered.add(endpoint);
	}

	/**
	 * Returns the latest weight version of each line.
	 * @return the version numbers by service and line
	 */
	Map<ServiceId, Map<LineId, Long>> latestVersions() {
		Map<ServiceId, Map<LineId, Long>> result = new HashMap<>();
		this.latestVersions.forEach((key, latest) -> {
			String[] names = key.substring(WEIGHTS_PREFIX.length()).split("/", 2);
			if (names.length == 2) {
				result.computeIfAbsent(ServiceId.of(names[0]), (name) -> new TreeMap<>())
					.put(LineId.of(names[1]), latest.number());
			}
		});
		return result;
	}

	/**
	 * Reads the lists and the load of each endpoint and publishes the endpoints if this
	 * process needs them.
	 */
	void run() {
		if (!this.isNeeded.getAsBoolean()) {
			runStandby();
			return;
		}
		if (!this.active) {
			this.active = true;
			this.activeSinceMillis = this.context.clock().millis();
			this.listsRead = false;
		}
		boolean read = readLists();
		long readAt = this.context.clock().millis();
		readLoads();
		mergeEndpoints();
		if (read) {
			this.listsRead = true;
			this.listsReadAtMillis = readAt;
		}
		publish();
	}

	/**
	 * Clears state that would be out of date when this process becomes active again, and
	 * reads the ordering list at the standby interval.
	 */
	private void runStandby() {
		long now = this.context.clock().millis();
		if (this.active) {
			this.active = false;
			this.listsReadAtMillis = Long.MIN_VALUE / 2;
			this.endpoints = List.of();
			this.hostList = Map.of();
			this.loads.clear();
			this.lastSentEndpoints = List.of();
		}
		if (now - this.standbyReadAtMillis >= STANDBY_INTERVAL_MILLIS) {
			this.standbyReadAtMillis = now;
			readOrderingList();
			this.orderedEndpoints.keySet().forEach((id) -> this.firstSeen.putIfAbsent(id, now));
		}
	}

	/**
	 * Reads the latest weight versions and the order log of the domain from the store.
	 */
	void readStore() {
		if (!this.isNeeded.getAsBoolean()) {
			// Stale versions would cause orders for outdated weights; stop orders remain
			// valid.
			this.latestVersions.clear();
			this.orderLogPolledAtMillis = Long.MIN_VALUE / 2;
			return;
		}
		ObjectStore store = this.context.store();
		Either<StoreFailure, List<ObjectStore.Entry>> listed = store.list(WEIGHTS_PREFIX);
		listed.forEach((entries) -> {
			this.latestVersions.keySet().retainAll(entries.stream().map(ObjectStore.Entry::key).toList());
			entries.stream().filter((entry) -> {
				LatestVersion latest = this.latestVersions.get(entry.key());
				return latest == null || latest.storeVersion() < entry.version();
			}).forEach((entry) -> readLatestVersion(entry.key()));
		});
		long now = this.context.clock().millis();
		if (now - this.orderLogPolledAtMillis >= ORDER_LOG_INTERVAL_MILLIS) {
			this.orderLogPolledAtMillis = now;
			Either<StoreFailure, Option<StoredObject>> log = store
				.read(OrderLog.key(this.context.settings().failureDomain()));
			log.forEach((object) -> this.orderLogReadAtMillis = now);
			log.forEach(
					(object) -> this.stopOrderedInLog = object.map(OrderLog::stoppingEndpoints).getOrElse(Set.of()));
		}
	}

	private void readLatestVersion(String key) {
		this.context.store().read(key).forEach((found) -> found.forEach((object) -> {
			Option<JsonNode> tree = CoreJson.read(object.body(), JsonNode.class);
			JsonNode version = tree.map((node) -> node.path("version")).getOrNull();
			long number = -1;
			if (version != null && version.isIntegralNumber()) {
				number = version.asLong();
			}
			else if (version != null && version.isTextual()) {
				number = WeightVersion.parse(version.asText()).number();
			}
			if (number >= 0) {
				this.latestVersions.put(key, new LatestVersion(object.version(), number));
			}
			else {
				LOG.warn("weight-head-malformed key={}", key);
			}
		}));
	}

	private boolean readLists() {
		Either<PlatformFailure, JsonNode> hosts = this.context.platform()
			.get(this.context.settings().hostListAddress(), "/hosts");
		hosts.peek((list) -> this.hostList = parse(list))
			.peekLeft((failure) -> this.context.counters().counter("host_list_failures_total").inc());
		return readOrderingList() && hosts.isRight();
	}

	private boolean readOrderingList() {
		FailureDomain domain = this.context.settings().failureDomain();
		Either<PlatformFailure, JsonNode> orders = this.context.platform()
			.get(this.context.settings().orderingAddress(), "/endpoints?domain=" + domain);
		orders.peek((list) -> {
			Map<EndpointId, ListedEndpoint> parsed = parse(list);
			this.knownOrderedEndpoints.addAll(parsed.keySet());
			this.orderedEndpoints = parsed;
			this.orderingListRead = true;
		}).peekLeft((failure) -> this.context.counters().counter("ordering_list_failures_total").inc());
		return orders.isRight();
	}

	private Map<EndpointId, ListedEndpoint> parse(JsonNode list) {
		Map<EndpointId, ListedEndpoint> result = new HashMap<>();
		list.forEach((node) -> {
			try {
				EndpointId id = EndpointId.of(node.path("endpoint").asText());
				FailureDomain domain = FailureDomain
					.of(node.path("domain").asText(this.context.settings().failureDomain().value()));
				result.put(id,
						new ListedEndpoint(node.path("address").asText(), domain,
								ServiceId.of(node.path("service").asText()), node.path("kind").asText().equals("cheap"),
								Set.of("leaving", "stopping", "stopped").contains(node.path("state").asText())));
			}
			catch (IllegalArgumentException ex) {
				this.context.counters().counter("listed_endpoints_malformed_total").inc();
			}
		});
		return result;
	}

	private Map<EndpointId, ListedEndpoint> listed() {
		Map<EndpointId, ListedEndpoint> result = new TreeMap<>(Comparator.comparing(EndpointId::value));
		this.orderedEndpoints.forEach((id, listed) -> {
			if (!listed.address().isEmpty()) {
				result.put(id, listed);
			}
		});
		this.hostList.forEach((id, listed) -> {
			if (listed.domain().equals(this.context.settings().failureDomain())) {
				ListedEndpoint order = this.orderedEndpoints.get(id);
				boolean removed = this.orderingListRead && order == null && this.knownOrderedEndpoints.contains(id);
				result.put(id, listed.withLeaving(removed || (order != null && order.leaving())));
			}
		});
		return result;
	}

	private void readLoads() {
		List<CompletableFuture<Void>> calls = new ArrayList<>();
		listed().forEach((id, listed) -> calls.add(CompletableFuture.runAsync(() -> {
			Either<PlatformFailure, JsonNode> response = this.context.platform().get(listed.address(), "/load");
			response.forEach((node) -> this.loads.put(id, LoadReport.of(node, this.context.clock().millis())));
		}, this.context.callExecutor())));
		calls.forEach(CompletableFuture::join);
	}

	private void mergeEndpoints() {
		long now = this.context.clock().millis();
		Map<EndpointId, ListedEndpoint> listed = listed();
		List<Endpoint> merged = new ArrayList<>();
		listed.forEach((id, entry) -> {
			LoadReport load = this.loads.get(id);
			boolean recent = load != null && now - load.readAtMillis() < MAX_LOAD_AGE_MILLIS;
			if (!recent && !this.hostList.containsKey(id)) {
				// A new endpoint is in the ordering list before it is ready to serve.
				return;
			}
			long firstSeenMillis = this.firstSeen.computeIfAbsent(id, (unused) -> now);
			boolean leaving = entry.leaving() || (recent && load.leaving()) || this.stopOrdered.contains(id)
					|| this.stopOrderedInLog.contains(id);
			EndpointInfo info = new EndpointInfo(id, entry.address(), entry.domain(), entry.service(), entry.cheap(),
					leaving);
			merged.add(new Endpoint(info, recent ? load : LoadReport.NONE, firstSeenMillis));
		});
		this.firstSeen.keySet().retainAll(listed.keySet());
		this.loads.keySet().retainAll(listed.keySet());
		Set<EndpointId> known = new HashSet<>(listed.keySet());
		known.addAll(this.orderedEndpoints.keySet());
		this.stopOrdered.retainAll(known);
		this.knownOrderedEndpoints.retainAll(known);
		this.endpoints = List.copyOf(merged);
	}

	private void publish() {
		// An empty set would make the entries drop all endpoints, so nothing is sent
		// until a list has been read.
		if (!this.context.isReader() || (this.hostList.isEmpty() && this.orderedEndpoints.isEmpty())) {
			return;
		}
		List<EndpointInfo> infos = this.endpoints.stream().map(Endpoint::info).toList();
		List<WeightVersion> versions = new ArrayList<>();
		latestVersions().values()
			.forEach((lines) -> lines.forEach((line, number) -> versions.add(WeightVersion.of(line, number))));
		versions.sort(Comparator.comparing(WeightVersion::toString));
		long now = this.context.clock().millis();
		boolean allSourcesRead = this.listsRead && this.orderLogReadAtMillis >= this.activeSinceMillis;
		if (!allSourcesRead && now - this.activeSinceMillis < NEW_READER_TIMEOUT_MILLIS) {
			return;
		}
		boolean unchanged = infos.equals(this.lastSentEndpoints) && versions.equals(this.lastSentVersions);
		if (unchanged && now - this.sentAtMillis < RESEND_INTERVAL_MILLIS) {
			return;
		}
		this.sequence = Math.max(this.sequence + 1, this.context.wallClock().millis());
		EndpointSet set = new EndpointSet(this.context.settings().failureDomain(), this.sequence, infos, versions);
		EndpointSetOffer offer = new EndpointSetOffer(set.domain(), set.sequence(), set.contentHash());
		List<PeerLink> linksWithoutSet = new ArrayList<>();
		this.context.links()
			.callAll((link) -> link.remote().supports(EndpointSetOffer.class) ? offer : set)
			.forEach((response) -> {
				if (response.link() != null && response.result().isLeft()
						&& response.result().getLeft() instanceof PeerFailure.Rejected rejected
						&& rejected.reason().equals(EndpointSetOffer.NEED_SET)) {
					linksWithoutSet.add(response.link());
				}
			});
		this.context.counters().counter("endpoint_sets_sent_total").inc(linksWithoutSet.size());
		linksWithoutSet.stream()
			.map((link) -> CompletableFuture.runAsync(() -> link.call(set, SET_CALL_TIMEOUT_MILLIS),
					this.context.callExecutor()))
			.toList()
			.forEach(CompletableFuture::join);
		this.lastSentEndpoints = infos;
		this.lastSentVersions = versions;
		this.sentAtMillis = now;
	}

	/**
	 * An endpoint of the domain.
	 *
	 * @param info the part that is published to the entry processes
	 * @param load the last load report
	 * @param firstSeenMillis time at which it was first seen, in milliseconds on the
	 * monotonic clock
	 */
	record Endpoint(EndpointInfo info, LoadReport load, long firstSeenMillis) {
	}

	/**
	 * A load report of an endpoint.
	 *
	 * @param readAtMillis time at which it was read, in milliseconds on the monotonic
	 * clock; negative if there is no report
	 * @param running number of requests in execution
	 * @param waiting number of queued requests
	 * @param leaving whether the endpoint reports that it is leaving
	 * @param versions loaded weight version of each line
	 */
	record LoadReport(long readAtMillis, int running, int waiting, boolean leaving, Map<LineId, Long> versions) {

		private static final LoadReport NONE = new LoadReport(-1, 0, 0, false, Map.of());

		private static LoadReport of(JsonNode node, long now) {
			Map<LineId, Long> versions = new HashMap<>();
			node.path("weight_versions")
				.properties()
				.forEach((entry) -> versions.put(LineId.of(entry.getKey()), entry.getValue().asLong()));
			return new LoadReport(now, node.path("running").asInt(), node.path("waiting").asInt(),
					node.path("leaving").asBoolean(), versions);
		}

		boolean isKnown() {
			return this.readAtMillis >= 0;
		}

	}

	private record ListedEndpoint(String address, FailureDomain domain, ServiceId service, boolean cheap,
			boolean leaving) {

		private ListedEndpoint withLeaving(boolean alsoLeaving) {
			return new ListedEndpoint(this.address, this.domain, this.service, this.cheap, this.leaving || alsoLeaving);
		}

	}

	private record LatestVersion(long storeVersion, long number) {
	}

}
