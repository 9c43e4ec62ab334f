package org.bamboorelay.host.request;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.function.Function;
import java.util.function.Predicate;
import java.util.function.Supplier;

import io.vavr.control.Either;
import io.vavr.control.Option;
import org.bamboorelay.core.connection.PeerMessage;
import org.bamboorelay.core.process.EndpointTable;
import org.bamboorelay.core.request.ItemOrder;
import org.bamboorelay.core.request.PagePacing;
import org.bamboorelay.core.request.ResultLog;
import org.bamboorelay.core.request.Submission;
import org.bamboorelay.core.request.SubmissionItem;
import org.bamboorelay.core.request.SubmissionPlan;
import org.bamboorelay.core.request.TextCopies;
import org.bamboorelay.core.request.TextPart;
import org.bamboorelay.core.store.StoreFailure;
import org.bamboorelay.core.version.CoreJson;
import org.bamboorelay.core.version.RouteRule;
import org.bamboorelay.core.version.RoutingTable;
import org.bamboorelay.host.connection.HostMesh;
import org.bamboorelay.host.process.EventLog;
import org.bamboorelay.host.process.Steps;
import org.bamboorelay.host.version.SubmissionRecord;
import org.bamboorelay.host.version.SubmissionStore;
import org.bamboorelay.runtime.connection.PeerFailure;
import org.jspecify.annotations.Nullable;

/**
 * Runs the submissions that this host owns: starts items where endpoints have free slots,
 * oldest submission first, and writes results in pages.
 * <p>
 * Thread-safe.
 */
public final class SubmissionRunner {

	/** The most characters of text in one page, well below the store's largest value. */
	private static final int PAGE_CHARACTERS = 500_000;

	/** How often waiting items and results are looked at, in milliseconds. */
	private static final long TICK_MILLIS = 20;

	/** How often the loop turns while this host runs no submission, in milliseconds. */
	private static final long IDLE_MILLIS = 500;

	/** How often runs on slow endpoints are looked for, in milliseconds. */
	private static final long MOVE_MILLIS = 200;

	/** How often texts are copied to the host that would go on, in milliseconds. */
	private static final long COPY_MILLIS = 700;

	/** The longest wait for a copy, in milliseconds. */
	private static final long COPY_LIMIT_MILLIS = 500;

	/** Pause after the store failed, in milliseconds. */
	private static final long STORE_RETRY_MILLIS = 150;

	/**
	 * Items of earlier submissions that are remembered, to know which ones come again.
	 */
	private static final int REMEMBERED_ITEMS = 4_096;

	private final String host;

	private final SubmissionStore store;

	private final EndpointTable table;

	private final ItemRunner items;

	private final Supplier<@Nullable RoutingTable> routing;

	private final ItemOrder order;

	private final ExecutorService threads;

	private final EventLog log;

	private final Map<String, ActiveSubmission> active = new ConcurrentHashMap<>();

	private final Set<String> seenItems = new HashSet<>();

	private final Object signal = new Object();

	private final HostMesh mesh;

	private final TextCopies copies = new TextCopies();

	private volatile Function<String, Option<String>> successors = (id) -> Option.none();

	private volatile Function<String, Either<StoreFailure, Boolean>> confirmation = (id) -> Either.right(true);

	private volatile Predicate<String> wanted = (id) -> true;

	private long nextMove;

	private volatile boolean closed;

	private volatile boolean leaving;

	private volatile boolean suspended;

	/**
	 * Creates a runner.
	 * @param host this host
	 * @param store the submissions in the platform's store
	 * @param table the endpoints
	 * @param items runs items
	 * @param routing the routes in force
	 * @param order the order in which items start
	 * @param mesh the other hosts, which keep copies of texts
	 * @param threads runs items and writes pages
	 * @param log the log of the process
	 */
	public SubmissionRunner(String host, SubmissionStore store, EndpointTable table, ItemRunner items,
			Supplier<@Nullable RoutingTable> routing, ItemOrder order, HostMesh mesh, ExecutorService threads,
			EventLog log) {
		this.mesh = Objects.requireNonNull(mesh, "mesh");
		this.host = Objects.requireNonNull(host, "host");
		this.store = Objects.requireNonNull(store, "store");
		this.table = Objects.requireNonNull(table, "table");
		this.items = Objects.requireNonNull(items, "items");
		this.routing = Objects.requireNonNull(routing, "routing");
		this.order = Objects.requireNonNull(order, "order");
		this.threads = Objects.requireNonNull(threads, "threads");
		this.log = Objects.requireNonNull(log, "log");
	}

