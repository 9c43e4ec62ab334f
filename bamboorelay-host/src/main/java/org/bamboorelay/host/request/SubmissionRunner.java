package org.bamboorelay.host.request;

import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.Function;
import java.util.function.Predicate;
import java.util.function.Supplier;

import io.vavr.control.Either;
import io.vavr.control.Option;
import org.bamboorelay.core.connection.PeerMessage;
import org.bamboorelay.core.process.DueWork;
import org.bamboorelay.core.process.EndpointRequirements;
import org.bamboorelay.core.process.EndpointTable;
import org.bamboorelay.core.process.EngineShares;
import org.bamboorelay.core.process.MemoryBudget;
import org.bamboorelay.core.request.DurableTextPolicy;
import org.bamboorelay.core.request.ItemOrder;
import org.bamboorelay.core.request.LengthEstimate;
import org.bamboorelay.core.request.PageWritePolicy;
import org.bamboorelay.core.request.ReplicatedTexts;
import org.bamboorelay.core.request.ResultLog;
import org.bamboorelay.core.request.Submission;
import org.bamboorelay.core.request.SubmissionItem;
import org.bamboorelay.core.request.SubmissionState;
import org.bamboorelay.core.request.TextPart;
import org.bamboorelay.core.store.StoreFailure;
import org.bamboorelay.core.time.Clock;
import org.bamboorelay.core.version.CoreJson;
import org.bamboorelay.core.version.RouteRule;
import org.bamboorelay.core.version.RoutingTable;
import org.bamboorelay.host.connection.HostMesh;
import org.bamboorelay.host.process.EventLog;
import org.bamboorelay.host.process.LoopGuard;
import org.bamboorelay.host.version.SubmissionRecord;
import org.bamboorelay.host.version.SubmissionStore;
import org.bamboorelay.runtime.connection.PeerFailure;
import org.jspecify.annotations.Nullable;

/**
 * Runs the submissions that this host owns: starts items on endpoints with free slots, in
 * the order of {@link ItemStarts}, and writes results in pages.
 * <p>
 * Thread-safe.
 */
public final class SubmissionRunner {

	/**
	 * Maximum size of a page as it is stored, in bytes, exceeded only by a single result;
	 * well below the maximum size of a value in the store.
	 */
	private static final int MAX_PAGE_BYTES = 500_000;

	/** Interval between two passes over waiting items and results, in milliseconds. */
	private static final long PASS_INTERVAL_MILLIS = 20;

	/**
	 * Interval between two passes while this host runs no submission, in milliseconds.
	 */
	private static final long IDLE_PASS_INTERVAL_MILLIS = 500;

	/** Interval between two searches for runs on slow endpoints, in milliseconds. */
	private static final long MIGRATION_INTERVAL_MILLIS = 200;

	/**
	 * Interval at which partial texts are replicated to the successor host, in
	 * milliseconds.
	 */
	private static final long REPLICATION_INTERVAL_MILLIS = 700;

	/** Timeout of a replication message, in milliseconds. */
	private static final long REPLICATION_TIMEOUT_MILLIS = 500;

	/** Delay before a failed store call is retried, in milliseconds. */
	private static final long STORE_RETRY_DELAY_MILLIS = 150;

	/**
	 * Interval at which a submission without a route looks for one, in milliseconds.
	 */
	private static final long ROUTE_POLL_INTERVAL_MILLIS = 500;

	/** Time of an event before any was measured, in milliseconds. */
	private static final double UNKNOWN_EVENT_MILLIS = 50;

	/**
	 * Number of item ids of earlier submissions that are remembered to recognize
	 * resubmitted items; the set is cleared when it exceeds this number.
	 */
	private static final int MAX_REMEMBERED_ITEMS = 4_096;

	/**
	 * Divisor of the maximum heap size that gives the memory for the texts of the
	 * submissions that this host runs.
	 */
	private static final long TEXT_MEMORY_DIVISOR = 4;

