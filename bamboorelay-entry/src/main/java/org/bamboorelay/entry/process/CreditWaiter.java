package org.bamboorelay.entry.process;

import java.util.concurrent.ArrayBlockingQueue;
import java.util.concurrent.BlockingQueue;

import org.bamboorelay.core.request.AdmissionQueue;
import org.bamboorelay.entry.request.RouteRequest;
import org.jspecify.annotations.Nullable;

/**
 * A request that waits for a credit. Its steps are handed to the waiting thread; all else
 * is guarded by the lock of its {@link CreditShard}.
 */
final class CreditWaiter {

	final RouteRequest request;

	/** A waiter has at most one step at a time: it is in the queue or has a step. */
	final BlockingQueue<CreditStep> steps = new ArrayBlockingQueue<>(1);

	AdmissionQueue.@Nullable Ticket ticket;

	@Nullable CreditStep next;

	CreditWaiter(RouteRequest request) {
		this.request = request;
	}

}
