package org.bamboorelay.host.connection;

import java.io.IOException;
import java.net.ServerSocket;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;
import java.util.concurrent.locks.LockSupport;
import java.util.function.BooleanSupplier;

import org.bamboorelay.core.connection.PeerMessage;
import org.bamboorelay.core.process.MemoryBudget;
import org.bamboorelay.host.process.EventLog;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests for the memory of messages that a host sends to many others. A slow or
 * partitioned link kept up to 200 messages of any size, and each link its own copy of the
 * one that it was sending.
 */
class OutboundMemoryTests {

	private static final long TIMEOUT_MILLIS = 10_000;

	private static final long MAX_BYTES = 4_000_000;

	private static final int VALUE_BYTES = 300_000;

	/** Together more than the buffers of a loopback connection. */
	private static final int MESSAGES = 100;

	private static final int BLOCKED_HOSTS = 4;

	private final ExecutorService executor = Executors.newCachedThreadPool();

	private final AtomicLong now = new AtomicLong(100_000);

	private final MemoryBudget budget = MemoryBudget.of(MAX_BYTES);

	private final CountDownLatch released = new CountDownLatch(1);

	private final List<HostMesh> meshes = new ArrayList<>();

	private final HostMesh sender = HostMesh.of("host-a", "domain-a", 1, "1", this.budget, this.now::get, this.executor,
			new EventLog());

	@AfterEach
	void stop() throws InterruptedException {
		this.released.countDown();
		this.sender.close();
		this.meshes.forEach(HostMesh::close);
		this.executor.shutdownNow();
		assertThat(this.executor.awaitTermination(TIMEOUT_MILLIS, TimeUnit.MILLISECONDS)).isTrue();
	}

	@Test
	void messagesToHostsThatDoNotReadStayWithinTheBudget() throws IOException {
		for (int index = 0; index < BLOCKED_HOSTS; index++) {
			addReceiver("blocked-" + index).onChanges((changes) -> awaitRelease());
		}
		link();
		for (int message = 0; message < MESSAGES; message++) {
			this.sender.publish(changes(message));
			assertThat(this.budget.reservedBytes()).isLessThanOrEqualTo(MAX_BYTES);
		}
		this.released.countDown();
		awaitCondition(() -> this.budget.reservedBytes() == 0);
		assertThat(this.budget.reservedBytes()).as("after all links have sent or dropped their messages").isZero();
	}

	@Test
	void hostThatReadsReceivesMessagesBesideHostsThatDoNot() throws IOException {
		for (int index = 0; index < BLOCKED_HOSTS; index++) {
			addReceiver("blocked-" + index).onChanges((changes) -> awaitRelease());
		}
		AtomicInteger received = new AtomicInteger();
		addReceiver("sound").onChanges((changes) -> received.incrementAndGet());
		link();
		for (int message = 0; message < MESSAGES; message++) {
			int before = received.get();
			this.sender.publish(changes(message));
			awaitCondition(() -> received.get() > before);
		}
		assertThat(received).hasValue(MESSAGES);
	}

	@Test
	void messageToManyHostsIsReservedOnce() throws IOException {
		// Each of five links would need its own copy of the value.
		CountDownLatch arrived = new CountDownLatch(BLOCKED_HOSTS + 1);
		for (int index = 0; index <= BLOCKED_HOSTS; index++) {
			addReceiver("host-b" + index).onChanges((changes) -> arrived.countDown());
		}
		link();
		this.sender.publish(changes(1));
		assertThat(this.budget.reservedBytes()).isLessThan(2 * VALUE_BYTES);
		awaitCondition(() -> arrived.getCount() == 0);
		assertThat(arrived.getCount()).isZero();
	}

	private HostMesh addReceiver(String host) throws IOException {
		HostMesh receiver = HostMesh.of(host, "domain-b", 1, "1", this.now::get, this.executor, new EventLog());
		this.meshes.add(receiver);
		String address = "127.0.0.1:" + freePort();
		receiver.open(address);
		this.sender.putHost(host, address, "domain-b", 1);
		return receiver;
	}

	// Opens all links of the sender. The receivers send no status, so the clock stands.
	private void link() {
		PeerMessage.HostStatus status = new PeerMessage.HostStatus(false, false, 0, true, Map.of(), List.of(), Map.of(),
				Map.of(), Map.of(), Map.of(), List.of(), Map.of());
		this.sender.sendStatus(() -> status);
		awaitCondition(() -> this.sender.openLinks() == this.meshes.size());
		assertThat(this.sender.openLinks()).isEqualTo(this.meshes.size());
	}

	private static PeerMessage.ObjectChanges changes(int revision) {
		return new PeerMessage.ObjectChanges("kind", revision, revision + 1L,
				List.of(new PeerMessage.RelayedObject("kind/a", 1, new byte[VALUE_BYTES], false)));
	}

	private void awaitRelease() {
		try {
			this.released.await();
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
		}
	}

	private static int freePort() throws IOException {
		try (ServerSocket socket = new ServerSocket(0)) {
			return socket.getLocalPort();
		}
	}

	private static void awaitCondition(BooleanSupplier condition) {
		long end = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(TIMEOUT_MILLIS);
		while (!condition.getAsBoolean() && System.nanoTime() < end) {
			LockSupport.parkNanos(1_000_000);
		}
	}

}