	/**
	 * Divisor of the maximum heap size that gives the memory for the texts replicated to
	 * this host.
	 */
	private static final long REPLICATED_TEXT_MEMORY_DIVISOR = 8;

	private final String host;

	private final SubmissionStore store;

	private final EndpointTable table;

	private final RateSlots rateSlots;

	private final ItemRunner itemRunner;

	private final Supplier<@Nullable RoutingTable> routing;

	private final ItemOrder itemOrder;

	private final ItemStarts itemStarts;

	private final ExecutorService executor;

	private final EventLog log;

	private final Map<String, ActiveSubmission> activeSubmissions = new ConcurrentHashMap<>();

	private final AtomicLong movedCount = new AtomicLong();

	private final LengthEstimate lengths;

	private final Set<String> rememberedItems = new HashSet<>();

	private final Object wakeUp = new Object();

	private final HostMesh mesh;

	private final MemoryBudget textMemory = MemoryBudget.of(Runtime.getRuntime().maxMemory() / TEXT_MEMORY_DIVISOR);

	private final ReplicatedTexts replicatedTexts = ReplicatedTexts
		.of(Runtime.getRuntime().maxMemory() / REPLICATED_TEXT_MEMORY_DIVISOR);

	private volatile Function<String, Option<String>> successorFinder = (id) -> Option.none();

	private volatile Function<String, Either<StoreFailure, Boolean>> storeOwnershipCheck = (id) -> Either.right(true);

	private volatile Predicate<String> ownershipCheck = (id) -> true;

	private long nextMigrationMillis;

	private volatile boolean closed;

	private volatile boolean draining;

	private volatile boolean suspended;

	/**
	 * Creates a runner.
	 * @param host the name of this host
	 * @param store the submissions in the platform's store
	 * @param table the table of endpoints
	 * @param rateSlots acquires endpoints for items
	 * @param itemRunner runs single items
	 * @param routing supplies the current routes; null until they have been read
	 * @param itemOrder the order in which items are started
	 * @param sharesEngines whether trainers and hosts share the slots of engines
	 * @param mesh the other hosts, to which partial texts are replicated
	 * @param executor the threads that run items and write pages
	 * @param log the log of the process
	 */
	public SubmissionRunner(String host, SubmissionStore store, EndpointTable table, RateSlots rateSlots,
			ItemRunner itemRunner, Supplier<@Nullable RoutingTable> routing, ItemOrder itemOrder, boolean sharesEngines,
			HostMesh mesh, ExecutorService executor, EventLog log) {
		this.mesh = Objects.requireNonNull(mesh, "mesh");
		this.host = Objects.requireNonNull(host, "host");
		this.store = Objects.requireNonNull(store, "store");
		this.table = Objects.requireNonNull(table, "table");
		this.rateSlots = Objects.requireNonNull(rateSlots, "rateSlots");
		this.itemRunner = Objects.requireNonNull(itemRunner, "itemRunner");
		this.lengths = itemRunner.lengths();
		this.routing = Objects.requireNonNull(routing, "routing");
		this.itemOrder = Objects.requireNonNull(itemOrder, "itemOrder");
		this.itemStarts = new ItemStarts(EngineShares.create(Clock.monotonic()), sharesEngines, Clock.monotonic(), log);
		this.executor = Objects.requireNonNull(executor, "executor");
		this.log = Objects.requireNonNull(log, "log");
	}

	/**
	 * Sets the check whether this host should run a submission, according to the records
	 * that it knows.
	 * @param test accepts the submissions that this host should run
	 */
	public void ownershipCheck(Predicate<String> test) {
		this.ownershipCheck = Objects.requireNonNull(test, "test");
	}

	/**
	 * Sets the check whether this host should run a submission, according to the store.
	 * @param reader reads the record of a submission from the store and evaluates it
	 */
	public void storeOwnershipCheck(Function<String, Either<StoreFailure, Boolean>> reader) {
		this.storeOwnershipCheck = Objects.requireNonNull(reader, "reader");
	}

