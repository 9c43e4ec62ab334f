package org.bamboorelay.entry.request;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.RejectedExecutionException;
import java.util.concurrent.locks.ReentrantLock;
import java.util.function.BooleanSupplier;

import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.vavr.control.Either;
import io.vavr.control.Option;
import org.bamboorelay.core.failure.Refusal;
import org.bamboorelay.core.failure.RefusalReason;
import org.bamboorelay.core.failure.RetryReason;
import org.bamboorelay.core.request.BatchRecord;
import org.bamboorelay.core.request.DeliveryState;
import org.bamboorelay.core.request.SampleLabel;
import org.bamboorelay.core.request.SampleSlot;
import org.bamboorelay.core.request.StalenessBound;
import org.bamboorelay.core.request.StepState;
import org.bamboorelay.core.store.StoreFailure;
import org.bamboorelay.core.store.StoredObject;
import org.bamboorelay.core.version.EndpointId;
import org.bamboorelay.core.version.HostId;
import org.bamboorelay.core.version.LineId;
import org.bamboorelay.core.version.Rules.StalenessRule;
import org.bamboorelay.core.version.TrainerId;
import org.bamboorelay.entry.connection.EngineClient;
import org.bamboorelay.entry.connection.EngineFailure;
import org.bamboorelay.runtime.request.Json;

/**
 * Runs a step on this host: generates and replicates its samples, and delivers its
 * batches.
 * <p>
 * Thread-safe. Fetches of one step are serialized. Decisions are guarded by a separate
 * lock, which is never held during a remote call.
 */
final class StepRunner {

	/** Staleness bound, in versions, of a weight line that no rule names. */
	private static final int DEFAULT_MAX_VERSIONS = 1;

	/** Decision rounds of one fetch before it tells the trainer to retry. */
	private static final int MAX_FETCH_ROUNDS = 8;

	/**
	 * Delay before replication of a sample is retried, or a task rejected by a full queue
	 * is submitted again, in milliseconds.
	 */
	private static final long WORK_RETRY_DELAY_MILLIS = 500;

	/**
	 * Ticks for which a complete step is retained in memory, 10 minutes in all. A later
	 * fetch reads its batch records again.
	 */
	private static final int COMPLETED_RETENTION_TICKS = 1_200;

	/** Maximum share of the samples of a step that are resumed as stragglers. */
	private static final double MAX_RESUMED_SHARE = 0.1;

	private static final String STRAGGLERS_WAIT = "wait";

	private final RolloutDependencies dependencies;

	private final ConditionalWriter writer;

	private final SampleReplicator replicator;

	private final TrainerId trainer;

	private final long step;

	private final StepRecord record;

	private final BooleanSupplier stillAllowed;

	private final LineId line;

	private final ReentrantLock fetchLock = new ReentrantLock();

	private final Object lock = new Object();

	private final StepState state;

	private final DeliveryState delivery;

	private final Map<Long, SampleRun> runsByAttempt = new HashMap<>();

	private final Map<SampleSlot, Set<Long>> attemptsBySlot = new HashMap<>();

	/** Tokens of batch records written by this host whose usage is not recorded yet. */
	private final Set<String> unrecordedUsage = new HashSet<>();

	private int ticksSinceComplete;

	private volatile boolean stopped;

	StepRunner(RolloutDependencies dependencies, ConditionalWriter writer, SampleReplicator replicator,
			TrainerId trainer, long step, StepRecord record, BooleanSupplier stillAllowed) {
		this.dependencies = dependencies;
		this.writer = writer;
		this.replicator = replicator;
		this.trainer = trainer;
		this.step = step;
		this.record = record;
		this.stillAllowed = stillAllowed;
		this.line = LineId.of(trainer.value());
		boolean resume = dependencies.configuration()
			.current()
			.map((currentConfiguration) -> !currentConfiguration.rules()
				.policies()
				.stragglers()
				.equals(STRAGGLERS_WAIT))
			.getOrElse(true);
		int size = record.request().plan().size();
		this.state = StepState.of(record.request().plan(), new StepState.Settings(stalenessBound(),
				dependencies.limits().maxRunningPerStep(), resume, (int) Math.ceil(MAX_RESUMED_SHARE * size)));
		this.delivery = DeliveryState.of(size, record.ownership());
	}

	long ownership() {
		return this.record.ownership();
	}

	StepRecord record() {
		return this.record;
	}

	boolean isStopped() {
		return this.stopped;
	}

