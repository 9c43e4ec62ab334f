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
 * The endpoints of the own domain with their load, from the host list, the ordering list,
 * the endpoints themselves and the stop orders; passed on to the entry processes.
 * <p>
 * Thread-safe; its loops run on one thread each.
 */
final class EndpointDirectory {

	static final long INTERVAL_MILLIS = 500;

	private static final Logger LOG = LoggerFactory.getLogger(EndpointDirectory.class);

	private static final long SEND_MILLIS = 1_000;

	/** A load report older than this says nothing about the endpoint. */
	private static final long LOAD_VALID_MILLIS = 5_000;

	private static final long ORDERS_MILLIS = 2_000;

	/**
	 * Interval at which a process that does not poll reads the ordering list, in
	 * milliseconds, so that it knows what was ordered before it takes over. An ordered
	 * endpoint is billed for 300 s and so is listed several times.
	 */
	private static final long STANDBY_MILLIS = 30_000;

	/**
	 * A new reader passes nothing on before it has read both lists and the order log, or
	 * for this long, in milliseconds, where one cannot be read. Hosts keep the last set
	 * meanwhile.
	 */
	private static final long NEW_READER_MILLIS = 2_000;

	private static final long SET_TIMEOUT_MILLIS = 1_000;

	private static final String WEIGHTS = "weights/";

	private final ControlContext context;

	private final BooleanSupplier isNeeded;

	private final Map<EndpointId, Load> loads = new ConcurrentHashMap<>();

	private final Map<EndpointId, Long> firstSeen = new ConcurrentHashMap<>();

	private final Set<EndpointId> everOrdered = ConcurrentHashMap.newKeySet();

	private final Set<EndpointId> stopping = ConcurrentHashMap.newKeySet();

	private final Map<String, Head> heads = new ConcurrentHashMap<>();

	private volatile Map<EndpointId, Listed> hostList = Map.of();

	private volatile Map<EndpointId, Listed> ordered = Map.of();

	private volatile Set<EndpointId> stoppingInLog = Set.of();

	private volatile List<Endpoint> endpoints = List.of();

	private volatile boolean orderedKnown;

	private volatile long storeReadAt = Long.MIN_VALUE / 2;

	private volatile long viewAt = Long.MIN_VALUE / 2;

	private boolean active;

	private long activeSince;

	private boolean listsRead;

	private long standbyReadAt = Long.MIN_VALUE / 2;

	private List<EndpointInfo> lastSent = List.of();

	private List<WeightVersion> lastHeads = List.of();

	private long sentAt;

	private long sequence;

	private long ordersAt;

	/**
	 * Creates the directory.
	 * @param context what the loops share
	 * @param isNeeded whether this process is a reader of its domain or holds its lease,
	 * so that it needs the endpoints and their load
	 */
	EndpointDirectory(ControlContext context, BooleanSupplier isNeeded) {
		this.context = context;
		this.isNeeded = isNeeded;
	}

	/**
	 * Returns the endpoints of the domain.
	 * @return the endpoints, ordered by name
	 */
	List<Endpoint> endpoints() {
		return this.endpoints;
	}

	/**
	 * Tells whether the ordering interface lists an endpoint.
	 * @param endpoint the endpoint
	 * @return true also while the list could not be read
	 */
	boolean isOrdered(EndpointId endpoint) {
		return !this.orderedKnown || this.ordered.containsKey(endpoint);
	}

	/**
	 * Tells whether the endpoints are from both lists as read lately. Without them
	 * nothing is started: what cannot be seen may be there.
	 * @return whether the endpoints are known
	 */
	boolean isKnown() {
		return this.context.clock().millis() - this.viewAt < LOAD_VALID_MILLIS;
	}

	/**
	 * Counts the endpoints of a service in all domains.
	 * @param service the service
	 * @return the number by the host list
	 */
	int total(ServiceId service) {
		return (int) this.hostList.values().stream().filter((listed) -> listed.service().equals(service)).count();
	}

	/**
	 * Notes a stop order of this process, which counts before any list shows it.
	 * @param endpoint the endpoint
	 */
	void onStopOrdered(EndpointId endpoint) {
		this.stopping.add(endpoint);
	}

	/**
	 * Returns the newest version of each line.
	 * @return the numbers by service and line
	 */
	Map<ServiceId, Map<LineId, Long>> heads() {
		Map<ServiceId, Map<LineId, Long>> result = new HashMap<>();
		this.heads.forEach((key, head) -> {
			String[] names = key.substring(WEIGHTS.length()).split("/", 2);
			if (names.length == 2) {
				result.computeIfAbsent(ServiceId.of(names[0]), (name) -> new TreeMap<>())
					.put(LineId.of(names[1]), head.number());
			}
		});
		return result;
	}