	/**
	 * Sets the function that determines the successor host of a submission.
	 * @param finder returns the successor, or nothing if there is none
	 */
	public void successorFinder(Function<String, Option<String>> finder) {
		this.successorFinder = Objects.requireNonNull(finder, "finder");
	}

	/**
	 * Starts a submission that was just accepted.
	 * @param submission the submission
	 * @param record its record
	 * @param route its route
	 */
	public void start(Submission submission, SubmissionRecord record, RouteRule route) {
		activate(submission, record, route, new ResultLog(), SubmissionStore.VersionedTexts.NONE);
	}

	/**
	 * Resumes a submission whose record names this host as the owner: after a restart, or
	 * after the previous owner was lost.
	 * @param id the submission
	 * @param record its record
	 */
	public void resume(String id, SubmissionRecord record) {
		if (this.activeSubmissions.containsKey(id) || record.ended() || this.draining) {
			return;
		}
		this.executor.execute(() -> load(id, record));
	}

	/**
	 * Stops running a submission.
	 * @param id the submission
	 * @param reason the reason, for the log
	 */
	public void stop(String id, String reason) {
		ActiveSubmission running = this.activeSubmissions.remove(id);
		if (running != null) {
			this.log.info("submission-stopped", "submission", id, "reason", reason, "runs", running.runCount(),
					"listed", running.results().size());
			running.stop();
		}
	}

	/**
	 * Returns the listed results of a submission that this host runs.
	 * @param id the submission
	 * @return the results, or null if this host does not run the submission
	 */
	public @Nullable ResultLog results(String id) {
		ActiveSubmission running = this.activeSubmissions.get(id);
		return (running != null) ? running.results() : null;
	}

	/**
	 * Returns an item of a submission that this host runs.
	 * @param id the submission
	 * @param item the item
	 * @return the item, or nothing if there is none or this host does not run the
	 * submission
	 */
	public Option<SubmissionItem> item(String id, String item) {
		ActiveSubmission running = this.activeSubmissions.get(id);
		if (running == null) {
			return Option.none();
		}
		return Option.ofOptional(running.state()
			.submission()
			.items()
			.stream()
			.filter((candidate) -> candidate.id().equals(item))
			.findFirst());
	}

	/**
	 * Sets whether starting items is suspended. It is suspended while this host cannot
	 * know which submissions were ended.
	 * @param suspended whether to start no items
	 */
	public void suspend(boolean suspended) {
		this.suspended = suspended;
	}

	/**
	 * Returns the number of bytes of the texts of running items.
	 * @return the number of bytes
	 */
	public long textBytes() {
		return this.textMemory.reservedBytes();
	}

	/**
	 * Returns the submissions that this host runs.
	 * @return their ids
	 */
	public Set<String> runningSubmissions() {
		return Set.copyOf(this.activeSubmissions.keySet());
	}

	/**
	 * Returns the number of items that run or wait on this host.
	 * @return the number of items by service
	 */
	public Map<String, Integer> demand() {
		Map<String, Integer> demand = new HashMap<>();
		this.activeSubmissions.values()
			.forEach((running) -> running.service()
				.forEach((service) -> demand.merge(service, running.state().unfinishedCount(), Integer::sum)));
		return demand;
	}

	/**
	 * Returns the items of each trainer on this host.
	 * @return the figures for other hosts
	 */
	public List<PeerMessage.TrainerLoad> trainerLoads() {
		return this.itemStarts.loads();
	}

	/**
	 * Records the items of the trainers on another host.
	 * @param peer the host
	 * @param loads its figures
	 */
	public void onTrainerLoads(String peer, List<PeerMessage.TrainerLoad> loads) {
		this.itemStarts.peer(peer, loads);
	}

	/**
	 * Returns the number of runs that were moved off endpoints that the platform
	 * reclaimed.
	 * @return the number since the start of the process
	 */
	public long movedCount() {
		return this.movedCount.get();
	}

