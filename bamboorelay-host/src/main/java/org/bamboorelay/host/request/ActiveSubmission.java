package org.bamboorelay.host.request;

import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.Supplier;

import io.vavr.control.Either;
import io.vavr.control.Option;
import org.bamboorelay.core.process.EndpointRequirements;
import org.bamboorelay.core.process.EndpointTable;
import org.bamboorelay.core.process.ItemWork;
import org.bamboorelay.core.process.MigrationReason;
import org.bamboorelay.core.process.ReclaimPolicy;
import org.bamboorelay.core.request.DurableTextPolicy;
import org.bamboorelay.core.request.LengthEstimate;
import org.bamboorelay.core.request.RequestOrigin;
import org.bamboorelay.core.request.ResultLog;
import org.bamboorelay.core.request.SubmissionState;
import org.bamboorelay.core.request.TextPart;
import org.bamboorelay.core.store.StoreFailure;
import org.bamboorelay.host.version.SubmissionStore;

/**
 * State of a submission that this host runs: the state of its items, its results, its
 * running items and the progress of replicating partial texts to another host.
 * <p>
 * Thread-safe.
 */
final class ActiveSubmission {

	/**
	 * Ratio of an endpoint's pace to that of a free endpoint from which a run is
	 * migrated.
	 */
	private static final double SLOW_PACE_RATIO = 1.7;

	/** The same ratio for long runs while no item waits for a slot. */
	private static final double LONG_RUN_PACE_RATIO = 1.2;

	/** Number of events from which a run counts as long; most texts have fewer. */
	private static final int LONG_RUN_EVENTS = 30;

	private static final int MAX_MIGRATIONS_PER_ITEM = 2;

	/**
	 * Factor on the gain that a migration must bring while items wait for slots, which
	 * would use the slot elsewhere too.
	 */
	private static final double WAITING_ITEMS_MARGIN_FACTOR = 2;

	/**
	 * Maximum heap memory of the texts in one message to another host, in bytes; the
	 * message is smaller, and fits into a frame.
	 */
	static final long MAX_REPLICATED_BYTES = 2_000_000;

	private final SubmissionState state;

	private final ResultLog results;

	private final Supplier<Option<String>> service;

	private final long deadlineMillis;

	private final long dueMillis;

	private final Map<String, RunningItem> runningItems = new ConcurrentHashMap<>();

	private final Map<String, Integer> migrationCounts = new ConcurrentHashMap<>();

	private final Map<String, MigrationReason> migratingItems = new ConcurrentHashMap<>();

	private final Map<String, Long> replicatedEvents = new HashMap<>();

	private String replicaHost = "";

	private volatile long lastReplicationMillis;

	private volatile long lastTextWriteMillis;

	private long storedTextsVersion;

	private long storedEventCount;

	private final AtomicBoolean pageWriteInProgress = new AtomicBoolean();

	// When the oldest unlisted result became available; 0 if all results are listed.
	private volatile long unlistedSinceMillis;

	private volatile long pageRetryMillis;

	private volatile boolean stopped;

	// The service is that of the routes in force, which may move to another one while the
	// submission runs.
	ActiveSubmission(SubmissionState state, ResultLog results, Supplier<Option<String>> service, long deadlineMillis,
			long dueMillis, long storedTextsVersion, long nowMillis) {
		this.state = Objects.requireNonNull(state, "state");
		this.results = Objects.requireNonNull(results, "results");
		this.service = Objects.requireNonNull(service, "service");
		this.deadlineMillis = deadlineMillis;
		this.dueMillis = dueMillis;
		this.storedTextsVersion = storedTextsVersion;
		this.lastTextWriteMillis = nowMillis;
	}

	SubmissionState state() {
		return this.state;
	}

	ResultLog results() {
		return this.results;
	}

	// Returns when unfinished items may be given up, wall clock in milliseconds.
	long deadlineMillis() {
		return this.deadlineMillis;
	}

	// Returns when the results are due, wall clock in milliseconds.
	long dueMillis() {
		return this.dueMillis;
	}

