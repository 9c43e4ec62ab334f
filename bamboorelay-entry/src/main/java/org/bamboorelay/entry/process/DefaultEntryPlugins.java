package org.bamboorelay.entry.process;

import java.util.List;
import java.util.Objects;
import java.util.UUID;
import java.util.random.RandomGenerator;

import org.bamboorelay.core.connection.PeerMessage;
import org.bamboorelay.entry.request.CallerRoute;
import org.bamboorelay.entry.request.CreditSource;
import org.bamboorelay.entry.request.ProblemResponder;
import org.bamboorelay.entry.request.RolloutDependencies;
import org.bamboorelay.entry.request.RolloutExecutors;
import org.bamboorelay.entry.request.RolloutRoutes;
import org.jspecify.annotations.Nullable;

/**
 * The plugins of a production entry process: admission control and the routes for
 * trainers.
 * <p>
 * Methods that create parts are called by the thread that starts the process; the status
 * may be read by any thread.
 */
final class DefaultEntryPlugins implements EntryPlugins {

	/** Maximum number of samples that a host runs concurrently; each uses a thread. */
	private static final int MAX_RUNNING_SAMPLES = 256;

	private static final int MAX_ROLLOUT_TASKS = 32;

	private static final int MAX_RUNNING_PER_STEP = 128;

	/**
	 * Maximum size of finished samples that wait for their batch, including copies held
	 * for other hosts.
	 */
	private static final long MAX_SAMPLE_BYTES = 32L * 1_048_576;

	private volatile @Nullable CreditService credits;

	private volatile @Nullable RolloutRoutes rollouts;

	@Override
	public CreditSource credits(EntryDependencies dependencies) {
		CreditService service = CreditService.builder()
			.mesh(dependencies.mesh())
			.configuration(dependencies.configuration())
			.pool(dependencies.pool())
			.counters(dependencies.counters())
			.clock(dependencies.clock())
			.random(RandomGenerator.getDefault())
			.executor(dependencies.threads())
			.build();
		dependencies.mesh().digests(service::digests);
		dependencies.mesh().onDigests(service::applyDigests);
		service.start();
		this.credits = service;
		return service;
	}

	@Override
	public List<CallerRoute> routes(EntryDependencies dependencies, CreditSource source) {
		RolloutExecutors threads = RolloutExecutors.of(MAX_RUNNING_SAMPLES, MAX_ROLLOUT_TASKS);
		RolloutRoutes rollouts = RolloutRoutes.of(
				new RolloutDependencies(dependencies.mesh(), dependencies.store(), source, dependencies.engines(),
						dependencies.configuration(), dependencies.usage(), dependencies.counters(),
						dependencies.clock(), threads, () -> UUID.randomUUID().toString(),
						new RolloutDependencies.Limits(MAX_RUNNING_PER_STEP, MAX_SAMPLE_BYTES)),
				ProblemResponder.of(dependencies.counters()));
		CreditService service = Objects.requireNonNull(this.credits, "credits");
		dependencies.mesh().register(PeerMessage.EndpointSet.class, (set) -> {
			set.weightHeads().forEach(rollouts::onNewWeights);
			return service.accept(set);
		});
		dependencies.mesh().register(PeerMessage.EndpointSetOffer.class, (offer) -> {
			// Steps that started after the set arrived need the versions as well.
			service.weightHeads().forEach(rollouts::onNewWeights);
			return service.accept(offer);
		});
		rollouts.start();
		this.rollouts = rollouts;
		return List.of(rollouts);
	}

	@Override
	public Object endpointStatus() {
		CreditService service = this.credits;
		return (service != null) ? service.status() : List.of();
	}

	@Override
	public void leave() {
		RolloutRoutes routes = this.rollouts;
		if (routes != null) {
			routes.stopSteps();
		}
		CreditService service = this.credits;
		if (service != null) {
			service.close();
		}
	}

}
