package org.bamboorelay.host.connection;

import java.io.IOException;
import java.net.ServerSocket;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;
import java.util.concurrent.locks.LockSupport;
import java.util.function.BooleanSupplier;

import org.bamboorelay.core.connection.PeerMessage;
import org.bamboorelay.core.version.FailureDomain;
import org.bamboorelay.core.version.HostId;
import org.bamboorelay.host.process.EventLog;
import org.bamboorelay.runtime.connection.PeerLink;
import org.bamboorelay.runtime.connection.PeerListener;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests of {@link HostMesh} over loopback, with a clock that the test moves.
 */
class HostMeshTests {

	private static final long LIMIT_MILLIS = 10_000;

	private static final long BEAT_MILLIS = 300;

	/** More hosts than tell each other directly. */
	private static final int MANY_HOSTS = 20;

	private static final PeerMessage.HostStatus IDLE = new PeerMessage.HostStatus(false, false, 0, true, Map.of(),
			List.of(), Map.of(), Map.of(), Map.of(), Map.of());

	private final ExecutorService threads = Executors.newCachedThreadPool();

	private final AtomicLong now = new AtomicLong(100_000);

	private final Set<PeerLink> links = ConcurrentHashMap.newKeySet();

	private final List<AutoCloseable> closing = new ArrayList<>();

	private final AtomicInteger statuses = new AtomicInteger();

	private final HostMesh mesh = mesh("host-a", "domain-a");

	@AfterEach
	void stop() throws Exception {
		this.mesh.close();
		for (AutoCloseable open : this.closing) {
			open.close();
		}
		this.threads.shutdownNow();
		assertThat(this.threads.awaitTermination(LIMIT_MILLIS, TimeUnit.MILLISECONDS)).isTrue();
	}

	@Test
	void linkThatWentSilentIsReplaced() throws IOException {
		// Changes that were sent on such a link were lost, and found out seconds later.
		peer(false);
		beats(20, () -> this.links.size() >= 2);
		assertThat(this.links).hasSizeGreaterThanOrEqualTo(2);
	}

	@Test
	void linkThatIsAcknowledgedStays() throws IOException {
		peer(true);
		beats(40, () -> false);
		assertThat(this.links).hasSize(1);
	}

	@Test
	void manyHostsHearEachOtherThroughRelays() throws IOException {
		// Statuses to all others do not fit small hosts once there are many.
		Map<String, HostMesh> meshes = new TreeMap<>();
		Map<String, String> addresses = new TreeMap<>();
		for (int index = 0; index < MANY_HOSTS; index++) {
			String host = "host-" + index;
			HostMesh opened = mesh(host, "domain-" + index % 3);
			String address = "127.0.0.1:" + freePort();
			opened.open(address);
			this.closing.add(opened);
			meshes.put(host, opened);
			addresses.put(host, address);
		}
		meshes.values()
			.forEach((opened) -> addresses.forEach((host, address) -> opened.put(host, address,
					"domain-" + Integer.parseInt(host.substring("host-".length())) % 3, 1)));
		beat(meshes, () -> meshes.values().stream().allMatch((mesh) -> mesh.liveHosts().size() == MANY_HOSTS));
		assertThat(meshes.values()).allMatch((mesh) -> mesh.liveHosts().size() == MANY_HOSTS);
		long links = meshes.values().stream().mapToLong(HostMesh::links).sum();
		assertThat(links).as("links").isLessThanOrEqualTo(2L * 3 * MANY_HOSTS);

		String relay = meshes.keySet().stream().filter((host) -> meshes.get(host).isStoreReader()).findFirst().get();
		meshes.remove(relay).close();
		beat(meshes, () -> meshes.values().stream().allMatch((mesh) -> mesh.liveHosts().size() == MANY_HOSTS - 1));
		assertThat(meshes.values()).as("after the loss of a relay")
			.allMatch((mesh) -> mesh.liveHosts().size() == MANY_HOSTS - 1);
	}

	private void beat(Map<String, HostMesh> meshes, BooleanSupplier enough) {
		for (int beat = 0; beat < 60 && !enough.getAsBoolean(); beat++) {
			this.now.addAndGet(BEAT_MILLIS);
			meshes.values().forEach((mesh) -> mesh.beat(() -> IDLE));
			until(enough, 50);
		}
	}

	private static int freePort() throws IOException {
		try (ServerSocket socket = new ServerSocket(0)) {
			return socket.getLocalPort();
		}
	}

	// A peer that counts links and statuses, and acknowledges the statuses or does not.
	private void peer(boolean acknowledges) throws IOException {
		PeerMessage.Hello hello = PeerMessage.Hello.of("platform", HostId.of("host-b"), FailureDomain.of("domain-b"),
				"entry", "1");
		PeerListener peer = PeerListener.open("127.0.0.1", 0, hello, (link, message) -> {
			this.links.add(link);
			if (acknowledges) {
				link.send(new PeerMessage.Ack(true));
			}
			this.statuses.incrementAndGet();
			return null;
		}, (failure) -> {
		}, this.threads);
		this.closing.add(peer);
		this.mesh.put("host-b", "127.0.0.1:" + peer.port(), "domain-b", 1);
	}

	private void beats(int count, BooleanSupplier enough) {
		for (int beat = 0; beat < count && !enough.getAsBoolean(); beat++) {
			int before = this.statuses.get();
			this.now.addAndGet(BEAT_MILLIS);
			this.mesh.beat(() -> IDLE);
			// A beat without an open link only connects.
			until(() -> this.statuses.get() > before, 100);
		}
	}

	private HostMesh mesh(String host, String domain) {
		return HostMesh.of(host, domain, 1, "1", this.now::get, this.threads, new EventLog());
	}

	private static void until(BooleanSupplier condition, long millis) {
		long end = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(millis);
		while (!condition.getAsBoolean() && System.nanoTime() < end) {
			LockSupport.parkNanos(1_000_000);
		}
	}

}
