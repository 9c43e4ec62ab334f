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
 * Runs a step on this host: its samples, their copies and its batches.
 * <p>
 * Thread-safe. Fetches of one step run one after the other; the decisions have a lock of
 * their own that is never held during a call.
 */
final class StepRunner {

	/** Versions that a sample may lag behind where no rule names the line. */
	private static final int DEFAULT_MAX_VERSIONS = 1;

	/** Records and batches that one fetch goes through before it answers to come back. */
	private static final int MAX_ROUNDS = 8;

	/**
	 * The wait before another second copy is tried, or a task is put into a full queue
	 * again, in milliseconds.
	 */
	private static final long WORK_RETRY_MILLIS = 500;

	/**
	 * Ticks for which a complete step stays in memory, 10 minutes; a later fetch reads
	 * its records again.
	 */
	private static final int MAX_TICKS_COMPLETE = 1_200;

	/** Share of a step's samples that may be resumed as stragglers. */
	private static final double RESUME_SHARE = 0.1;

	private static final String BASELINE_STRAGGLERS = "wait";

	private final RolloutParts parts;

	private final StoreWrites writes;

	private final SampleCopies copies;

	private final TrainerId trainer;

	private final long step;

	private final StepRecord record;

	private final BooleanSupplier stillAllowed;

	private final LineId line;

	private final ReentrantLock fetching = new ReentrantLock();

	private final Object lock = new Object();

	private final StepState state;

	private final DeliveryState delivery;

	private final Map<Long, SampleRun> runs = new HashMap<>();

	private final Map<SampleSlot, Set<Long>> runsOfSlot = new HashMap<>();

	/** Tokens of records that this host made and whose usage is not counted yet. */
	private final Set<String> uncounted = new HashSet<>();

	private int ticksComplete;

	private volatile boolean stopped;

	StepRunner(RolloutParts parts, StoreWrites writes, SampleCopies copies, TrainerId trainer, long step,
			StepRecord record, BooleanSupplier stillAllowed) {
		this.parts = parts;
		this.writes = writes;
		this.copies = copies;
		this.trainer = trainer;
		this.step = step;
		this.record = record;
		this.stillAllowed = stillAllowed;
		this.line = LineId.of(trainer.value());
		boolean resume = parts.configuration()
			.current()
			.map((present) -> !present.rules().policies().stragglers().equals(BASELINE_STRAGGLERS))
			.getOrElse(true);
		int size = record.request().plan().size();
		this.state = StepState.of(record.request().plan(), new StepState.Settings(bound(),
				parts.limits().maxRunningPerStep(), resume, (int) Math.ceil(RESUME_SHARE * size)));
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
	 * Applies the records that exist, then starts the samples that none of them holds.
	 * @param chain the records in their order
	 */
	void start(List<BatchRecord> chain) {
		synchronized (this.lock) {
			Set<SampleSlot> delivered = new HashSet<>();
			for (BatchRecord existing : chain) {
				this.delivery.recorded(existing);
			}
			delivered.addAll(this.delivery.delivered());
			perform(this.state.on(new StepState.Event.Delivered(delivered)));
		}
	}

	void stop() {
		this.stopped = true;
		on(new StepState.Event.Stopped());
	}

	void newVersion(long newest) {
		on(new StepState.Event.NewVersion(newest, bound()));
	}

	/**
	 * Looks for stragglers, and for a key that was withdrawn.
	 * @return whether the step still needs this runner
	 */
	boolean tick() {
		if (isComplete()) {
			return ++this.ticksComplete < MAX_TICKS_COMPLETE;
		}
		if (isAllowed()) {
			on(new StepState.Event.Tick(this.parts.clock().millis()));
		}
		return !this.stopped;
	}

	BatchReply fetch(BatchExchange.Question question) {
		this.fetching.lock();
		try {
			return fetchInTurn(question);
		}
		finally {
			this.fetching.unlock();
		}
	}

	private BatchReply fetchInTurn(BatchExchange.Question question) {
		for (int round = 0; round < MAX_ROUNDS; round++) {
			if (!isAllowed()) {
				return BatchReply.notRunning();
			}
			Either<StoreFailure, Long> head = WeightHeads.read(this.writes.store(), this.record.request().service(),
					this.line);
			if (head.isLeft()) {
				return storeFailed(head.getLeft());
			}
			long newest = Math.max(head.get(), question.trainerVersion());
			newVersion(newest);
			Optional<BatchReply> reply = decide(question, newest);
			if (reply.isPresent()) {
				return reply.get();
			}
		}
		return BatchReply.pending();
	}

	private Optional<BatchReply> decide(BatchExchange.Question question, long newest) {
		List<DeliveryState.Action> actions;
		synchronized (this.lock) {
			actions = this.delivery.fetch(question.seq(), question.lostBefore(), question.max(), newest, bound(),
					this.parts.tokens().get());
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
				reply = Optional.of(gone(gone.seq()));
			}
			else if (action instanceof DeliveryState.Action.OutOfOrder order) {
				reply = catchUp(BatchReply.refused(RefusalReason.CONFLICT,
						"batch " + question.seq() + " was asked for before batch " + order.next()));
			}
			else {
				carryOut(action);
			}
		}
		return reply;
	}

