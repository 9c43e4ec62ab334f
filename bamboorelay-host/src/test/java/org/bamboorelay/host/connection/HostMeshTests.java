package org.bamboorelay.host.connection;

import java.io.IOException;
import java.net.ServerSocket;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Queue;
import java.util.Set;
import java.util.TreeMap;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;
import java.util.concurrent.locks.LockSupport;
import java.util.function.BooleanSupplier;
import java.util.stream.Collectors;

import org.bamboorelay.core.connection.PeerMessage;
import org.bamboorelay.core.connection.PeerProtocol;
import org.bamboorelay.core.version.FailureDomain;
import org.bamboorelay.core.version.HostId;
import org.bamboorelay.host.process.EventLog;
import org.bamboorelay.runtime.connection.PeerFailure;
import org.bamboorelay.runtime.connection.PeerLink;
import org.bamboorelay.runtime.connection.PeerListener;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests for {@link HostMesh} over loopback connections with a manual clock.
 */
class HostMeshTests {

	private static final long TIMEOUT_MILLIS = 10_000;

	private static final long STATUS_INTERVAL_MILLIS = 300;

	/** More hosts than exchange statuses directly. */
	private static final int MANY_HOSTS = 20;

	private static final PeerMessage.HostStatus IDLE = new PeerMessage.HostStatus(false, false, 0, true, Map.of(),
			List.of(), Map.of(), Map.of(), Map.of(), Map.of(), List.of(), Map.of());

	private final ExecutorService executor = Executors.newCachedThreadPool();

	private final AtomicLong now = new AtomicLong(100_000);

	private final Set<PeerLink> links = ConcurrentHashMap.newKeySet();

	private final List<AutoCloseable> resources = new ArrayList<>();

	private final AtomicInteger statusCount = new AtomicInteger();

	private final HostMesh mesh = mesh("host-a", "domain-a");

	@AfterEach
	void stop() throws Exception {
		this.mesh.close();
		for (AutoCloseable resource : this.resources) {
			resource.close();
		}
		this.executor.shutdownNow();
		assertThat(this.executor.awaitTermination(TIMEOUT_MILLIS, TimeUnit.MILLISECONDS)).isTrue();
	}

	@Test
	void unacknowledgedLinkIsReplaced() throws IOException {
		// Changes sent on a stalled link were lost, which was noticed only seconds later.
		startPeer(false);
		sendStatuses(20, () -> this.links.size() >= 2);
		assertThat(this.links).hasSizeGreaterThanOrEqualTo(2);
	}

	@Test
	void acknowledgedLinkStaysOpen() throws IOException {
		startPeer(true);
		this.mesh.sendStatus(() -> IDLE);
		awaitCondition(() -> this.mesh.openLinks() == 1, TIMEOUT_MILLIS);
		for (int beat = 0; beat < 40; beat++) {
			this.now.addAndGet(STATUS_INTERVAL_MILLIS);
			this.mesh.sendStatus(() -> IDLE);
			// The peer receives the status before this host handles the acknowledgement.
			awaitCondition(() -> this.mesh.lastAcknowledgedMillis("host-b") == this.now.get(), TIMEOUT_MILLIS);
		}
		assertThat(this.links).hasSize(1);
	}

	@Test
	void manyHostsReceiveStatusesThroughRelaysAlsoAfterLossOfOne() throws IOException {
		// With many hosts, sending a status to every other host overloads small hosts.
		Map<String, HostMesh> meshes = new TreeMap<>();
		Map<String, String> addresses = new TreeMap<>();
		for (int index = 0; index < MANY_HOSTS; index++) {
			String host = "host-" + index;
			HostMesh opened = mesh(host, "domain-" + index % 3);
			String address = "127.0.0.1:" + freePort();
			opened.open(address);
			this.resources.add(opened);
			meshes.put(host, opened);
			addresses.put(host, address);
		}
		meshes.values()
			.forEach((opened) -> addresses.forEach((host, address) -> opened.putHost(host, address,
					"domain-" + Integer.parseInt(host.substring("host-".length())) % 3, 1)));
		exchangeStatuses(meshes,
				() -> meshes.values().stream().allMatch((mesh) -> mesh.liveHosts().size() == MANY_HOSTS));
		assertThat(meshes.values()).allMatch((mesh) -> mesh.liveHosts().size() == MANY_HOSTS);
		long links = meshes.values().stream().mapToLong(HostMesh::openLinks).sum();
		assertThat(links).as("links").isLessThanOrEqualTo(2L * 3 * MANY_HOSTS);
		assertThat(meshes.values()).allMatch((mesh) -> mesh.knownHostCount() == MANY_HOSTS);
		assertCentralHosts(meshes);

		String relay = meshes.keySet().stream().filter((host) -> meshes.get(host).isStoreWatcher()).findFirst().get();
		meshes.remove(relay).close();
		exchangeStatuses(meshes,
				() -> meshes.values().stream().allMatch((mesh) -> mesh.liveHosts().size() == MANY_HOSTS - 1));
		assertThat(meshes.values()).as("after the loss of a relay")
			.allMatch((mesh) -> mesh.liveHosts().size() == MANY_HOSTS - 1);
	}