	/**
	 * Returns the work of the items that run or wait on this host.
	 * @param services the services to report
	 * @return the work due within each of the coming seconds, in milliseconds of one
	 * slot, by service
	 */
	public Map<String, List<Long>> work(Set<String> services) {
		long now = System.currentTimeMillis();
		Map<String, DueWork> work = new HashMap<>();
		for (ActiveSubmission running : this.activeSubmissions.values()) {
			running.service().filter(services::contains).forEach((service) -> {
				double eventMillis = this.table.meanUnitTime(service);
				double workMillis = running.state().remainingEvents(this.lengths)
						* ((eventMillis > 0) ? eventMillis : UNKNOWN_EVENT_MILLIS);
				work.merge(service, DueWork.NONE.plus(running.dueMillis() - now, (long) workMillis), DueWork::plus);
			});
		}
		Map<String, List<Long>> figures = new HashMap<>();
		work.forEach((service, due) -> figures.put(service, due.slotMillis()));
		return figures;
	}

	/**
	 * Aborts all runs, waits until the available results are listed, and replicates the
	 * partial texts to the successor hosts.
	 * @param timeoutMillis the maximum wait for results to be listed, in milliseconds
	 * @throws InterruptedException if the waiting thread is interrupted
	 */
	public void drain(long timeoutMillis) throws InterruptedException {
		this.draining = true;
		this.activeSubmissions.values().forEach(ActiveSubmission::suspend);
		long deadline = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(timeoutMillis);
		while (System.nanoTime() < deadline && this.activeSubmissions.values()
			.stream()
			.anyMatch((running) -> running.runCount() > 0 || !running.state().unlistedResults().isEmpty())) {
			TimeUnit.MILLISECONDS.sleep(PASS_INTERVAL_MILLIS);
		}
		this.activeSubmissions.values().forEach(this::replicateTexts);
	}

	/**
	 * Ends the loop.
	 */
	public void close() {
		this.closed = true;
	}

	/**
	 * Starts items and writes pages until the runner is closed.
	 */
	public void runLoop() {
		while (!this.closed) {
			LoopGuard.run(this.log, "submissions", this::runPass);
		}
	}

	private void runPass() {
		long now = System.currentTimeMillis();
		List<ActiveSubmission> all = this.itemStarts.startOrder(List.copyOf(this.activeSubmissions.values()),
				this.table::slotCount, this.mesh.knownHostCount(), now);
		moveReclaimedRuns(all);
		boolean busy = false;
		boolean migrationDue = now >= this.nextMigrationMillis;
		for (ActiveSubmission running : all) {
			running.state().expire(now);
			if (!this.draining && !this.suspended) {
				startItems(running, now);
			}
			if (migrationDue) {
				running.migrateSlowRuns(this.table, running.state().isWaiting(now));
			}
			schedulePageWrite(running, now);
			if (now >= running.lastReplicationMillis() + REPLICATION_INTERVAL_MILLIS && !this.draining) {
				running.onReplicationStarted(now);
				this.executor.execute(() -> replicateTexts(running));
			}
			if (now >= running.lastTextWriteMillis() + DurableTextPolicy.WRITE_INTERVAL_MILLIS && !this.draining) {
				running.onTextWriteStarted(now);
				this.executor.execute(() -> storeTexts(running));
			}
			busy |= running.state().isWaiting(now);
		}
		this.nextMigrationMillis = migrationDue ? now + MIGRATION_INTERVAL_MILLIS : this.nextMigrationMillis;
		if (all.isEmpty()) {
			await(IDLE_PASS_INTERVAL_MILLIS);
		}
		else {
			await(busy ? PASS_INTERVAL_MILLIS : PASS_INTERVAL_MILLIS * 5);
		}
	}