	boolean isComplete() {
		synchronized (this.lock) {
			return this.delivery.isComplete();
		}
	}

	/**
	 * Applies the existing batch records, then starts the samples that none of them
	 * contains.
	 * @param records the batch records in sequence order
	 */
	void start(List<BatchRecord> records) {
		synchronized (this.lock) {
			Set<SampleSlot> delivered = new HashSet<>();
			for (BatchRecord existing : records) {
				this.delivery.applyRecord(existing);
			}
			delivered.addAll(this.delivery.deliveredSlots());
			performStepActions(this.state.on(new StepState.Event.Delivered(delivered)));
		}
	}

	void stop() {
		this.stopped = true;
		handleEvent(new StepState.Event.Stopped());
	}

	void onNewVersion(long newest) {
		handleEvent(new StepState.Event.NewVersion(newest, stalenessBound()));
	}

	/**
	 * Checks for stragglers and for withdrawal of the key.
	 * @return whether this runner must be retained
	 */
	boolean tick() {
		if (isComplete()) {
			return ++this.ticksSinceComplete < COMPLETED_RETENTION_TICKS;
		}
		if (mayContinue()) {
			handleEvent(new StepState.Event.Tick(this.dependencies.clock().millis()));
		}
		return !this.stopped;
	}

	BatchReply fetch(BatchExchange.BatchQuery query) {
		this.fetchLock.lock();
		try {
			return fetchLocked(query);
		}
		finally {
			this.fetchLock.unlock();
		}
	}

	private BatchReply fetchLocked(BatchExchange.BatchQuery query) {
		for (int round = 0; round < MAX_FETCH_ROUNDS; round++) {
			if (!mayContinue()) {
				return BatchReply.notRunning();
			}
			Either<StoreFailure, Long> head = LatestWeightVersions.read(this.writer.store(),
					this.record.request().service(), this.line);
			if (head.isLeft()) {
				return storeFailed(head.getLeft());
			}
			long newest = Math.max(head.get(), query.trainerVersion());
			onNewVersion(newest);
			Optional<BatchReply> reply = decide(query, newest);
			if (reply.isPresent()) {
				return reply.get();
			}
		}
		return BatchReply.pending();
	}

	private Optional<BatchReply> decide(BatchExchange.BatchQuery query, long newest) {
		List<DeliveryState.Action> actions;
		synchronized (this.lock) {
			actions = this.delivery.fetch(query.seq(), query.lostBefore(), query.max(), newest, stalenessBound(),
					this.dependencies.tokens().get());
		}
		Optional<BatchReply> reply = Optional.empty();
		for (DeliveryState.Action action : actions) {
			if (action instanceof DeliveryState.Action.Propose propose) {
				reply = propose(propose.record());
			}
			else if (action instanceof DeliveryState.Action.Serve serve) {
				reply = serve(serve);
			}
			else if (action instanceof DeliveryState.Action.Pending) {
				reply = catchUp(BatchReply.pending());
			}
			else if (action instanceof DeliveryState.Action.Complete) {
				reply = Optional.of(BatchReply.complete());
			}
			else if (action instanceof DeliveryState.Action.Gone gone) {
				reply = Optional.of(batchLost(gone.seq()));
			}
			else if (action instanceof DeliveryState.Action.OutOfOrder order) {
				reply = catchUp(BatchReply.refused(RefusalReason.CONFLICT, "batch " + query.seq()
						+ " was fetched out of order; the next batch is " + order.nextSequence()));
			}
			else {
				performDeliveryAction(action);
			}
		}
		return reply;
	}

	private Optional<BatchReply> propose(BatchRecord proposed) {
		List<BatchRecord.Entry> replicated = new ArrayList<>();
		for (BatchRecord.Entry sample : proposed.samples()) {
			Optional<BatchRecord.Entry> withHolders = this.replicator.ensureLiveHolders(sample);
			if (withHolders.isEmpty()) {
				return Optional.of(BatchReply.pending());
			}
			replicated.add(withHolders.get());
		}
		BatchRecord replicatedRecord = new BatchRecord(proposed.seq(), proposed.ownership(), proposed.token(),
				replicated, proposed.lost(), proposed.last());
		synchronized (this.lock) {
			this.unrecordedUsage.add(replicatedRecord.token());
		}
		Either<StoreFailure, StoredObject> written = this.writer
			.create(batchKey(this.trainer, this.step, replicatedRecord.seq()), Json.bytes(replicatedRecord));
		if (written.isLeft()) {
			return Optional.of(storeFailed(written.getLeft()));
		}
		return applyRecord(written.get());
	}