	/**
	 * Sets what tells whether this host is to run a submission, as far as it knows.
	 * @param test tells it for a submission
	 */
	public void wanted(Predicate<String> test) {
		this.wanted = Objects.requireNonNull(test, "test");
	}

	/**
	 * Sets what reads from the store whether this host is to run a submission.
	 * @param reader reads it
	 */
	public void confirmation(Function<String, Either<StoreFailure, Boolean>> reader) {
		this.confirmation = Objects.requireNonNull(reader, "reader");
	}

	/**
	 * Sets what names the host that would go on with a submission.
	 * @param finder finds the host
	 */
	public void successors(Function<String, Option<String>> finder) {
		this.successors = Objects.requireNonNull(finder, "finder");
	}

	/**
	 * Begins to run a submission that was accepted just now.
	 * @param submission the submission
	 * @param record its record
	 * @param route its route
	 */
	public void start(Submission submission, SubmissionRecord record, RouteRule route) {
		begin(submission, record, route, new ResultLog(), List.of());
	}

	/**
	 * Begins to run a submission that the store names this host for: after a restart, or
	 * in place of a host that is gone.
	 * @param id the submission
	 * @param record its record
	 */
	public void resume(String id, SubmissionRecord record) {
		if (this.active.containsKey(id) || record.ended() || this.leaving) {
			return;
		}
		this.threads.execute(() -> load(id, record));
	}

	/**
	 * Stops running a submission.
	 * @param id the submission
	 * @param reason why, for the log
	 */
	public void stop(String id, String reason) {
		ActiveSubmission running = this.active.remove(id);
		if (running != null) {
			this.log.info("submission-stopped", "submission", id, "reason", reason, "runs", running.runs(), "listed",
					running.results().size());
			running.drop();
		}
	}

	/**
	 * Returns the listed results of a submission that this host runs.
	 * @param id the submission
	 * @return the results, or null where this host does not run it
	 */
	public @Nullable ResultLog results(String id) {
		ActiveSubmission running = this.active.get(id);
		return (running != null) ? running.results() : null;
	}

	/**
	 * Returns an item of a submission that this host runs.
	 * @param id the submission
	 * @param item the item
	 * @return the item, or nothing
	 */
	public Option<SubmissionItem> item(String id, String item) {
		ActiveSubmission running = this.active.get(id);
		if (running == null) {
			return Option.none();
		}
		return Option.ofOptional(running.plan()
			.submission()
			.items()
			.stream()
			.filter((candidate) -> candidate.id().equals(item))
			.findFirst());
	}

	/**
	 * Sets whether items start. They do not while this host cannot know which submissions
	 * were ended.
	 * @param suspended whether to start none
	 */
	public void suspend(boolean suspended) {
		this.suspended = suspended;
	}

	/**
	 * Returns the submissions that this host runs.
	 * @return their ids
	 */
	public Set<String> running() {
		return Set.copyOf(this.active.keySet());
	}

	/**
	 * Returns the items that run or wait here.
	 * @return the number of items by service
	 */
	public Map<String, Integer> demand() {
		Map<String, Integer> demand = new HashMap<>();
		this.active.values()
			.forEach((running) -> demand.merge(running.service(), running.plan().unfinished(), Integer::sum));
		return demand;
	}

	/**
	 * Breaks all runs off, lists the results that there are, and copies the texts to the
	 * hosts that go on.
	 * @param millis the longest wait for results to be listed, in milliseconds
	 * @throws InterruptedException where the waiting thread is interrupted
	 */
	public void leave(long millis) throws InterruptedException {
		this.leaving = true;
		this.active.values().forEach(ActiveSubmission::pause);
		long end = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(millis);
		while (System.nanoTime() < end && this.active.values()
			.stream()
			.anyMatch((running) -> running.runs() > 0 || !running.plan().unlisted().isEmpty())) {
			TimeUnit.MILLISECONDS.sleep(TICK_MILLIS);
		}
		this.active.values().forEach(this::copyTexts);
	}

	/**
	 * Ends the loop.
	 */
	public void close() {
		this.closed = true;
	}