	private void moveReclaimedRuns(List<ActiveSubmission> all) {
		Map<String, EndpointTable.ReclaimedEndpoint> reclaimed = this.table.reclaimed();
		int moved = reclaimed.isEmpty() ? 0
				: all.stream().mapToInt((running) -> running.moveReclaimedRuns(reclaimed, this.lengths)).sum();
		if (moved > 0) {
			this.movedCount.addAndGet(moved);
			this.log.info("reclaimed-runs-moved", "runs", moved, "reclaimed_endpoints", reclaimed.size());
		}
	}

	private void startItems(ActiveSubmission running, long now) {
		Option<EndpointRequirements> requirements = running.requirements();
		while (requirements.isDefined() && this.itemStarts.mayStart(running, requirements.get(), this.table)) {
			SubmissionState.Run run = running.state().next(this.itemStarts.due(running), now);
			if (run == null) {
				return;
			}
			EndpointTable.Grant grant = this.rateSlots.acquire(withWork(requirements.get(), running, run));
			if (grant == null) {
				return;
			}
			if (!running.state().start(run)) {
				this.table.release(grant, EndpointTable.Outcome.ABANDONED);
				return;
			}
			this.itemStarts.onStarted(running);
			this.executor.execute(() -> {
				this.itemRunner.run(running, run, grant);
				if (run.after() == 0 && running.state().isFinished(run.item().id())) {
					this.itemStarts.onGenerated(run.item(), System.currentTimeMillis() - now);
				}
				running.state().recordLength(run.item().id(), this.lengths);
				wake();
			});
		}
	}

	private EndpointRequirements withWork(EndpointRequirements requirements, ActiveSubmission running,
			SubmissionState.Run run) {
		return this.table.reportsLoad(requirements.service())
				? requirements.withWork(this.itemRunner.work(running.state(), run)) : requirements;
	}

	private void schedulePageWrite(ActiveSubmission running, long now) {
		int unlisted = running.state().unlistedResults().size();
		long oldestAgeMillis = running.oldestUnlistedAge(unlisted, now);
		if (now < running.pageRetryMillis() || unlisted == 0
				|| !PageWritePolicy.isDue(unlisted, running.state().hasAwaitedResults(), oldestAgeMillis)
				|| !running.pageWriteInProgress().compareAndSet(false, true)) {
			return;
		}
		this.executor.execute(() -> {
			try {
				writeNextPage(running);
			}
			finally {
				running.pageWriteInProgress().set(false);
				wake();
			}
		});
	}

	private void writeNextPage(ActiveSubmission running) {
		String id = running.state().submission().id();
		ResultLog.ResultPage page = running.results().nextPage(running.state().unlistedResults(), MAX_PAGE_BYTES);
		if (page == null) {
			return;
		}
		Either<StoreFailure, Long> written = this.store.writePage(id, page);
		long retryMillis = System.currentTimeMillis() + STORE_RETRY_DELAY_MILLIS;
		if (written.isRight()) {
			running.results().add(page);
			running.state().onListed(page.results());
			running.onPageListed();
		}
		else if (written.getLeft() instanceof StoreFailure.ConditionFailed) {
			// The position is taken: by this page, if the response to an earlier attempt
			// was lost, or by a page of another host that runs the same submission.
			Either<StoreFailure, Integer> read = this.store.readPages(id, running.results());
			if (read.isLeft()) {
				running.retryPageAt(retryMillis);
				return;
			}
			running.state().onListed(running.results().resultsFrom(0));
		}
		else {
			if (written.getLeft() instanceof StoreFailure.OutcomeUnknown) {
				running.results().outcomeUnknown();
			}
			this.log.warn("page-not-written", "submission", id, "first", page.first(), "code", written.getLeft().code(),
					"detail", written.getLeft().detail());
			running.retryPageAt(retryMillis);
		}
	}

	private void replicateTexts(ActiveSubmission running) {
		String id = running.state().submission().id();
		Option<String> host = this.successorFinder.apply(id);
		if (host.isEmpty()) {
			return;
		}
		List<TextPart> parts = running.unreplicatedParts(host.get());
		if (parts.isEmpty()) {
			return;
		}
		if (this.mesh.call(host.get(), new PeerMessage.TextCopy(id, CoreJson.bytes(parts)), REPLICATION_TIMEOUT_MILLIS)
			.isLeft()) {
			running.resetReplication();
		}
	}