	private Optional<BatchReply> propose(BatchRecord proposed) {
		List<BatchRecord.Entry> held = new ArrayList<>();
		for (BatchRecord.Entry sample : proposed.samples()) {
			Optional<BatchRecord.Entry> copied = this.copies.withLiveHolders(sample);
			if (copied.isEmpty()) {
				return Optional.of(BatchReply.pending());
			}
			held.add(copied.get());
		}
		BatchRecord own = new BatchRecord(proposed.seq(), proposed.ownership(), proposed.token(), held, proposed.lost(),
				proposed.last());
		synchronized (this.lock) {
			this.uncounted.add(own.token());
		}
		Either<StoreFailure, StoredObject> written = this.writes.create(batchKey(this.trainer, this.step, own.seq()),
				Json.bytes(own));
		if (written.isLeft()) {
			return Optional.of(storeFailed(written.getLeft()));
		}
		return apply(written.get());
	}

	/**
	 * Applies the next record where another host has made it.
	 * @param otherwise the answer where there is no further record
	 * @return the answer, or nothing where the fetch is to be decided again
	 */
	private Optional<BatchReply> catchUp(BatchReply otherwise) {
		long next;
		synchronized (this.lock) {
			next = this.delivery.next();
		}
		Either<StoreFailure, Option<StoredObject>> read = this.writes.store()
			.read(batchKey(this.trainer, this.step, next));
		if (read.isLeft()) {
			return Optional.of(storeFailed(read.getLeft()));
		}
		return read.get().isEmpty() ? Optional.of(otherwise) : apply(read.get().get());
	}

	private Optional<BatchReply> apply(StoredObject stored) {
		BatchRecord winner = Json.read(stored.body(), BatchRecord.class)
			.getOrElseThrow((failure) -> new IllegalStateException(
					"record " + stored.key() + " is not valid: " + failure.detail()));
		List<DeliveryState.Action> actions;
		synchronized (this.lock) {
			actions = this.delivery.recorded(winner);
		}
		actions.forEach(this::carryOut);
		if (winner.ownership() > ownership()) {
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
			SampleCopies.Found found = this.copies.find(sample);
			if (found.body().isEmpty()) {
				return found.unsure()
						? Optional.of(BatchReply.refused(RefusalReason.NO_ENDPOINT,
								"a host that holds sample " + sample.id() + " does not answer"))
						: Optional.of(gone(serve.record().seq()));
			}
			samples.add(Json.tree(found.body().get())
				.getOrElseThrow(
						(failure) -> new IllegalStateException("sample " + sample.id() + " is not valid JSON")));
		}
		boolean first;
		synchronized (this.lock) {
			first = this.uncounted.remove(serve.record().token());
		}
		if (first) {
			serve.samples()
				.forEach((sample) -> this.parts.meter()
					.served(this.record.workspace(), this.record.request().service(), sample.tokens()));
		}
		return Optional.of(BatchReply.of(batch));
	}

