package org.bamboorelay.host.version;

import java.io.IOException;
import java.net.ServerSocket;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
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
import org.bamboorelay.host.connection.HostMesh;
import org.bamboorelay.host.process.EventLog;
import org.bamboorelay.runtime.process.Counters;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests for store calls that a host makes through another host.
 */
class PeerFallbackStoreTests {

	private static final long TIMEOUT_MILLIS = 10_000;

	private static final int HOSTS_WITH_STORE = 3;

	private static final int HOSTS_WITHOUT_STORE = 9;

	private final ExecutorService executor = Executors.newCachedThreadPool();

	private final AtomicLong now = new AtomicLong(100_000);

	private final Map<String, HostMesh> meshes = new TreeMap<>();

	private final Map<String, String> addresses = new TreeMap<>();

	private final Map<String, AtomicInteger> served = new ConcurrentHashMap<>();

	@AfterEach
	void stop() throws InterruptedException {
		this.meshes.values().forEach(HostMesh::close);
		this.executor.shutdownNow();
		assertThat(this.executor.awaitTermination(TIMEOUT_MILLIS, TimeUnit.MILLISECONDS)).isTrue();
	}

	@Test
	void hostsWithoutStoreDoNotAllCallThroughTheSameHost() throws IOException {
		// All hosts of a domain that lost the store called the first other host by name,
		// which decoded the lists of all of them at the same time.
		List<PeerFallbackStore> stores = startHosts();
		for (PeerFallbackStore store : stores) {
			assertThat(store.listPage("servers", "").isRight()).isTrue();
		}
		int most = this.served.values().stream().mapToInt(AtomicInteger::get).max().orElse(0);
		assertThat(this.served).as("hosts that serve others").hasSize(HOSTS_WITH_STORE);
		assertThat(most).isLessThan(HOSTS_WITHOUT_STORE);
	}

	@Test
	void callGoesThroughAnotherHostIfOneIsBusy() throws IOException {
		List<PeerFallbackStore> stores = startHosts();
		this.meshes.get("host-0")
			.register(PeerMessage.StoreRequest.class, (request) -> new PeerMessage.Rejected("busy", "test"));
		this.meshes.get("host-1")
			.register(PeerMessage.StoreRequest.class, (request) -> new PeerMessage.Rejected("busy", "test"));
		for (PeerFallbackStore store : stores) {
			assertThat(store.listPage("servers", "").isRight()).isTrue();
		}
		assertThat(this.served).containsOnlyKeys("host-2");
	}

	// Starts hosts that reach the store, and returns the stores of the others.
	private List<PeerFallbackStore> startHosts() throws IOException {
		List<PeerFallbackStore> stores = new ArrayList<>();
		for (int index = 0; index < HOSTS_WITH_STORE + HOSTS_WITHOUT_STORE; index++) {
			String host = "host-" + index;
			HostMesh mesh = HostMesh.of(host, "domain-a", 1, "1", this.now::get, this.executor, new EventLog());
			String address = "127.0.0.1:" + freePort();
			mesh.open(address);
			this.meshes.put(host, mesh);
			this.addresses.put(host, address);
			if (index < HOSTS_WITH_STORE) {
				mesh.register(PeerMessage.StoreRequest.class, (request) -> {
					this.served.computeIfAbsent(host, (unused) -> new AtomicInteger()).incrementAndGet();
					return new PeerMessage.StoreResponse("", "", 1, false, List.of());
				});
			}
			else {
				stores.add(new PeerFallbackStore(new UnreachableStore(), mesh, this.now::get, Counters.create(),
						new EventLog()));
			}
		}
		this.meshes.values()
			.forEach((mesh) -> this.addresses.forEach((host, address) -> mesh.putHost(host, address, "domain-a", 1)));
		exchangeStatuses();
		return stores;
	}

	private void exchangeStatuses() {
		BooleanSupplier linked = () -> this.meshes.values()
			.stream()
			.allMatch((mesh) -> mesh.liveHosts().size() == this.meshes.size());
		for (int beat = 0; beat < 60 && !linked.getAsBoolean(); beat++) {
			this.now.addAndGet(300);
			this.meshes.forEach((host, mesh) -> {
				boolean reachesStore = Integer.parseInt(host.substring("host-".length())) < HOSTS_WITH_STORE;
				mesh.sendStatus(() -> new PeerMessage.HostStatus(false, false, 0, reachesStore, Map.of(), List.of(),
						Map.of(), Map.of(), Map.of(), Map.of(), List.of(), Map.of()));
			});
			awaitCondition(linked, 50);
		}
		assertThat(linked.getAsBoolean()).isTrue();
	}

	private static int freePort() throws IOException {
		try (ServerSocket socket = new ServerSocket(0)) {
			return socket.getLocalPort();
		}
	}

	private static void awaitCondition(BooleanSupplier condition, long millis) {
		long end = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(millis);
		while (!condition.getAsBoolean() && System.nanoTime() < end) {
			LockSupport.parkNanos(1_000_000);
		}
	}

}