	@Test
	void silentHostLosesItsWorkBeforeItCountsAsLost() throws IOException {
		// A training step waited 2.8 s for another host after the domain of its owner had
		// been cut off.
		linkedMesh();
		this.now.addAndGet(3 * STATUS_INTERVAL_MILLIS);
		assertThat(this.mesh.isResponsive("host-b")).isTrue();
		assertThat(this.mesh.silentDomains()).isEmpty();
		this.now.addAndGet(STATUS_INTERVAL_MILLIS);
		assertThat(this.mesh.isResponsive("host-b")).isFalse();
		assertThat(this.mesh.silentDomains()).containsExactly("domain-b");
		assertThat(this.mesh.highCapacityHosts()).containsExactly("host-a");
		assertThat(this.mesh.liveHosts()).containsExactly("host-a", "host-b");
	}

	@Test
	void hostsThatAnnouncedTheirLeaveAreNotMissed() throws IOException {
		HostMesh other = linkedMesh();
		assertThat(this.mesh.haveOutsideHostsLeft()).isFalse();
		PeerMessage.HostStatus leaving = new PeerMessage.HostStatus(true, false, 0, true, Map.of(), List.of(), Map.of(),
				Map.of(), Map.of(), Map.of(), List.of(), Map.of());
		other.sendStatus(() -> leaving);
		awaitCondition(this.mesh::haveOutsideHostsLeft, TIMEOUT_MILLIS);
		assertThat(this.mesh.haveOutsideHostsLeft()).isTrue();
		other.sendStatus(() -> IDLE);
		awaitCondition(() -> !this.mesh.haveOutsideHostsLeft(), TIMEOUT_MILLIS);
		assertThat(this.mesh.haveOutsideHostsLeft()).as("after a restart").isFalse();
	}

	@Test
	void weightLoadReachesOtherHosts() throws IOException {
		PeerMessage.WeightLoad load = new PeerMessage.WeightLoad("engine-1", "m", 4, false);
		Set<PeerMessage.WeightLoad> received = ConcurrentHashMap.newKeySet();
		HostMesh other = linkedMesh();
		other.onWeightLoad(received::add);
		this.mesh.publish(load);
		awaitCondition(() -> !received.isEmpty(), TIMEOUT_MILLIS);
		assertThat(received).containsExactly(load);
	}

	// Changes of large objects exceeded the frame limit, and the link never sent anything
	// again.
	@Test
	void messageThatIsTooLargeDoesNotSilenceItsLink() throws IOException {
		PeerMessage.ObjectChanges tooLarge = changes(PeerProtocol.MAX_FRAME_BYTES);
		PeerMessage.ObjectChanges small = changes(10);
		Queue<Long> received = new ConcurrentLinkedQueue<>();
		HostMesh other = linkedMesh();
		other.onChanges((changes) -> received.add(changes.to()));
		this.mesh.publish(tooLarge);
		this.mesh.publish(small);
		awaitCondition(() -> !received.isEmpty(), TIMEOUT_MILLIS);
		assertThat(received).containsExactly(small.to());
	}

	@Test
	void callWhoseResponseIsTooLargeFailsAtOnce() throws IOException {
		HostMesh other = linkedMesh();
		PeerMessage tooLarge = new PeerMessage.StoreResponse("", "", 1, false,
				changes(PeerProtocol.MAX_FRAME_BYTES).changes());
		other.register(PeerMessage.StoreRequest.class, (request) -> tooLarge);
		PeerMessage request = new PeerMessage.StoreRequest("page", "kind", "", 0, 0, new byte[0]);
		assertThat(this.mesh.call("host-b", request, TIMEOUT_MILLIS).getLeft())
			.isInstanceOf(PeerFailure.Rejected.class);
	}