	/**
	 * Applies the next batch record if another host has written it.
	 * @param fallback the reply if there is no further record
	 * @return the reply; empty if the fetch has to be decided again
	 */
	private Optional<BatchReply> catchUp(BatchReply fallback) {
		long next;
		synchronized (this.lock) {
			next = this.delivery.nextSequence();
		}
		Either<StoreFailure, Option<StoredObject>> read = this.writer.store()
			.read(batchKey(this.trainer, this.step, next));
		if (read.isLeft()) {
			return Optional.of(storeFailed(read.getLeft()));
		}
		return read.get().isEmpty() ? Optional.of(fallback) : applyRecord(read.get().get());
	}

	private Optional<BatchReply> applyRecord(StoredObject stored) {
		BatchRecord winning = Json.read(stored.body(), BatchRecord.class)
			.getOrElseThrow((failure) -> new IllegalStateException(
					"invalid batch record " + stored.key() + ": " + failure.detail()));
		List<DeliveryState.Action> actions;
		synchronized (this.lock) {
			actions = this.delivery.applyRecord(winning);
		}
		actions.forEach(this::performDeliveryAction);
		if (winning.ownership() > ownership()) {
			stop();
			return Optional.of(BatchReply.notRunning());
		}
		return Optional.empty();
	}

	private Optional<BatchReply> serve(DeliveryState.Action.Serve serve) {
		ObjectNode batch = Json.MAPPER.createObjectNode();
		batch.put("trainer", this.trainer.value()).put("step", this.step).put("seq", serve.record().seq());
		batch.put("lost_before", serve.record().lost());
		ArrayNode samples = batch.putArray("samples");
		ArrayNode expired = batch.putArray("expired");
		serve.expired().forEach((sample) -> expired.add(sample.id()));
		for (BatchRecord.Entry sample : serve.samples()) {
			SampleReplicator.LookupResult result = this.replicator.find(sample);
			if (result.body().isEmpty()) {
				return result.liveHolderFailed()
						? Optional.of(BatchReply.refused(RefusalReason.NO_ENDPOINT,
								"a live holder of sample " + sample.id() + " did not respond"))
						: Optional.of(batchLost(serve.record().seq()));
			}
			samples.add(Json.tree(result.body().get())
				.getOrElseThrow(
						(failure) -> new IllegalStateException("stored sample " + sample.id() + " is not valid JSON")));
		}
		boolean firstDelivery;
		synchronized (this.lock) {
			firstDelivery = this.unrecordedUsage.remove(serve.record().token());
		}
		if (firstDelivery) {
			serve.samples()
				.forEach((sample) -> this.dependencies.meter()
					.recordUsage(this.record.workspace(), this.record.request().service(), sample.tokens()));
		}
		return Optional.of(BatchReply.of(batch));
	}

	private static BatchReply batchLost(long seq) {
		return BatchReply.refused(RefusalReason.BATCH_LOST,
				"no holder of batch " + seq + " is reachable; a trainer that has not received it must fetch batch "
						+ (seq + 1) + " with lost_before=true");
	}

	private static BatchReply storeFailed(StoreFailure failure) {
		return BatchReply.refused(RefusalReason.STORE_UNAVAILABLE, failure.detail());
	}

	private void performDeliveryAction(DeliveryState.Action action) {
		if (action instanceof DeliveryState.Action.Drop drop) {
			submit(() -> this.replicator.delete(drop.samples()));
		}
		else if (action instanceof DeliveryState.Action.Regenerate regenerate) {
			handleEvent(new StepState.Event.Reopened(regenerate.slots()));
		}
		else if (action instanceof DeliveryState.Action.Close close) {
			handleEvent(new StepState.Event.Delivered(close.slots()));
		}
	}

	private StalenessBound stalenessBound() {
		// Not cached, since a changed rule must take effect within seconds.
		return new StalenessBound(this.dependencies.configuration()
			.current()
			.flatMap((currentConfiguration) -> Option.ofOptional(currentConfiguration.rules().staleness(this.line)))
			.map(StalenessRule::maxVersions)
			.getOrElse(DEFAULT_MAX_VERSIONS));
	}

	private void submit(Runnable task) {
		try {
			this.dependencies.executors().shortTasks().execute(task);
		}
		catch (RejectedExecutionException ex) {
			this.dependencies.executors().timer().runAfter(() -> submit(task), WORK_RETRY_DELAY_MILLIS);
		}
	}