	AtomicBoolean pageWriteInProgress() {
		return this.pageWriteInProgress;
	}

	// Returns for how long the oldest unlisted result has been available, in
	// milliseconds.
	long oldestUnlistedAge(int unlistedCount, long now) {
		if (unlistedCount == 0) {
			this.unlistedSinceMillis = 0;
			return 0;
		}
		if (this.unlistedSinceMillis == 0) {
			this.unlistedSinceMillis = now;
		}
		return now - this.unlistedSinceMillis;
	}

	void onPageListed() {
		this.unlistedSinceMillis = 0;
	}

	// Returns the earliest time for the next page after a failed write, wall clock in
	// milliseconds.
	long pageRetryMillis() {
		return this.pageRetryMillis;
	}

	void retryPageAt(long millis) {
		this.pageRetryMillis = millis;
	}

	// Returns what an endpoint for an item has to meet, or none if no route leads to a
	// service.
	Option<EndpointRequirements> requirements() {
		return service().map((name) -> new EndpointRequirements(RequestOrigin.ITEM, name,
				this.state.submission().model(), this.state.submission().minVersion(), 0, true, Set.of()));
	}

	void onRunStarted(String item, String endpoint, ItemWork work, Runnable abort) {
		this.runningItems.put(item, new RunningItem(endpoint, work, abort));
		if (this.stopped || this.state.isEnded()) {
			abort.run();
		}
	}

	void onRunEnded(String item) {
		this.runningItems.remove(item);
		this.migratingItems.remove(item);
	}

	// Returns why a run was aborted to be migrated, or none if it was not.
	Option<MigrationReason> clearMigration(String item) {
		return Option.of(this.migratingItems.remove(item));
	}

	// Aborts runs on slow endpoints so that they resume on faster ones, where processing
	// the text generated so far costs little. If endpoints report their load, the
	// expected completion here and elsewhere is compared. Otherwise, while items wait for
	// slots, a run is migrated only from a much slower endpoint; afterwards long runs,
	// which determine when the training step ends, move to the fastest endpoint. The
	// number of migrations of a run is limited so that it does not bounce between
	// endpoints.
	void migrateSlowRuns(EndpointTable table, boolean itemsWaiting) {
		requirements().forEach((requirements) -> {
			if (table.reportsLoad(requirements.service())) {
				// A slot that is free elsewhere is free for one run only.
				this.runningItems.entrySet()
					.stream()
					.filter((entry) -> mayMigrate(entry.getKey()) && isCompletedSoonerElsewhere(table, requirements,
							entry.getKey(), entry.getValue(), itemsWaiting))
					.max(Comparator
						.comparingLong((entry) -> remainingWork(entry.getKey(), entry.getValue()).expectedEvents()))
					.ifPresent((entry) -> migrate(table, entry.getKey(), entry.getValue(),
							MigrationReason.EARLIER_COMPLETION));
				return;
			}
			this.runningItems.forEach((item, run) -> {
				if (mayMigrate(item) && isOnSlowEndpoint(table, requirements, item, run, itemsWaiting)) {
					migrate(table, item, run, MigrationReason.SLOWER_PACE);
				}
			});
		});
	}

	private boolean mayMigrate(String item) {
		return this.migrationCounts.getOrDefault(item, 0) < MAX_MIGRATIONS_PER_ITEM;
	}

	private void migrate(EndpointTable table, String item, RunningItem run, MigrationReason reason) {
		this.migrationCounts.merge(item, 1, Integer::sum);
		this.migratingItems.put(item, reason);
		table.placementCounts().onMigrated(reason);
		run.abort().run();
	}

	private ItemWork remainingWork(String item, RunningItem run) {
		return run.work().after(this.state.eventCount(item));
	}

	private boolean isCompletedSoonerElsewhere(EndpointTable table, EndpointRequirements requirements, String item,
			RunningItem run, boolean itemsWaiting) {
		return table.isCompletedSoonerElsewhere(run.endpoint(), requirements.withWork(remainingWork(item, run)),
				itemsWaiting ? WAITING_ITEMS_MARGIN_FACTOR : 1);
	}