	// Returns one change of an object with a value of the given size, in bytes.
	private static PeerMessage.ObjectChanges changes(int valueBytes) {
		return new PeerMessage.ObjectChanges("kind", valueBytes, valueBytes + 1L,
				List.of(new PeerMessage.RelayedObject("kind/a", 1, new byte[valueBytes], false)));
	}

	// Returns the mesh of host-b in domain-b, linked with that of host-a in both
	// directions.
	private HostMesh linkedMesh() throws IOException {
		HostMesh other = mesh("host-b", "domain-b");
		this.resources.add(other);
		String address = "127.0.0.1:" + freePort();
		String otherAddress = "127.0.0.1:" + freePort();
		this.mesh.open(address);
		other.open(otherAddress);
		this.mesh.putHost("host-b", otherAddress, "domain-b", 1);
		other.putHost("host-a", address, "domain-a", 1);
		exchangeStatuses(Map.of("host-a", this.mesh, "host-b", other),
				() -> this.mesh.liveHosts().contains("host-b") && other.liveHosts().contains("host-a"));
		return other;
	}

	private void exchangeStatuses(Map<String, HostMesh> meshes, BooleanSupplier enough) {
		for (int beat = 0; beat < 60 && !enough.getAsBoolean(); beat++) {
			this.now.addAndGet(STATUS_INTERVAL_MILLIS);
			meshes.values().forEach((mesh) -> mesh.sendStatus(() -> IDLE));
			awaitCondition(enough, 50);
		}
	}

	// Asserts that all hosts name the same central hosts, and that each can call them.
	private static void assertCentralHosts(Map<String, HostMesh> meshes) {
		Set<Set<String>> answers = meshes.values().stream().map(HostMesh::centralHosts).collect(Collectors.toSet());
		assertThat(answers).as("central hosts").hasSize(1);
		Set<String> central = answers.iterator().next();
		assertThat(central).as("central hosts").hasSize(3);
		PeerMessage.RateSlotRequest request = new PeerMessage.RateSlotRequest("e", 1, 2, true, 0);
		PeerMessage slot = new PeerMessage.RateSlot(true, 5);
		central.forEach((host) -> meshes.get(host).register(PeerMessage.RateSlotRequest.class, (received) -> slot));
		meshes.forEach((caller, mesh) -> central.stream()
			.filter((host) -> !host.equals(caller))
			.forEach((host) -> assertThat(mesh.call(host, request, TIMEOUT_MILLIS).get()).as(caller + " calls " + host)
				.isEqualTo(slot)));
	}

	private static int freePort() throws IOException {
		try (ServerSocket socket = new ServerSocket(0)) {
			return socket.getLocalPort();
		}
	}

	// Starts a peer that counts links and statuses, and optionally acknowledges statuses.
	private void startPeer(boolean acknowledges) throws IOException {
		PeerMessage.Hello hello = PeerMessage.Hello.of("platform", HostId.of("host-b"), FailureDomain.of("domain-b"),
				"entry", "1");
		PeerListener peer = PeerListener.open("127.0.0.1", 0, hello, (link, message) -> {
			this.links.add(link);
			if (acknowledges) {
				link.send(new PeerMessage.Ack(true));
			}
			this.statusCount.incrementAndGet();
			return null;
		}, (failure) -> {
		}, this.executor);
		this.resources.add(peer);
		this.mesh.putHost("host-b", "127.0.0.1:" + peer.port(), "domain-b", 1);
	}

	private void sendStatuses(int count, BooleanSupplier enough) {
		for (int beat = 0; beat < count && !enough.getAsBoolean(); beat++) {
			int before = this.statusCount.get();
			this.now.addAndGet(STATUS_INTERVAL_MILLIS);
			this.mesh.sendStatus(() -> IDLE);
			// Without an open link, a heartbeat only starts to connect.
			awaitCondition(() -> this.statusCount.get() > before, 100);
		}
	}

	private HostMesh mesh(String host, String domain) {
		return HostMesh.of(host, domain, 1, "1", this.now::get, this.executor, new EventLog());
	}

	private static void awaitCondition(BooleanSupplier condition, long millis) {
		long end = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(millis);
		while (!condition.getAsBoolean() && System.nanoTime() < end) {
			LockSupport.parkNanos(1_000_000);
		}
	}

}