	/**
	 * Starts items and writes pages until the process ends.
	 */
	public void loop() {
		while (!this.closed) {
			Steps.run(this.log, "submissions", this::step);
		}
	}

	private void step() {
		long now = System.currentTimeMillis();
		List<ActiveSubmission> all = new ArrayList<>(this.active.values());
		all.sort(Comparator.comparingLong((ActiveSubmission running) -> running.plan().acceptedMillis()));
		boolean busy = false;
		boolean moves = now >= this.nextMove;
		for (ActiveSubmission running : all) {
			running.plan().expire(now);
			if (!this.leaving && !this.suspended) {
				startItems(running, now);
			}
			if (moves) {
				running.moveFrom(this.table, running.plan().isWaiting(now));
			}
			writePage(running, now);
			if (now >= running.lastCopyMillis() + COPY_MILLIS && !this.leaving) {
				running.copying(now);
				this.threads.execute(() -> copyTexts(running));
			}
			busy |= running.plan().isWaiting(now) || !running.plan().unlisted().isEmpty();
		}
		this.nextMove = moves ? now + MOVE_MILLIS : this.nextMove;
		if (all.isEmpty()) {
			await(IDLE_MILLIS);
		}
		else {
			await(busy ? TICK_MILLIS : TICK_MILLIS * 5);
		}
	}

	private void startItems(ActiveSubmission running, long now) {
		while (running.plan().isWaiting(now)) {
			EndpointTable.Grant grant = this.table.acquire(running.demand(0));
			if (grant == null) {
				return;
			}
			SubmissionPlan.Run run = running.plan().start(now);
			if (run == null) {
				this.table.release(grant, EndpointTable.Outcome.ABANDONED);
				return;
			}
			this.threads.execute(() -> {
				this.items.run(running, run, grant);
				wake();
			});
		}
	}

	private void writePage(ActiveSubmission running, long now) {
		int waiting = running.plan().unlisted().size();
		if (!PagePacing.isDue(waiting, running.plan().pending(), now - running.lastWriteMillis())
				|| !running.writing().compareAndSet(false, true)) {
			return;
		}
		this.threads.execute(() -> {
			try {
				write(running);
			}
			finally {
				running.writing().set(false);
				wake();
			}
		});
	}

	private void write(ActiveSubmission running) {
		String id = running.plan().submission().id();
		ResultLog.ResultPage page = running.results().next(running.plan().unlisted(), PAGE_CHARACTERS);
		if (page == null) {
			return;
		}
		Either<StoreFailure, Long> written = this.store.writePage(id, page);
		long now = System.currentTimeMillis();
		running.written(now);
		if (written.isRight()) {
			running.results().add(page);
			running.plan().listed(page.results());
		}
		else if (written.getLeft() instanceof StoreFailure.ConditionFailed) {
			// The position is taken: by this page, whose answer was lost, or by a page of
			// another host that runs the submission too.
			Either<StoreFailure, Integer> read = this.store.readPages(id, running.results());
			if (read.isLeft()) {
				running.written(now + STORE_RETRY_MILLIS);
				return;
			}
			running.plan().listed(running.results().from(0));
		}
		else {
			if (written.getLeft() instanceof StoreFailure.OutcomeUnknown) {
				running.results().uncertain();
			}
			this.log.warn("page-not-written", "submission", id, "first", page.first(), "code", written.getLeft().code(),
					"detail", written.getLeft().detail());
			running.written(now + STORE_RETRY_MILLIS);
		}
	}

	private void copyTexts(ActiveSubmission running) {
		String id = running.plan().submission().id();
		Option<String> host = this.successors.apply(id);
		if (host.isEmpty()) {
			return;
		}
		List<TextPart> parts = running.partsFor(host.get());
		if (parts.isEmpty()) {
			return;
		}
		if (this.mesh.call(host.get(), new PeerMessage.TextCopy(id, CoreJson.bytes(parts)), COPY_LIMIT_MILLIS)
			.isLeft()) {
			running.copyLost();
		}
	}

	/**
	 * Takes texts that another host copies here.
	 * @param message the texts
	 * @return the answer
	 */
	public PeerMessage onCopy(PeerMessage.TextCopy message) {
		CoreJson.read(message.body(), TextPart[].class)
			.forEach((parts) -> this.copies.add(message.submission(), List.of(parts)));
		return new PeerMessage.Ack(true);
	}