	private boolean isOnSlowEndpoint(EndpointTable table, EndpointRequirements requirements, String item,
			RunningItem run, boolean itemsWaiting) {
		boolean isLong = this.state.eventCount(item) >= LONG_RUN_EVENTS;
		double ratio = (itemsWaiting || !isLong) ? SLOW_PACE_RATIO : LONG_RUN_PACE_RATIO;
		return table.isWorthMoving(run.endpoint(), requirements, ratio);
	}

	// Aborts runs at endpoints that the platform reclaims, so that they resume elsewhere
	// in time. Returns the number of aborted runs.
	int moveReclaimedRuns(Map<String, EndpointTable.ReclaimedEndpoint> reclaimed, LengthEstimate lengths) {
		AtomicInteger moved = new AtomicInteger();
		this.runningItems.forEach((item, run) -> {
			EndpointTable.ReclaimedEndpoint endpoint = reclaimed.get(run.endpoint());
			if (endpoint == null) {
				return;
			}
			double remainingMillis = (endpoint.unitMillis() > 0)
					? this.state.remainingEvents(item, lengths) * endpoint.unitMillis() : Double.POSITIVE_INFINITY;
			if (ReclaimPolicy.mustMove(endpoint.noticeMillis(), remainingMillis)
					&& this.migratingItems.putIfAbsent(item, MigrationReason.RECLAIMED_ENDPOINT) == null) {
				moved.incrementAndGet();
				run.abort().run();
			}
		});
		return moved.get();
	}

	long lastReplicationMillis() {
		return this.lastReplicationMillis;
	}

	void onReplicationStarted(long now) {
		this.lastReplicationMillis = now;
	}

	long lastTextWriteMillis() {
		return this.lastTextWriteMillis;
	}

	void onTextWriteStarted(long now) {
		this.lastTextWriteMillis = now;
	}

	// Stores the long partial texts if they have grown since the last write.
	synchronized Option<StoreFailure> storeTexts(SubmissionStore store) {
		List<TextPart> texts = DurableTextPolicy.select(this.state.partsMissingFrom(new HashMap<>(), Long.MAX_VALUE));
		long eventCount = texts.stream().mapToLong((text) -> text.events().size()).sum();
		if (this.stopped || texts.isEmpty() || eventCount == this.storedEventCount) {
			return Option.none();
		}
		Either<StoreFailure, Long> written = store.writeTexts(this.state.submission().id(), texts,
				this.storedTextsVersion);
		if (written.isRight()) {
			this.storedTextsVersion = written.get();
			this.storedEventCount = eventCount;
			return Option.none();
		}
		// An earlier response was lost, or a former owner wrote the object.
		store.texts(this.state.submission().id()).forEach((stored) -> this.storedTextsVersion = stored.version());
		return Option.some(written.getLeft());
	}

	// Returns texts not yet copied to the successor host, as many as fit into a message.
	// A host other than that of the previous call is assumed to have no copies.
	synchronized List<TextPart> unreplicatedParts(String host) {
		if (!host.equals(this.replicaHost)) {
			this.replicaHost = host;
			this.replicatedEvents.clear();
		}
		return this.state.partsMissingFrom(this.replicatedEvents, MAX_REPLICATED_BYTES);
	}

	// Makes the next replication start from scratch, as the last message may have been
	// lost.
	synchronized void resetReplication() {
		this.replicatedEvents.clear();
	}

	// Aborts all runs and keeps their texts, so that another host can resume them.
	void suspend() {
		this.stopped = true;
		List.copyOf(this.runningItems.values()).forEach((run) -> run.abort().run());
	}

	// Returns the service that runs the items, or none while they have no route.
	Option<String> service() {
		return this.service.get();
	}

	int runCount() {
		return this.runningItems.size();
	}

	// Aborts all runs and marks the state as ended: the submission ended or another host
	// runs it.
	void stop() {
		this.stopped = true;
		this.state.end();
		List.copyOf(this.runningItems.values()).forEach((run) -> run.abort().run());
	}

	private record RunningItem(String endpoint, ItemWork work, Runnable abort) {
	}

}
