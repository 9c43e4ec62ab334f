package org.bamboorelay.entry.process;

import java.util.concurrent.ArrayBlockingQueue;
import java.util.concurrent.BlockingQueue;

import org.bamboorelay.core.request.AdmissionQueue;
import org.bamboorelay.entry.request.RouteRequest;
import org.jspecify.annotations.Nullable;

/**
 * A request that waits for a credit. Steps are passed to the waiting thread through a
 * queue; all other state is guarded by the lock of the {@link CreditShard}.
 */
final class CreditWaiter {

	final RouteRequest request;

	/**
	 * Holds at most one step: a request is either in the admission queue or has a step.
	 */
	final BlockingQueue<CreditStep> steps = new ArrayBlockingQueue<>(1);

	AdmissionQueue.@Nullable Ticket ticket;

	@Nullable CreditStep next;

	CreditWaiter(RouteRequest request) {
		this.request = request;
	}

}
