package org.bamboorelay.core.scenario;

import java.nio.charset.StandardCharsets;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

import org.bamboorelay.core.process.StoreOperation;
import org.bamboorelay.core.request.BatchRecord;
import org.bamboorelay.core.request.DeliveryState;
import org.bamboorelay.core.store.StoredObject;

/**
 * A trainer that fetches batches in sequence and publishes new weight versions. It has at
 * most one fetch outstanding, and abandons it before publishing or fetching again.
 */
final class Trainer {

	private static final long FETCH_INTERVAL_MILLIS = 300;

	private static final long FETCH_TIMEOUT_MILLIS = 3_000;

	private static final int PUBLISH_INTERVAL_MILLIS = 2_500;

	private final Simulation simulation;

	private long version = 1;

	private int step = 1;

	private long seq;

	/** Whether the previous batch was reported as gone. */
	private boolean lostBefore;

	/** The id of the outstanding fetch; 0 if none. */
	private long openFetchId;

	private long nextPublish;

	int completedSteps;

	Trainer(Simulation simulation) {
		this.simulation = simulation;
		this.simulation.network.store.put("weights/s/cartas", "1".getBytes(StandardCharsets.UTF_8));
	}

	void start() {
		this.simulation.loop.after(FETCH_INTERVAL_MILLIS, this::fetchNext);
	}

	long publishedVersion() {
		return this.version;
	}

	private void fetchNext() {
		if (this.simulation.loop.now() >= this.nextPublish) {
			this.nextPublish = this.simulation.loop.now() + PUBLISH_INTERVAL_MILLIS / 2
					+ this.simulation.random.nextInt(PUBLISH_INTERVAL_MILLIS);
			publish();
		}
		Fetch fetch = new Fetch(this.simulation.nextId(), this.step, this.seq, this.version, this.lostBefore);
		this.openFetchId = fetch.id();
		SimulatedProcess host = this.simulation.rolloutHost(this.step);
		this.simulation.loop.after(this.simulation.network.latency(), host,
				() -> this.simulation.rollouts.get(host).fetch(fetch));
		this.simulation.loop.after(FETCH_TIMEOUT_MILLIS, () -> {
			if (this.openFetchId == fetch.id()) {
				fetchNext();
			}
		});
	}

	private void publish() {
		this.version++;
		long published = this.version;
		this.simulation.journal.trace(() -> "trainer publishes version " + published);
		SimulatedProcess host = this.simulation.randomHost();
		this.simulation.loop.after(this.simulation.network.latency(), host, () -> write(host, published));
		this.simulation.rollouts
			.forEach((peer, node) -> this.simulation.network.send(host, peer, () -> node.onPublished(published)));
	}

	private void write(SimulatedProcess host, long published) {
		this.simulation.network.store(host, new StoreOperation.Read("weights/s/cartas"), (found) -> {
			if (found.isLeft() || found.get().isEmpty()) {
				return;
			}
			StoredObject head = found.get().get();
			if (Long.parseLong(new String(head.body(), StandardCharsets.UTF_8)) < published) {
				this.simulation.network.store(
						host, new StoreOperation.Write(head.key(),
								Long.toString(published).getBytes(StandardCharsets.UTF_8), head.version()),
						(ignored) -> {
						});
			}
		});
	}

	/** Delivers the response to a fetch; some responses are lost in transit. */
	void onResponse(Fetch fetch, DeliveryState.Action response, Map<String, RolloutNode.Attempt> bodies) {
		boolean lost = this.simulation.random.nextInt(25) == 0;
		this.simulation.loop.after(this.simulation.network.latency(), () -> {
			if (!lost && this.openFetchId == fetch.id()) {
				this.openFetchId = 0;
				handle(fetch, response, bodies);
				this.simulation.loop.after(FETCH_INTERVAL_MILLIS, this::fetchNext);
			}
		});
	}

	private void handle(Fetch fetch, DeliveryState.Action response, Map<String, RolloutNode.Attempt> bodies) {
		this.simulation.journal.trace(() -> "trainer receives " + response + " for its fetch of batch " + fetch.seq());
		if (!(response instanceof DeliveryState.Action.Pending)) {
			this.lostBefore = response instanceof DeliveryState.Action.Gone;
		}
		if (response instanceof DeliveryState.Action.Serve serve) {
			Set<String> ids = new HashSet<>();
			for (BatchRecord.Entry sample : serve.samples()) {
				ids.add(sample.id());
				RolloutNode.Attempt body = bodies.get(sample.id());
				List<Long> labelledVersions = body.labelledVersions(this.simulation.mutation);
				this.simulation.observe(new Observation.SampleDelivered(fetch.step(), fetch.seq(), sample.id(),
						sample.slot(), labelledVersions, List.copyOf(body.actualVersions()), this.version,
						RolloutNode.BOUND.maxVersions()));
			}
			this.simulation.observe(new Observation.SamplesWithheld(fetch.step(),
					serve.expired().stream().map(BatchRecord.Entry::slot).toList()));
			this.seq++;
		}
		else if (response instanceof DeliveryState.Action.Gone) {
			this.seq++;
		}
		else if (response instanceof DeliveryState.Action.Complete) {
			this.simulation.observe(new Observation.StepCompleted(fetch.step(), RolloutNode.PLAN.size()));
			this.completedSteps++;
			this.step++;
			this.seq = 0;
		}
	}

	/**
	 * A request for the next batch of a step.
	 */
	record Fetch(long id, int step, long seq, long trainerVersion, boolean lostBefore) {
	}

}