	/**
	 * Answers a host that asks for copied texts.
	 * @param message the question
	 * @return the answer
	 */
	public PeerMessage onFetch(PeerMessage.TextFetch message) {
		return new PeerMessage.TextCopy(message.submission(), CoreJson.bytes(this.copies.of(message.submission())));
	}

	/**
	 * Drops the copied texts of a submission.
	 * @param id the submission
	 */
	public void forget(String id) {
		this.copies.remove(id);
	}

	private List<TextPart> knownTexts(String id) {
		List<TextPart> own = this.copies.of(id);
		Option<String> host = this.successors.apply(id);
		if (!own.isEmpty() || host.isEmpty()) {
			return own;
		}
		Either<PeerFailure, PeerMessage> answer = this.mesh.call(host.get(), new PeerMessage.TextFetch(id),
				COPY_LIMIT_MILLIS);
		if (answer.isRight() && answer.get() instanceof PeerMessage.TextCopy copy) {
			return CoreJson.read(copy.body(), TextPart[].class).map(List::of).getOrElse(List.of());
		}
		return List.of();
	}

	private void load(String id, SubmissionRecord record) {
		ResultLog results = new ResultLog();
		while (!this.closed && !this.leaving) {
			Either<StoreFailure, Option<Submission>> submission = this.store.submission(id);
			Either<StoreFailure, Integer> pages = submission.flatMap((unused) -> this.store.readPages(id, results));
			// The record that led here may have come late, from before a cut.
			Either<StoreFailure, Boolean> confirmed = pages.flatMap((unused) -> this.confirmation.apply(id));
			RoutingTable present = this.routing.get();
			if (confirmed.isRight() && !confirmed.get()) {
				this.log.info("submission-not-resumed", "submission", id, "reason", "record-is-old");
				return;
			}
			if (confirmed.isRight() && present != null) {
				Option<RouteRule> route = present.route(record.host(), record.path());
				if (submission.get().isEmpty() || route.isEmpty()) {
					this.log.warn("submission-not-resumed", "submission", id, "items_found",
							submission.get().isDefined(), "route_found", route.isDefined());
					return;
				}
				List<TextPart> texts = knownTexts(id);
				this.log.info("submission-resumed", "submission", id, "listed", results.size(), "total", record.total(),
						"texts", texts.size());
				begin(submission.get().get(), record, route.get(), results, texts);
				return;
			}
			await(STORE_RETRY_MILLIS);
		}
	}

	private void begin(Submission submission, SubmissionRecord record, RouteRule route, ResultLog results,
			List<TextPart> texts) {
		Set<String> carried = remember(submission);
		SubmissionPlan plan = SubmissionPlan.of(submission, route.maxAttempts(), route.singleVersion(),
				record.acceptedMillis(), route.maxAgeMillis(), this.order, carried);
		plan.listed(results.from(0));
		plan.preload(texts);
		long end = (route.maxAgeMillis() > Long.MAX_VALUE / 2) ? record.acceptedMillis() + 60_000
				: record.acceptedMillis() + route.maxAgeMillis();
		ActiveSubmission running = new ActiveSubmission(plan, results, route.service(Math.random()), end);
		boolean begun = this.active.putIfAbsent(submission.id(), running) == null;
		if (begun && !this.wanted.test(submission.id())) {
			// It was ended, or went to another host, while its items were read.
			stop(submission.id(), "not-wanted");
		}
		else if (begun) {
			this.log.info("submission-started", "submission", submission.id(), "items", submission.items().size(),
					"model", submission.model(), "step", submission.step(), "min_version", submission.minVersion(),
					"wanted_groups", submission.wantedGroups(), "carried", carried.size(), "host", this.host);
			wake();
		}
	}

	private Set<String> remember(Submission submission) {
		Set<String> carried = new HashSet<>();
		synchronized (this.seenItems) {
			if (this.seenItems.size() > REMEMBERED_ITEMS) {
				this.seenItems.clear();
			}
			submission.items().forEach((item) -> {
				if (!this.seenItems.add(item.id())) {
					carried.add(item.id());
				}
			});
		}
		return carried;
	}

	private void wake() {
		synchronized (this.signal) {
			this.signal.notifyAll();
		}
	}

	private void await(long millis) {
		try {
			synchronized (this.signal) {
				this.signal.wait(millis);
			}
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
			this.closed = true;
		}
	}

}
