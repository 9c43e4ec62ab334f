package org.bamboorelay.core.process;

import java.util.ArrayDeque;
import java.util.Arrays;
import java.util.Deque;
import java.util.Random;
import java.util.Set;
import java.util.concurrent.atomic.AtomicLong;

import org.bamboorelay.core.version.EndpointId;

/**
 * Measures the time to grant and release a credit and the memory per endpoint, for
 * several numbers of endpoints.
 */
public final class CreditLedgerBenchmark {

	private static final int ROUNDS = 400_000;

	private CreditLedgerBenchmark() {
	}

	/**
	 * Measures each number of endpoints twice and prints a line for each measurement; the
	 * first one of each pair is the warm-up.
	 * @param args none
	 */
	public static void main(String[] args) {
		for (int size : new int[] { 8, 64, 825, 6_600 }) {
			measure(size);
			measure(size);
		}
	}

	private static void measure(int size) {
		Random random = new Random(size);
		long[] nanos = new long[ROUNDS];
		long before = usedBytes();
		AtomicLong ids = new AtomicLong();
		CreditLedger ledger = CreditLedger.of(EndpointSelection.of(random), ids::incrementAndGet);
		ledger.policies(false, true);
		for (int i = 0; i < size; i++) {
			ledger.addEndpoint(EndpointId.of("endpoint-" + i), false, 16, 0);
		}
		long bytes = (usedBytes() - before) / size;
		Deque<Long> credits = new ArrayDeque<>();
		for (int i = 0; i < ROUNDS; i++) {
			EndpointSelection.Query query = new EndpointSelection.Query(random.nextBoolean(), true,
					random.nextInt(10_000), 100, Set.of());
			// Credits are released once more than half of the capacity is granted.
			Long released = (credits.size() > size * 8) ? credits.removeFirst() : null;
			long start = System.nanoTime();
			if (released != null) {
				ledger.release(released, CreditLedger.Outcome.OK, 20, CreditLedger.CREDIT_LIFETIME_MILLIS);
			}
			ledger.grant(query, CreditLedger.CREDIT_LIFETIME_MILLIS)
				.forEach((grantedCredit) -> credits.add(grantedCredit.credit()));
			nanos[i] = System.nanoTime() - start;
		}
		Arrays.sort(nanos);
		System.out.printf("endpoints=%d p50=%d ns p99=%d ns bytes_per_endpoint=%d bytes_per_endpoint_loaded=%d%n", size,
				nanos[ROUNDS / 2], nanos[ROUNDS / 100 * 99], bytes, (usedBytes() - before) / size);
		if (ledger.ownedEndpoints().size() != size || credits.isEmpty() || nanos[0] < 0) {
			throw new IllegalStateException("unexpected number of endpoints or credits, or negative time");
		}
	}

	private static long usedBytes() {
		System.gc();
		return Runtime.getRuntime().totalMemory() - Runtime.getRuntime().freeMemory();
	}

}