	/**
	 * Reads the lists and the load of each endpoint, and passes the endpoints on, where
	 * this process needs them.
	 */
	void run() {
		if (!this.isNeeded.getAsBoolean()) {
			standBy();
			return;
		}
		if (!this.active) {
			this.active = true;
			this.activeSince = this.context.clock().millis();
			this.listsRead = false;
		}
		boolean read = readLists();
		long readAt = this.context.clock().millis();
		readLoads();
		merge();
		if (read) {
			this.listsRead = true;
			this.viewAt = readAt;
		}
		passOn();
	}

	/**
	 * Forgets what would be out of date when this process is needed again.
	 */
	private void standBy() {
		long now = this.context.clock().millis();
		if (this.active) {
			this.active = false;
			this.viewAt = Long.MIN_VALUE / 2;
			this.endpoints = List.of();
			this.hostList = Map.of();
			this.loads.clear();
			this.lastSent = List.of();
		}
		if (now - this.standbyReadAt >= STANDBY_MILLIS) {
			this.standbyReadAt = now;
			readOrdered();
			this.ordered.keySet().forEach((id) -> this.firstSeen.putIfAbsent(id, now));
		}
	}

	/**
	 * Reads the weight heads and the domain's order log from the store.
	 */
	void readStore() {
		if (!this.isNeeded.getAsBoolean()) {
			// Old heads would order old weights; stop orders stay true.
			this.heads.clear();
			this.ordersAt = Long.MIN_VALUE / 2;
			return;
		}
		ObjectStore store = this.context.store();
		Either<StoreFailure, List<ObjectStore.Entry>> listed = store.list(WEIGHTS);
		listed.forEach((entries) -> {
			this.heads.keySet().retainAll(entries.stream().map(ObjectStore.Entry::key).toList());
			entries.stream().filter((entry) -> {
				Head head = this.heads.get(entry.key());
				return head == null || head.storeVersion() < entry.version();
			}).forEach((entry) -> readHead(entry.key()));
		});
		long now = this.context.clock().millis();
		if (now - this.ordersAt >= ORDERS_MILLIS) {
			this.ordersAt = now;
			Either<StoreFailure, Option<StoredObject>> log = store
				.read(OrderLog.key(this.context.settings().failureDomain()));
			log.forEach((object) -> this.storeReadAt = now);
			log.forEach((object) -> this.stoppingInLog = object.map(OrderLog::stopping).getOrElse(Set.of()));
		}
	}

	private void readHead(String key) {
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
				this.heads.put(key, new Head(object.version(), number));
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
		return readOrdered() && hosts.isRight();
	}

	private boolean readOrdered() {
		FailureDomain domain = this.context.settings().failureDomain();
		Either<PlatformFailure, JsonNode> orders = this.context.platform()
			.get(this.context.settings().orderingAddress(), "/endpoints?domain=" + domain);
		orders.peek((list) -> {
			Map<EndpointId, Listed> parsed = parse(list);
			this.everOrdered.addAll(parsed.keySet());
			this.ordered = parsed;
			this.orderedKnown = true;
		}).peekLeft((failure) -> this.context.counters().counter("ordering_list_failures_total").inc());
		return orders.isRight();
	}

	private Map<EndpointId, Listed> parse(JsonNode list) {
		Map<EndpointId, Listed> result = new HashMap<>();
		list.forEach((node) -> {
			try {
				EndpointId id = EndpointId.of(node.path("endpoint").asText());
				FailureDomain domain = FailureDomain
					.of(node.path("domain").asText(this.context.settings().failureDomain().value()));
				result.put(id,
						new Listed(node.path("address").asText(), domain, ServiceId.of(node.path("service").asText()),
								node.path("kind").asText().equals("cheap"),
								Set.of("leaving", "stopping", "stopped").contains(node.path("state").asText())));
			}
			catch (IllegalArgumentException ex) {
				this.context.counters().counter("listed_endpoints_malformed_total").inc();
			}
		});
		return result;
	}

	private Map<EndpointId, Listed> listed() {
		Map<EndpointId, Listed> result = new TreeMap<>(Comparator.comparing(EndpointId::value));
		this.ordered.forEach((id, listed) -> {
			if (!listed.address().isEmpty()) {
				result.put(id, listed);
			}
		});
		this.hostList.forEach((id, listed) -> {
			if (listed.domain().equals(this.context.settings().failureDomain())) {
				Listed order = this.ordered.get(id);
				boolean gone = this.orderedKnown && order == null && this.everOrdered.contains(id);
				result.put(id, listed.withLeaving(gone || (order != null && order.leaving())));
			}
		});
		return result;
	}

	private void readLoads() {
		List<CompletableFuture<Void>> calls = new ArrayList<>();
		listed().forEach((id, listed) -> calls.add(CompletableFuture.runAsync(() -> {
			Either<PlatformFailure, JsonNode> answer = this.context.platform().get(listed.address(), "/load");
			answer.forEach((node) -> this.loads.put(id, Load.of(node, this.context.clock().millis())));
		}, this.context.threads())));
		calls.forEach(CompletableFuture::join);
	}

