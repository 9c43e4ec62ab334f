package org.bamboorelay.entry.process;

import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.LongAdder;

import org.bamboorelay.core.connection.PeerMessage;
import org.bamboorelay.core.version.ServiceId;
import org.bamboorelay.core.version.WorkspaceId;

/**
 * Counts served requests and tokens since the start of the process. Counts are
 * cumulative, so a reader may miss any reading except the final one.
 * <p>
 * Thread-safe.
 */
public final class UsageTable implements UsageMeter {

	private final String incarnation;

	private final Map<Key, Count> counts = new ConcurrentHashMap<>();

	private final CountDownLatch finalRead = new CountDownLatch(1);

	private volatile boolean closing;

	private volatile boolean read;

	private UsageTable(String incarnation) {
		this.incarnation = Objects.requireNonNull(incarnation, "incarnation");
	}

	/**
	 * Creates an empty table.
	 * @param incarnation unique for each start of the process
	 * @return the table
	 */
	public static UsageTable of(String incarnation) {
		return new UsageTable(incarnation);
	}

	@Override
	public void recordUsage(WorkspaceId workspace, ServiceId service, long tokens) {
		Count count = this.counts.computeIfAbsent(new Key(workspace, service), (unused) -> new Count());
		count.requests.increment();
		count.tokens.add(tokens);
	}

	/**
	 * Returns the current counts to a reader.
	 * @param pull the request of the reader
	 * @return the counts
	 */
	public PeerMessage.UsageCounters counters(PeerMessage.UsagePull pull) {
		boolean isFinal = this.closing;
		List<PeerMessage.UsageCount> rows = this.counts.entrySet()
			.stream()
			.map((entry) -> new PeerMessage.UsageCount(entry.getKey().workspace(), entry.getKey().service(),
					entry.getValue().requests.sum(), entry.getValue().tokens.sum()))
			.sorted(Comparator.comparing(PeerMessage.UsageCount::workspace)
				.thenComparing(PeerMessage.UsageCount::service))
			.toList();
		this.read = true;
		if (isFinal) {
			this.finalRead.countDown();
		}
		return new PeerMessage.UsageCounters(this.incarnation, isFinal, rows);
	}

	/**
	 * Marks the counts as final, and waits until a reader has fetched them. Returns
	 * immediately if the counts were never read.
	 * @param timeoutMillis the maximum wait, in milliseconds
	 * @return whether the final counts were read
	 * @throws InterruptedException if the waiting thread is interrupted
	 */
	public boolean close(long timeoutMillis) throws InterruptedException {
		this.closing = true;
		return this.read && this.finalRead.await(timeoutMillis, TimeUnit.MILLISECONDS);
	}

	private record Key(WorkspaceId workspace, ServiceId service) {
	}

	private static final class Count {

		private final LongAdder requests = new LongAdder();

		private final LongAdder tokens = new LongAdder();

	}

}