	private void storeTexts(ActiveSubmission running) {
		running.storeTexts(this.store)
			.forEach((failure) -> this.log.info("texts-not-stored", "submission", running.state().submission().id(),
					"code", failure.code(), "detail", failure.detail()));
	}

	/**
	 * Stores partial texts that a peer replicates to this host.
	 * @param message the texts
	 * @return the acknowledgement
	 */
	public PeerMessage handleTextCopy(PeerMessage.TextCopy message) {
		CoreJson.read(message.body(), TextPart[].class)
			.forEach((parts) -> this.replicatedTexts.add(message.submission(), List.of(parts)));
		return new PeerMessage.Ack(true);
	}

	/**
	 * Handles a peer's request for the partial texts replicated to this host.
	 * @param message the request
	 * @return the texts
	 */
	public PeerMessage handleTextFetch(PeerMessage.TextFetch message) {
		return new PeerMessage.TextCopy(message.submission(), CoreJson
			.bytes(this.replicatedTexts.textsOf(message.submission(), ActiveSubmission.MAX_REPLICATED_BYTES)));
	}

	/**
	 * Discards the replicated texts of a submission.
	 * @param id the submission
	 */
	public void discardTexts(String id) {
		this.replicatedTexts.remove(id);
	}

	// The copies in the memory of hosts are newer than the stored texts, but may be lost
	// together with the owner of the submission.
	private SubmissionStore.VersionedTexts recoverTexts(String id, SubmissionRecord record) {
		List<TextPart> copies = replicatedTexts(id);
		if (System.currentTimeMillis() < record.acceptedMillis() + DurableTextPolicy.WRITE_INTERVAL_MILLIS) {
			return new SubmissionStore.VersionedTexts(copies, 0);
		}
		Either<StoreFailure, SubmissionStore.VersionedTexts> stored = this.store.texts(id);
		if (stored.isLeft()) {
			this.log.warn("texts-not-read", "submission", id, "code", stored.getLeft().code(), "detail",
					stored.getLeft().detail());
			return new SubmissionStore.VersionedTexts(copies, 0);
		}
		return copies.isEmpty() ? stored.get() : new SubmissionStore.VersionedTexts(copies, stored.get().version());
	}

	private List<TextPart> replicatedTexts(String id) {
		List<TextPart> ownTexts = this.replicatedTexts.textsOf(id, Long.MAX_VALUE);
		Option<String> host = this.successorFinder.apply(id);
		if (!ownTexts.isEmpty() || host.isEmpty()) {
			return ownTexts;
		}
		Either<PeerFailure, PeerMessage> response = this.mesh.call(host.get(), new PeerMessage.TextFetch(id),
				REPLICATION_TIMEOUT_MILLIS);
		if (response.isRight() && response.get() instanceof PeerMessage.TextCopy copy) {
			return CoreJson.read(copy.body(), TextPart[].class).map(List::of).getOrElse(List.of());
		}
		return List.of();
	}

