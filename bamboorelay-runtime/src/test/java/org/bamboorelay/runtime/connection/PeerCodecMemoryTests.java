package org.bamboorelay.runtime.connection;

import java.io.ByteArrayInputStream;
import java.io.DataInputStream;
import java.util.List;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;

import org.bamboorelay.core.connection.PeerMessage;
import org.bamboorelay.runtime.request.Json;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests for the memory that idle threads keep after they have encoded and decoded large
 * messages. Hosts with several hundred threads ran out of memory, as each thread kept its
 * last frame and its buffers.
 */
@Timeout(60)
class PeerCodecMemoryTests {

	private static final int THREADS = 100;

	private static final int VALUE_BYTES = 400_000;

	/** Half of what a frame of each thread would occupy. */
	private static final long MAX_RETAINED_BYTES = (long) THREADS * VALUE_BYTES / 2;

	@Test
	void idleThreadsDoNotKeepTheirLastMessage() throws InterruptedException {
		PeerMessage message = new PeerMessage.ObjectChanges("kind", 1, 2,
				List.of(new PeerMessage.RelayedObject("kind/a", 1, new byte[VALUE_BYTES], false)));
		byte[] frame = PeerCodec.encode(0, message);
		assertThat(retainedBytes(() -> {
			assertThat(PeerCodec.read(new DataInputStream(new ByteArrayInputStream(frame))).isRight()).isTrue();
			assertThat(PeerCodec.encode(0, message)).hasSameSizeAs(frame);
		})).isLessThan(MAX_RETAINED_BYTES);
	}

	@Test
	void idleThreadsDoNotKeepBuffersOfJsonValues() throws InterruptedException {
		String value = "x".repeat(VALUE_BYTES);
		assertThat(retainedBytes(() -> assertThat(Json.bytes(value)).hasSize(VALUE_BYTES + 2)))
			.isLessThan(THREADS * 50_000L);
	}

	// Runs a task in many threads one after the other, and returns by how much the used
	// memory has grown while all threads are alive.
	private static long retainedBytes(Runnable task) throws InterruptedException {
		task.run();
		long before = usedBytes();
		CountDownLatch end = new CountDownLatch(1);
		ExecutorService threads = Executors.newCachedThreadPool();
		try {
			for (int index = 0; index < THREADS; index++) {
				CountDownLatch done = new CountDownLatch(1);
				threads.execute(() -> {
					task.run();
					done.countDown();
					awaitQuietly(end);
				});
				done.await();
			}
			return usedBytes() - before;
		}
		finally {
			end.countDown();
			threads.shutdown();
		}
	}

	private static void awaitQuietly(CountDownLatch latch) {
		try {
			latch.await();
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
		}
	}

	private static long usedBytes() {
		System.gc();
		return Runtime.getRuntime().totalMemory() - Runtime.getRuntime().freeMemory();
	}

}
