package org.bamboorelay.entry.process;

import java.util.List;
import java.util.Objects;
import java.util.UUID;
import java.util.random.RandomGenerator;

import org.bamboorelay.core.connection.PeerMessage;
import org.bamboorelay.entry.request.CallerRoute;
import org.bamboorelay.entry.request.CreditSource;
import org.bamboorelay.entry.request.Problems;
import org.bamboorelay.entry.request.RolloutParts;
import org.bamboorelay.entry.request.RolloutRoutes;
import org.bamboorelay.entry.request.RolloutThreads;
import org.jspecify.annotations.Nullable;

/**
 * Builds admission and trainer routes into an entry process.
 * <p>
 * Used by the thread that starts the process; the status may be read by any thread.
 */
final class EntryComposition implements EntryPlugins {

	/** Samples that run at once on a host; each has a thread. */
	private static final int MAX_RUNNING_SAMPLES = 256;

	private static final int MAX_ROLLOUT_TASKS = 32;

	private static final int MAX_RUNNING_PER_STEP = 128;

	/**
	 * Finished samples that wait for their batch, own ones and copies for other hosts.
	 */
	private static final long MAX_SAMPLE_BYTES = 32L * 1_048_576;

	private volatile @Nullable CreditService credits;

	private volatile @Nullable RolloutRoutes rollouts;

	@Override
	public CreditSource credits(EntryParts parts) {
		CreditService service = CreditService.builder()
			.mesh(parts.mesh())
			.configuration(parts.configuration())
			.pool(parts.pool())
			.counters(parts.counters())
			.clock(parts.clock())
			.random(RandomGenerator.getDefault())
			.executor(parts.threads())
			.build();
		parts.mesh().digests(service::digests);
		parts.mesh().onDigests(service::digestsFrom);
		service.start();
		this.credits = service;
		return service;
	}

	@Override
	public List<CallerRoute> routes(EntryParts parts, CreditSource source) {
		RolloutThreads threads = RolloutThreads.of(MAX_RUNNING_SAMPLES, MAX_ROLLOUT_TASKS);
		RolloutRoutes rollouts = RolloutRoutes.of(
				new RolloutParts(parts.mesh(), parts.store(), source, parts.engines(), parts.configuration(),
						parts.usage(), parts.counters(), parts.clock(), threads, () -> UUID.randomUUID().toString(),
						new RolloutParts.Limits(MAX_RUNNING_PER_STEP, MAX_SAMPLE_BYTES)),
				Problems.of(parts.counters()));
		CreditService service = Objects.requireNonNull(this.credits, "credits");
		parts.mesh().register(PeerMessage.EndpointSet.class, (set) -> {
			set.weightHeads().forEach(rollouts::newWeights);
			return service.accept(set);
		});
		parts.mesh().register(PeerMessage.EndpointSetOffer.class, (offer) -> {
			// Steps that began after the set came are told as well.
			service.weightHeads().forEach(rollouts::newWeights);
			return service.accept(offer);
		});
		rollouts.start();
		this.rollouts = rollouts;
		return List.of(rollouts);
	}

	@Override
	public Object endpoints() {
		CreditService service = this.credits;
		return (service != null) ? service.status() : List.of();
	}

	@Override
	public void leave() {
		RolloutRoutes routes = this.rollouts;
		if (routes != null) {
			routes.leave();
		}
		CreditService service = this.credits;
		if (service != null) {
			service.close();
		}
	}

}