	private void merge() {
		long now = this.context.clock().millis();
		Map<EndpointId, Listed> listed = listed();
		List<Endpoint> merged = new ArrayList<>();
		listed.forEach((id, entry) -> {
			Load load = this.loads.get(id);
			boolean answers = load != null && now - load.at() < LOAD_VALID_MILLIS;
			if (!answers && !this.hostList.containsKey(id)) {
				// A started endpoint is in the ordering list before it can serve.
				return;
			}
			long since = this.firstSeen.computeIfAbsent(id, (unused) -> now);
			boolean leaving = entry.leaving() || (answers && load.leaving()) || this.stopping.contains(id)
					|| this.stoppingInLog.contains(id);
			EndpointInfo info = new EndpointInfo(id, entry.address(), entry.domain(), entry.service(), entry.cheap(),
					leaving);
			merged.add(new Endpoint(info, answers ? load : Load.NONE, since));
		});
		this.firstSeen.keySet().retainAll(listed.keySet());
		this.loads.keySet().retainAll(listed.keySet());
		Set<EndpointId> known = new HashSet<>(listed.keySet());
		known.addAll(this.ordered.keySet());
		this.stopping.retainAll(known);
		this.everOrdered.retainAll(known);
		this.endpoints = List.copyOf(merged);
	}

	private void passOn() {
		// Lists that were never read must not tell the entries that there is no endpoint.
		if (!this.context.isReader() || (this.hostList.isEmpty() && this.ordered.isEmpty())) {
			return;
		}
		List<EndpointInfo> infos = this.endpoints.stream().map(Endpoint::info).toList();
		List<WeightVersion> versions = new ArrayList<>();
		heads().values().forEach((lines) -> lines.forEach((line, n) -> versions.add(WeightVersion.of(line, n))));
		versions.sort(Comparator.comparing(WeightVersion::toString));
		long now = this.context.clock().millis();
		boolean allRead = this.listsRead && this.storeReadAt >= this.activeSince;
		if (!allRead && now - this.activeSince < NEW_READER_MILLIS) {
			return;
		}
		boolean same = infos.equals(this.lastSent) && versions.equals(this.lastHeads);
		if (same && now - this.sentAt < SEND_MILLIS) {
			return;
		}
		this.sequence = Math.max(this.sequence + 1, this.context.wall().millis());
		EndpointSet set = new EndpointSet(this.context.settings().failureDomain(), this.sequence, infos, versions);
		EndpointSetOffer offer = new EndpointSetOffer(set.domain(), set.sequence(), set.contentHash());
		List<PeerLink> lacking = new ArrayList<>();
		this.context.links()
			.callAll((link) -> link.remote().knows(EndpointSetOffer.class) ? offer : set)
			.forEach((answer) -> {
				if (answer.link() != null && answer.result().isLeft()
						&& answer.result().getLeft() instanceof PeerFailure.Rejected rejected
						&& rejected.reason().equals(EndpointSetOffer.NEED_SET)) {
					lacking.add(answer.link());
				}
			});
		this.context.counters().counter("endpoint_sets_sent_total").inc(lacking.size());
		lacking.stream()
			.map((link) -> CompletableFuture.runAsync(() -> link.call(set, SET_TIMEOUT_MILLIS), this.context.threads()))
			.toList()
			.forEach(CompletableFuture::join);
		this.lastSent = infos;
		this.lastHeads = versions;
		this.sentAt = now;
	}

	/**
	 * An endpoint of the domain.
	 *
	 * @param info what the entry processes are told
	 * @param load its last load report
	 * @param since when it was first seen, on the monotonic clock
	 */
	record Endpoint(EndpointInfo info, Load load, long since) {
	}

	/**
	 * A load report.
	 *
	 * @param at when it was read, on the monotonic clock; negative for never
	 * @param running requests that the endpoint serves
	 * @param waiting requests that it queues
	 * @param leaving whether it leaves by its own sign
	 * @param versions its version of each line
	 */
	record Load(long at, int running, int waiting, boolean leaving, Map<LineId, Long> versions) {

		private static final Load NONE = new Load(-1, 0, 0, false, Map.of());

		private static Load of(JsonNode node, long now) {
			Map<LineId, Long> versions = new HashMap<>();
			node.path("weight_versions")
				.properties()
				.forEach((entry) -> versions.put(LineId.of(entry.getKey()), entry.getValue().asLong()));
			return new Load(now, node.path("running").asInt(), node.path("waiting").asInt(),
					node.path("leaving").asBoolean(), versions);
		}

		boolean isKnown() {
			return this.at >= 0;
		}

	}

	private record Listed(String address, FailureDomain domain, ServiceId service, boolean cheap, boolean leaving) {

		private Listed withLeaving(boolean further) {
			return new Listed(this.address, this.domain, this.service, this.cheap, this.leaving || further);
		}

	}

	private record Head(long storeVersion, long number) {
	}

}