	private static BatchReply gone(long seq) {
		return BatchReply.refused(RefusalReason.BATCH_LOST,
				"no holder of batch " + seq + " is reached; a trainer that did not receive it fetches batch "
						+ (seq + 1) + " with lost_before=true");
	}

	private static BatchReply storeFailed(StoreFailure failure) {
		return BatchReply.refused(RefusalReason.STORE_UNAVAILABLE, failure.detail());
	}

	private void carryOut(DeliveryState.Action action) {
		if (action instanceof DeliveryState.Action.Drop drop) {
			work(() -> this.copies.drop(drop.samples()));
		}
		else if (action instanceof DeliveryState.Action.Regenerate again) {
			on(new StepState.Event.Reopened(again.slots()));
		}
		else if (action instanceof DeliveryState.Action.Close close) {
			on(new StepState.Event.Delivered(close.slots()));
		}
	}

	private StalenessBound bound() {
		// Read each time, since a changed rule must be in force within seconds.
		return new StalenessBound(this.parts.configuration()
			.current()
			.flatMap((present) -> Option.ofOptional(present.rules().staleness(this.line)))
			.map(StalenessRule::maxVersions)
			.getOrElse(DEFAULT_MAX_VERSIONS));
	}

	private void work(Runnable task) {
		try {
			this.parts.threads().work().execute(task);
		}
		catch (RejectedExecutionException ex) {
			this.parts.threads().timer().after(() -> work(task), WORK_RETRY_MILLIS);
		}
	}

	private boolean isAllowed() {
		if (!this.stopped && !this.stillAllowed.getAsBoolean()) {
			stop();
		}
		return !this.stopped;
	}

	private void on(StepState.Event event) {
		synchronized (this.lock) {
			perform(this.state.on(event));
		}
	}

	// Starts tasks and marks runs only, and so may be called under the lock.
	private void perform(Collection<StepState.Action> actions) {
		for (StepState.Action action : actions) {
			if (action instanceof StepState.Action.Start start) {
				SampleRun before = this.runs.get(start.resumeOf());
				SampleRun run = (before != null) ? before.resume() : new SampleRun(SampleLabel.of(this.line), "");
				this.runs.put(start.attempt(), run);
				this.runsOfSlot.computeIfAbsent(start.slot(), (slot) -> new HashSet<>()).add(start.attempt());
				Runnable task = () -> this.parts.threads().samples().execute(() -> generate(start, run));
				if (start.delayMillis() == 0) {
					task.run();
				}
				else {
					this.parts.threads().timer().after(task, start.delayMillis());
				}
			}
			else if (action instanceof StepState.Action.Cancel cancel) {
				SampleRun run = this.runs.get(cancel.attempt());
				if (run != null) {
					run.cancel();
				}
			}
			else if (action instanceof StepState.Action.Count count) {
				this.parts.counters().retry(count.reason()).inc();
			}
			else if (action instanceof StepState.Action.Keep keep) {
				SampleRun run = this.runs.get(keep.attempt());
				Set<Long> attempts = this.runsOfSlot.remove(keep.slot());
				if (attempts != null) {
					attempts.forEach(this.runs::remove);
				}
				if (run != null) {
					String id = this.trainer + "/" + this.step + "/" + keep.slot().group() + "/" + keep.slot().index()
							+ "/" + this.parts.tokens().get();
					work(() -> keep(id, keep.slot(), run));
				}
			}
		}
	}