	private boolean mayContinue() {
		if (!this.stopped && !this.stillAllowed.getAsBoolean()) {
			stop();
		}
		return !this.stopped;
	}

	private void handleEvent(StepState.Event event) {
		synchronized (this.lock) {
			performStepActions(this.state.on(event));
		}
	}

	// Only submits tasks and marks runs, and may therefore be called with the lock
	// replicated.
	private void performStepActions(Collection<StepState.Action> actions) {
		for (StepState.Action action : actions) {
			if (action instanceof StepState.Action.Start start) {
				SampleRun resumed = this.runsByAttempt.get(start.resumedAttempt());
				SampleRun run = (resumed != null) ? resumed.resume() : new SampleRun(SampleLabel.of(this.line), "");
				this.runsByAttempt.put(start.attempt(), run);
				this.attemptsBySlot.computeIfAbsent(start.slot(), (slot) -> new HashSet<>()).add(start.attempt());
				Runnable task = () -> this.dependencies.executors().samples().execute(() -> generate(start, run));
				if (start.delayMillis() == 0) {
					task.run();
				}
				else {
					this.dependencies.executors().timer().runAfter(task, start.delayMillis());
				}
			}
			else if (action instanceof StepState.Action.Cancel cancel) {
				SampleRun run = this.runsByAttempt.get(cancel.attempt());
				if (run != null) {
					run.cancel();
				}
			}
			else if (action instanceof StepState.Action.CountRetry count) {
				this.dependencies.counters().retry(count.reason()).inc();
			}
			else if (action instanceof StepState.Action.Keep keep) {
				SampleRun run = this.runsByAttempt.get(keep.attempt());
				Set<Long> attempts = this.attemptsBySlot.remove(keep.slot());
				if (attempts != null) {
					attempts.forEach(this.runsByAttempt::remove);
				}
				if (run != null) {
					String id = this.trainer + "/" + this.step + "/" + keep.slot().group() + "/" + keep.slot().index()
							+ "/" + this.dependencies.tokens().get();
					submit(() -> replicateSample(id, keep.slot(), run));
				}
			}
		}
	}

	private void generate(StepState.Action.Start start, SampleRun run) {
		long attempt = start.attempt();
		if (run.isCancelled() || !mayContinue()) {
			return;
		}
		StepRecord.Request request = this.record.request();
		String prompt = request.prompts().get(start.slot().group());
		SampleLabel initialLabel = run.label();
		if (initialLabel.tokens() >= request.maxTokens()) {
			handleEvent(new StepState.Event.Finished(attempt, initialLabel.oldestVersion(),
					this.dependencies.clock().millis()));
			return;
		}
		Either<Refusal, Credit> credit = this.dependencies.credits()
			.acquire(new RouteRequest(request.service(), this.record.workspace(), false, true, affinity(start, prompt),
					request.maxTokens() - initialLabel.tokens(), this.line, start.excluded()));
		if (credit.isLeft()) {
			handleEvent(new StepState.Event.Failed(attempt, RetryReason.ENDPOINT_REFUSED, true));
			return;
		}
		if (run.isCancelled() || !mayContinue()) {
			credit.get().end(Credit.Outcome.UNUSED, 0, 0);
			return;
		}
		EndpointId endpoint = credit.get().endpoint();
		handleEvent(new StepState.Event.Started(attempt, endpoint, this.dependencies.clock().millis()));
		handleEvent(new StepState.Event.Labelled(attempt, initialLabel.oldestVersion()));
		Either<EngineFailure, EngineClient.Finish> finish = this.dependencies.engines()
			.stream(credit.get().address(), engineRequest(start, run, prompt), new SampleListener(attempt, run));
		long tokens = run.label().tokens() - initialLabel.tokens();
		Credit.Outcome outcome = outcome(finish, run);
		credit.get().end(outcome, finish.map(EngineClient.Finish::firstByteMillis).getOrElse(0L), tokens);
		if (!run.isCancelled()) {
			handleEvent(toStepEvent(attempt, finish, run));
		}
	}

	private EngineClient.EngineRequest engineRequest(StepState.Action.Start start, SampleRun run, String prompt) {
		SampleLabel initialLabel = run.label();
		return new EngineClient.EngineRequest(
				"sample-" + this.trainer + "-" + this.step + "-" + this.record.ownership() + "-" + start.attempt(),
				this.record.request().service(), prompt, this.record.request().maxTokens(), false, this.line,
				this.record.workspace().value(), run.text(), (int) initialLabel.tokens(), seed(start.slot()));
	}