	private void load(String id, SubmissionRecord record) {
		ResultLog results = new ResultLog();
		boolean routeMissing = false;
		while (!this.closed && !this.draining) {
			Option<RouteRule> route = route(record);
			if (route.isEmpty()) {
				// A later version of the configuration may add the route again.
				if (!this.ownershipCheck.test(id)) {
					return;
				}
				if (!routeMissing) {
					routeMissing = true;
					this.log.warn("submission-without-route", "submission", id, "host", record.host(), "path",
							record.path());
				}
				await(ROUTE_POLL_INTERVAL_MILLIS);
				continue;
			}
			Either<StoreFailure, Option<Submission>> submission = this.store.submission(id);
			Either<StoreFailure, Integer> pages = submission.flatMap((unused) -> this.store.readPages(id, results));
			// The record that triggered the load may be outdated, from before a network
			// partition.
			Either<StoreFailure, Boolean> confirmed = pages.flatMap((unused) -> this.storeOwnershipCheck.apply(id));
			if (confirmed.isRight() && !confirmed.get()) {
				this.log.info("submission-not-resumed", "submission", id, "reason", "record-is-old");
				return;
			}
			if (confirmed.isRight()) {
				if (submission.get().isEmpty()) {
					this.log.warn("submission-not-resumed", "submission", id, "reason", "no-items");
					return;
				}
				SubmissionStore.VersionedTexts texts = recoverTexts(id, record);
				this.log.info("submission-resumed", "submission", id, "listed", results.size(), "total", record.total(),
						"texts", texts.texts().size(), "texts_version", texts.version());
				activate(submission.get().get(), record, route.get(), results, texts);
				return;
			}
			await(STORE_RETRY_DELAY_MILLIS);
		}
	}

	private Option<RouteRule> route(SubmissionRecord record) {
		RoutingTable currentRouting = this.routing.get();
		return (currentRouting != null) ? currentRouting.route(record.host(), record.path()) : Option.none();
	}

	private void activate(Submission submission, SubmissionRecord record, RouteRule route, ResultLog results,
			SubmissionStore.VersionedTexts texts) {
		Set<String> resubmittedItems = findResubmittedItems(submission);
		SubmissionState state = SubmissionState.of(submission, route.maxAttempts(), route.singleVersion(),
				record.acceptedMillis(), route.maxAgeMillis(), this.itemOrder, resubmittedItems, this.textMemory);
		state.onListed(results.resultsFrom(0));
		state.preload(texts.texts());
		long deadline = (route.maxAgeMillis() > Long.MAX_VALUE / 2) ? record.acceptedMillis() + 60_000
				: record.acceptedMillis() + route.maxAgeMillis();
		// The items share the cached parts of their prompts, so they stay together.
		double share = Math.random();
		ActiveSubmission running = new ActiveSubmission(state, results,
				() -> route(record).map((current) -> current.service(share)), deadline,
				record.acceptedMillis() + dueMillis(route), texts.version(), System.currentTimeMillis());
		boolean added = this.activeSubmissions.putIfAbsent(submission.id(), running) == null;
		if (!added) {
			running.stop();
		}
		else if (!this.ownershipCheck.test(submission.id())) {
			// It was ended or changed its owner while its items were read.
			stop(submission.id(), "not-wanted");
		}
		else {
			this.itemStarts.onActivated(submission.id(), route.resultDueMillis());
			this.log.info("submission-started", "submission", submission.id(), "items", submission.items().size(),
					"model", submission.model(), "step", submission.step(), "min_version", submission.minVersion(),
					"wanted_groups", submission.wantedGroups(), "carried", resubmittedItems.size(), "host", this.host);
			wake();
		}
	}

	private static long dueMillis(RouteRule route) {
		long dueMillis = (route.resultDueMillis() < Long.MAX_VALUE) ? route.resultDueMillis()
				: DueWork.DEFAULT_DUE_MILLIS;
		return Math.min(dueMillis, route.maxAgeMillis());
	}

	private Set<String> findResubmittedItems(Submission submission) {
		Set<String> resubmittedItems = new HashSet<>();
		synchronized (this.rememberedItems) {
			if (this.rememberedItems.size() > MAX_REMEMBERED_ITEMS) {
				this.rememberedItems.clear();
			}
			submission.items().forEach((item) -> {
				if (!this.rememberedItems.add(item.id())) {
					resubmittedItems.add(item.id());
				}
			});
		}
		return resubmittedItems;
	}

	private void wake() {
		synchronized (this.wakeUp) {
			this.wakeUp.notifyAll();
		}
	}

	private void await(long millis) {
		try {
			synchronized (this.wakeUp) {
				this.wakeUp.wait(millis);
			}
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
			this.closed = true;
		}
	}

}