	private void generate(StepState.Action.Start start, SampleRun run) {
		long attempt = start.attempt();
		if (run.isCancelled() || !isAllowed()) {
			return;
		}
		StepRecord.Request request = this.record.request();
		String prompt = request.prompts().get(start.slot().group());
		SampleLabel before = run.label();
		if (before.tokens() >= request.maxTokens()) {
			on(new StepState.Event.Finished(attempt, before.oldest(), this.parts.clock().millis()));
			return;
		}
		Either<Refusal, Credit> credit = this.parts.credits()
			.acquire(new RouteRequest(request.service(), this.record.workspace(), false, true, affinity(start, prompt),
					request.maxTokens() - before.tokens(), this.line, start.excluded()));
		if (credit.isLeft()) {
			on(new StepState.Event.Failed(attempt, RetryReason.ENDPOINT_REFUSED, true));
			return;
		}
		if (run.isCancelled() || !isAllowed()) {
			credit.get().end(Credit.Outcome.UNUSED, 0, 0);
			return;
		}
		EndpointId endpoint = credit.get().endpoint();
		on(new StepState.Event.Started(attempt, endpoint, this.parts.clock().millis()));
		on(new StepState.Event.Labelled(attempt, before.oldest()));
		Either<EngineFailure, EngineClient.Finish> finish = this.parts.engines()
			.stream(credit.get().address(), engineRequest(start, run, prompt), new SampleListener(attempt, run));
		long tokens = run.label().tokens() - before.tokens();
		Credit.Outcome outcome = outcome(finish, run);
		credit.get().end(outcome, finish.map(EngineClient.Finish::firstByteMillis).getOrElse(0L), tokens);
		if (!run.isCancelled()) {
			on(result(attempt, finish, run));
		}
	}

	private EngineClient.EngineRequest engineRequest(StepState.Action.Start start, SampleRun run, String prompt) {
		SampleLabel before = run.label();
		return new EngineClient.EngineRequest(
				"sample-" + this.trainer + "-" + this.step + "-" + this.record.ownership() + "-" + start.attempt(),
				this.record.request().service(), prompt, this.record.request().maxTokens(), false, this.line,
				this.record.workspace().value(), run.text(), (int) before.tokens(), seed(start.slot()));
	}

	private long affinity(StepState.Action.Start start, String prompt) {
		// Another attempt must not be led back to the endpoint that failed, which a host
		// in another failure domain cannot exclude.
		return start.excluded().isEmpty() ? prompt.hashCode() * 31L + this.record.workspace().hashCode() : 0;
	}

	private long seed(SampleSlot slot) {
		return ((this.trainer.hashCode() * 31L + this.step) * 31L + slot.group()) * 65_537L + slot.index();
	}

	private boolean take(EngineClient.EngineEvent event, long attempt, SampleRun run) {
		long oldest = run.label().oldest();
		if (!isAllowed() || !run.add(event)) {
			return false;
		}
		long oldestNow = run.label().oldest();
		if (oldestNow != oldest) {
			on(new StepState.Event.Labelled(attempt, oldestNow));
		}
		return !run.isCancelled();
	}

	private static Credit.Outcome outcome(Either<EngineFailure, EngineClient.Finish> finish, SampleRun run) {
		if (run.isBad()) {
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

	private StepState.Event result(long attempt, Either<EngineFailure, EngineClient.Finish> finish, SampleRun run) {
		if (run.isBad()) {
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
		return new StepState.Event.Finished(attempt, run.label().oldest(), this.parts.clock().millis());
	}

	private void keep(String id, SampleSlot slot, SampleRun run) {
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
		Optional<List<HostId>> holders = this.copies.keep(id, body);
		if (holders.isEmpty()) {
			this.parts.threads().timer().after(() -> work(() -> keep(id, slot, run)), WORK_RETRY_MILLIS);
			return;
		}
		List<DeliveryState.Action> actions;
		synchronized (this.lock) {
			actions = this.delivery.ready(new BatchRecord.Entry(id, slot, run.label().oldest(), run.label().tokens(),
					body.length, holders.get()));
		}
		actions.forEach(this::carryOut);
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
			return take(event, this.attempt, this.run);
		}

		@Override
		public void onOpen(Runnable abort) {
			this.run.opened(abort);
		}

	}

}