	private long affinity(StepState.Action.Start start, String prompt) {
		// Retries carry no affinity: it would route them to the endpoint that failed,
		// which a host in another failure domain cannot exclude.
		return start.excluded().isEmpty() ? prompt.hashCode() * 31L + this.record.workspace().hashCode() : 0;
	}

	private long seed(SampleSlot slot) {
		return ((this.trainer.hashCode() * 31L + this.step) * 31L + slot.group()) * 65_537L + slot.index();
	}

	private boolean onEngineEvent(EngineClient.EngineEvent event, long attempt, SampleRun run) {
		long oldest = run.label().oldestVersion();
		if (!mayContinue() || !run.appendEvent(event)) {
			return false;
		}
		long updatedOldest = run.label().oldestVersion();
		if (updatedOldest != oldest) {
			handleEvent(new StepState.Event.Labelled(attempt, updatedOldest));
		}
		return !run.isCancelled();
	}

	private static Credit.Outcome outcome(Either<EngineFailure, EngineClient.Finish> finish, SampleRun run) {
		if (run.hasInvalidLabel()) {
			return Credit.Outcome.FAILED;
		}
		if (run.isCancelled()) {
			return Credit.Outcome.UNUSED;
		}
		if (finish.isRight()) {
			return Credit.Outcome.OK;
		}
		return (finish.getLeft() instanceof EngineFailure.Refused) ? Credit.Outcome.REFUSED : Credit.Outcome.FAILED;
	}

	private StepState.Event toStepEvent(long attempt, Either<EngineFailure, EngineClient.Finish> finish,
			SampleRun run) {
		if (run.hasInvalidLabel()) {
			return new StepState.Event.Failed(attempt, RetryReason.BAD_LABEL, false);
		}
		if (finish.isLeft()) {
			EngineFailure failure = finish.getLeft();
			if (failure instanceof EngineFailure.NotSent) {
				return new StepState.Event.Failed(attempt, RetryReason.CONNECT_FAILED, true);
			}
			if (failure instanceof EngineFailure.Refused) {
				return new StepState.Event.Failed(attempt, RetryReason.ENDPOINT_REFUSED, true);
			}
			return (failure instanceof EngineFailure.Truncated)
					? new StepState.Event.Failed(attempt, RetryReason.STREAM_TRUNCATED, true)
					: new StepState.Event.Failed(attempt, RetryReason.EXCHANGE_FAILED, false);
		}
		if (finish.get().reason().equals("cancelled")) {
			return new StepState.Event.Failed(attempt, RetryReason.EXCHANGE_FAILED, true);
		}
		if (run.label().tokens() == 0) {
			return new StepState.Event.Failed(attempt, RetryReason.BAD_LABEL, false);
		}
		return new StepState.Event.Finished(attempt, run.label().oldestVersion(), this.dependencies.clock().millis());
	}

	private void replicateSample(String id, SampleSlot slot, SampleRun run) {
		if (this.stopped) {
			return;
		}
		Map<String, Object> sample = new LinkedHashMap<>();
		sample.put("id", id);
		sample.put("group", slot.group());
		sample.put("index", slot.index());
		sample.put("text", run.text());
		sample.put("tokens", run.label().tokens());
		sample.put("spans", run.label().spans());
		byte[] body = Json.bytes(sample);
		Optional<List<HostId>> holders = this.replicator.replicate(id, body);
		if (holders.isEmpty()) {
			this.dependencies.executors()
				.timer()
				.runAfter(() -> submit(() -> replicateSample(id, slot, run)), WORK_RETRY_DELAY_MILLIS);
			return;
		}
		List<DeliveryState.Action> actions;
		synchronized (this.lock) {
			actions = this.delivery.ready(new BatchRecord.Entry(id, slot, run.label().oldestVersion(),
					run.label().tokens(), body.length, holders.get()));
		}
		actions.forEach(this::performDeliveryAction);
	}

	static String batchKey(TrainerId trainer, long step, long seq) {
		return "delivery/" + trainer + "/" + step + "/" + seq;
	}

	private final class SampleListener implements EngineClient.Listener {

		private final long attempt;

		private final SampleRun run;

		private SampleListener(long attempt, SampleRun run) {
			this.attempt = attempt;
			this.run = run;
		}

		@Override
		public boolean onEvent(EngineClient.EngineEvent event) {
			return onEngineEvent(event, this.attempt, this.run);
		}

		@Override
		public void onOpen(Runnable abort) {
			this.run.onOpened(abort);
		}

	}

}
