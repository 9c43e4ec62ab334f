package org.bamboorelay.host.request;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.OptionalInt;
import java.util.Set;
import java.util.TreeSet;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;

import io.vavr.control.Either;
import io.vavr.control.Option;
import org.bamboorelay.core.connection.PeerMessage;
import org.bamboorelay.core.process.RendezvousHash;
import org.bamboorelay.core.request.ItemResult;
import org.bamboorelay.core.request.ResultCache;
import org.bamboorelay.core.request.ResultLog;
import org.bamboorelay.core.request.Submission;
import org.bamboorelay.core.store.StoreFailure;
import org.bamboorelay.core.store.StoredObject;
import org.bamboorelay.core.version.CoreJson;
import org.bamboorelay.core.version.HostId;
import org.bamboorelay.host.connection.HostMesh;
import org.bamboorelay.host.process.EventLog;
import org.bamboorelay.host.version.KindWatcher;
import org.bamboorelay.host.version.SubmissionRecord;
import org.bamboorelay.host.version.SubmissionStore;
import org.bamboorelay.runtime.connection.PeerFailure;

/**
 * This host's view of all submissions of the deployment: which host owns each one, and
 * where its results are read. If the owner of a submission is lost, another host takes
 * the submission over. Two hosts that run the same submission at the same time do no
 * harm, as each result page is written at its position by a conditional write.
 * <p>
 * Thread-safe.
 */
public final class SubmissionDirectory implements KindWatcher.Listener {

	/** Interval between two reads from the owner of a submission, in milliseconds. */
	private static final long POLL_INTERVAL_MILLIS = 60;

	/** Timeout of a read from the owner, in milliseconds. */
	private static final long PEER_TIMEOUT_MILLIS = 300;

	/**
	 * Maximum size of the results in one response, in bytes; exceeded only by a single
	 * result.
	 */
	private static final int MAX_RESPONSE_BYTES = 700_000;

	/**
	 * Divisor of the maximum heap size that gives the limit for the results of
	 * submissions that other hosts run, in bytes.
	 */
	private static final long RESULT_MEMORY_DIVISOR = 8;

	/**
	 * Maximum number of attempts to mark a submission as ended before the caller is asked
	 * to retry.
	 */
	private static final int MAX_END_ATTEMPTS = 6;

	private final String host;

	private final SubmissionStore store;

	private final SubmissionRunner runner;

	private final HostMesh mesh;

	private final EventLog log;

	private final Map<String, SubmissionStore.VersionedRecord> records = new ConcurrentHashMap<>();

	private final ResultCache resultCache = ResultCache.of(Runtime.getRuntime().maxMemory() / RESULT_MEMORY_DIVISOR);

	private volatile Runnable onSilentOwner = () -> {
	};

	/**
	 * Creates an empty directory.
	 * @param host the name of this host
	 * @param store the submissions in the platform's store
	 * @param runner runs the submissions of this host
	 * @param mesh the other hosts
	 * @param log the log of the process
	 */
	public SubmissionDirectory(String host, SubmissionStore store, SubmissionRunner runner, HostMesh mesh,
			EventLog log) {
		this.host = Objects.requireNonNull(host, "host");
		this.store = Objects.requireNonNull(store, "store");
		this.runner = Objects.requireNonNull(runner, "runner");
		this.mesh = Objects.requireNonNull(mesh, "mesh");
		this.log = Objects.requireNonNull(log, "log");
		runner.ownershipCheck(this::isOwnedByThisHost);
		runner.successorFinder(this::successorOf);
		runner.storeOwnershipCheck(this::confirmOwnership);
	}

	/**
	 * Sets the listener that is called when a host that is not responsive took over a
	 * submission.
	 * @param listener the listener; must not block
	 */
	public void onSilentOwner(Runnable listener) {
		this.onSilentOwner = Objects.requireNonNull(listener, "listener");
	}

	@Override
	public void changed(String name, StoredObject object) {
		Option<SubmissionStore.VersionedRecord> read = SubmissionStore.decode(object);
		if (read.isEmpty()) {
			this.log.warn("submission-record-unreadable", "submission", name);
			return;
		}
		update(name, read.get());
	}

	@Override
	public void removed(String name) {
		this.records.remove(name);
		this.resultCache.remove(name);
		this.runner.stop(name, "removed");
	}

	/**
	 * Updates the view with a record that this host wrote or read, unless a newer one is
	 * known. Starts or stops running the submission accordingly.
	 * @param id the submission
	 * @param found the record with its version
	 */
	public void update(String id, SubmissionStore.VersionedRecord found) {
		SubmissionStore.VersionedRecord previous = this.records.get(id);
		SubmissionStore.VersionedRecord newest = this.records.merge(id, found,
				(known, next) -> (next.version() >= known.version()) ? next : known);
		SubmissionRecord record = newest.record();
		if (previous != null && !record.owner().equals(previous.record().owner())
				&& !this.mesh.isResponsive(record.owner())) {
			this.onSilentOwner.run();
		}
		if (record.ended()) {
			this.runner.discardTexts(id);
			this.runner.stop(id, "ended");
		}
		else if (!record.owner().equals(this.host)) {
			this.runner.stop(id, "owner-changed");
		}
		else {
			this.runner.resume(id, record);
		}
	}

	/**
	 * Returns the record of a submission, from the store if it is not known yet.
	 * @param id the submission
	 * @return the record, or nothing if there is no such submission
	 */
	public Either<StoreFailure, Option<SubmissionRecord>> find(String id) {
		SubmissionStore.VersionedRecord known = this.records.get(id);
		if (known != null) {
			return Either.right(Option.some(known.record()));
		}
		Either<StoreFailure, Option<SubmissionStore.VersionedRecord>> read = this.store.record(id);
		read.forEach((found) -> found.forEach((record) -> update(id, record)));
		return read.map((found) -> found.map(SubmissionStore.VersionedRecord::record));
	}

	/**
	 * Reads the results of a submission that are listed in the store.
	 * @param id the submission
	 * @param record its record
	 * @param after the position of the first result to read
	 * @param waitMillis the maximum wait for a result, in milliseconds
	 * @return the results, empty if there were none in time; a failure if neither the
	 * owner of the submission nor the store could answer
	 * @throws InterruptedException if the waiting thread is interrupted
	 */
	public Either<StoreFailure, List<ItemResult>> read(String id, SubmissionRecord record, int after, long waitMillis)
			throws InterruptedException {
		ResultLog ownResults = this.runner.results(id);
		if (ownResults != null) {
			if (after < record.total()) {
				ownResults.await(after, waitMillis);
			}
			if (ownResults.size() <= after && ownResults.isOutcomeUnknown()) {
				return Either.left(new StoreFailure.Unavailable("a result page of " + id + " may have been written"));
			}
			return Either.right(limitSize(ownResults.resultsFrom(after)));
		}
		long deadlineNanos = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(waitMillis);
		while (this.resultCache.size(id) <= after && after < record.total()) {
			int before = this.resultCache.size(id);
			Either<StoreFailure, Boolean> refreshed = refresh(id, before);
			if (refreshed.isLeft()) {
				return Either.left(refreshed.getLeft());
			}
			// A response may hold only part of the listed results.
			if (this.resultCache.size(id) == before) {
				if (!refreshed.get() || System.nanoTime() >= deadlineNanos) {
					break;
				}
				TimeUnit.MILLISECONDS.sleep(POLL_INTERVAL_MILLIS);
			}
		}
		return (this.resultCache.size(id) > after) ? readKnown(id, after) : Either.right(List.of());
	}

	// Reads results that are known to be listed, again if they were dropped.
	private Either<StoreFailure, List<ItemResult>> readKnown(String id, int after) {
		List<ItemResult> results = this.resultCache.resultsFrom(id, after, MAX_RESPONSE_BYTES);
		OptionalInt start = this.resultCache.pageStart(id, after);
		while (results.isEmpty() && start.isPresent()) {
			int first = start.getAsInt();
			Either<StoreFailure, Option<ResultLog.ResultPage>> page = readPage(id, first);
			if (page.isLeft()) {
				return Either.left(page.getLeft());
			}
			if (page.get().isEmpty()) {
				break;
			}
			List<ItemResult> read = page.get().get().results();
			this.resultCache.add(id, page.get().get());
			if (first + read.size() > after) {
				results = read.subList(after - first, read.size());
			}
			else {
				// The owner had sent several pages at once.
				start = this.resultCache.pageStart(id, after);
			}
		}
		if (results.isEmpty()) {
			// The next call reads all pages.
			this.resultCache.remove(id);
			return Either.left(new StoreFailure.Unavailable("results of " + id + " are being read again"));
		}
		return Either.right(limitSize(results));
	}

	private Either<StoreFailure, Option<ResultLog.ResultPage>> readPage(String id, int first) {
		Option<List<ItemResult>> owned = readFromOwner(id, first).filter((results) -> !results.isEmpty());
		return owned.isDefined() ? Either.right(owned.map((results) -> new ResultLog.ResultPage(first, results)))
				: this.store.page(id, first).map((page) -> page.filter((found) -> found.first() == first));
	}

	/**
	 * Marks a submission as ended.
	 * @param id the submission
	 * @return the ended record, or the failure if the store did not confirm it
	 */
	public Either<StoreFailure, SubmissionRecord> end(String id) {
		Either<StoreFailure, SubmissionRecord> last = Either
			.left(new StoreFailure.Unavailable("submission " + id + " was modified concurrently on every attempt"));
		for (int attempt = 0; attempt < MAX_END_ATTEMPTS; attempt++) {
			Either<StoreFailure, Option<SubmissionStore.VersionedRecord>> read = knownOrRead(id, attempt);
			if (read.isLeft() || read.get().isEmpty()) {
				return read.flatMap(
						(unused) -> Either.left(new StoreFailure.Unavailable("submission " + id + " has no record")));
			}
			SubmissionStore.VersionedRecord found = read.get().get();
			if (found.record().ended()) {
				return Either.right(found.record());
			}
			SubmissionRecord ended = found.record().asEnded();
			Either<StoreFailure, Long> written = this.store.replace(id, ended, found.version());
			if (written.isRight()) {
				update(id, new SubmissionStore.VersionedRecord(ended, written.get()));
				return Either.right(ended);
			}
			last = Either.left(written.getLeft());
			if (written.getLeft() instanceof StoreFailure.Unavailable) {
				return last;
			}
		}
		return last;
	}

	/**
	 * Chooses the owner of a new submission. Submissions of a workspace to the same model
	 * go to the same host while it is live, so that its connections to the engines are
	 * reused.
	 * @param submission the submission
	 * @return the name of the host
	 */
	public String ownerFor(Submission submission) {
		String model = (submission.model() != null) ? submission.model() : "";
		return rankedHosts(submission.workspace(), model, this.mesh.highCapacityHosts()).get(0);
	}

	/**
	 * Reads the records of the submissions that this host runs from the store, and stops
	 * those that were ended or have another owner.
	 * @return whether all records could be read
	 */
	public boolean confirmRunning() {
		for (String id : this.runner.runningSubmissions()) {
			Either<StoreFailure, Option<SubmissionStore.VersionedRecord>> read = this.store.record(id);
			if (read.isLeft()) {
				this.log.info("submission-not-confirmed", "submission", id, "code", read.getLeft().code());
				return false;
			}
			if (read.get().isEmpty()) {
				this.runner.stop(id, "no-record");
			}
			read.get().forEach((found) -> update(id, found));
		}
		return true;
	}

	/**
	 * Takes over submissions whose owner is not responsive, if this host is their
	 * successor.
	 */
	public void takeOver() {
		Set<String> candidates = this.mesh.highCapacityHosts();
		for (Map.Entry<String, SubmissionStore.VersionedRecord> entry : new HashMap<>(this.records).entrySet()) {
			SubmissionRecord record = entry.getValue().record();
			if (record.ended() || record.owner().equals(this.host) || this.mesh.isResponsive(record.owner())) {
				continue;
			}
			if (successor(record, candidates).equals(this.host)) {
				takeOver(entry.getKey(), entry.getValue());
			}
		}
	}

	/**
	 * Returns the host that would take a submission over. Partial texts are replicated to
	 * it.
	 * @param id the submission
	 * @return the host, or nothing if there is no other host
	 */
	public Option<String> successorOf(String id) {
		SubmissionStore.VersionedRecord known = this.records.get(id);
		Set<String> others = new TreeSet<>(this.mesh.highCapacityHosts());
		others.remove(this.host);
		if (others.isEmpty()) {
			others.addAll(this.mesh.liveHosts());
			others.remove(this.host);
		}
		return (known == null || others.isEmpty()) ? Option.none() : Option.some(successor(known.record(), others));
	}

	/**
	 * Hands the submissions of this host over to other hosts, which resume from the
	 * replicated partial texts.
	 */
	public void handOver() {
		for (String id : this.runner.runningSubmissions()) {
			SubmissionStore.VersionedRecord known = this.records.get(id);
			Option<String> next = successorOf(id);
			if (known == null || next.isEmpty()) {
				continue;
			}
			SubmissionRecord handedOverRecord = known.record().withOwner(next.get());
			Either<StoreFailure, Long> written = this.store.replace(id, handedOverRecord, known.version());
			this.log.info("submission-handed-over", "submission", id, "to", next.get(), "outcome",
					written.isRight() ? "ok" : written.getLeft().code());
			written.forEach((version) -> update(id, new SubmissionStore.VersionedRecord(handedOverRecord, version)));
		}
	}

	// Returns the highest-ranked host outside the owner's failure domain, so that both
	// are rarely lost together.
	private String successor(SubmissionRecord record, Set<String> hosts) {
		List<String> ranked = rankedHosts(record.workspace(), record.model(), hosts);
		String domain = this.mesh.domainOf(record.owner());
		return ranked.stream()
			.filter((candidate) -> !candidate.equals(record.owner()) && !this.mesh.domainOf(candidate).equals(domain))
			.findFirst()
			.orElse(ranked.get(0));
	}

	private static List<String> rankedHosts(String workspace, String model, Set<String> hosts) {
		return RendezvousHash.ranked(workspace + "/" + model, hosts.stream().map(HostId::of).toList())
			.stream()
			.map(HostId::value)
			.toList();
	}

	/**
	 * Handles a peer's request for results.
	 * @param message the request
	 * @return the response
	 */
	public PeerMessage handleResultsRequest(PeerMessage.ResultsRequest message) {
		ResultLog ownResults = this.runner.results(message.submission());
		if (ownResults == null || (ownResults.size() <= message.after() && ownResults.isOutcomeUnknown())) {
			return new PeerMessage.ResultsResponse(false, new byte[0]);
		}
		List<ItemResult> results = ownResults.wholePages(message.after(), message.maxBytes());
		return new PeerMessage.ResultsResponse(true, CoreJson.bytes(results));
	}

	private Either<StoreFailure, Boolean> confirmOwnership(String id) {
		Either<StoreFailure, Option<SubmissionStore.VersionedRecord>> read = this.store.record(id);
		read.forEach((found) -> found.forEach((record) -> this.records.merge(id, record,
				(known, next) -> (next.version() >= known.version()) ? next : known)));
		return read.map((found) -> found.isDefined() && isOwnedByThisHost(id));
	}

	// A submission that was just accepted has no record here yet.
	private boolean isOwnedByThisHost(String id) {
		SubmissionStore.VersionedRecord known = this.records.get(id);
		return known == null || (!known.record().ended() && known.record().owner().equals(this.host));
	}

	private Either<StoreFailure, Option<SubmissionStore.VersionedRecord>> knownOrRead(String id, int attempt) {
		SubmissionStore.VersionedRecord known = this.records.get(id);
		return (attempt == 0 && known != null) ? Either.right(Option.some(known)) : this.store.record(id);
	}

	private void takeOver(String id, SubmissionStore.VersionedRecord found) {
		SubmissionRecord taken = found.record().withOwner(this.host);
		Either<StoreFailure, Long> written = this.store.replace(id, taken, found.version());
		this.log.info("submission-taken-over", "submission", id, "from", found.record().owner(), "version",
				found.version(), "outcome", written.isRight() ? "ok" : written.getLeft().code());
		if (written.isRight()) {
			update(id, new SubmissionStore.VersionedRecord(taken, written.get()));
		}
		else {
			this.store.record(id).forEach((read) -> read.forEach((record) -> update(id, record)));
		}
	}

	// Reads the results after the known ones. Returns whether more may follow.
	private Either<StoreFailure, Boolean> refresh(String id, int known) {
		Option<List<ItemResult>> owned = readFromOwner(id, known);
		if (owned.isDefined()) {
			if (!owned.get().isEmpty()) {
				this.resultCache.add(id, new ResultLog.ResultPage(known, owned.get()));
			}
			return Either.right(true);
		}
		return this.store.readPages(id, () -> this.resultCache.size(id), (page) -> this.resultCache.add(id, page))
			.map((added) -> false);
	}

	// Returns whole pages from a position on; nothing if the submission has ended or its
	// owner does not respond.
	private Option<List<ItemResult>> readFromOwner(String id, int first) {
		SubmissionStore.VersionedRecord known = this.records.get(id);
		if (known == null || known.record().ended()) {
			return Option.none();
		}
		Either<PeerFailure, PeerMessage> response = this.mesh.call(known.record().owner(),
				new PeerMessage.ResultsRequest(id, first, MAX_RESPONSE_BYTES), PEER_TIMEOUT_MILLIS);
		if (response.isLeft() || !(response.get() instanceof PeerMessage.ResultsResponse results) || !results.known()) {
			return Option.none();
		}
		return Option.some(CoreJson.read(results.body(), ItemResult[].class).map(List::of).getOrElse(List.of()));
	}

	private static List<ItemResult> limitSize(List<ItemResult> results) {
		List<ItemResult> taken = new ArrayList<>();
		long size = 0;
		for (ItemResult result : results) {
			size += result.storedBytes();
			if (!taken.isEmpty() && size > MAX_RESPONSE_BYTES) {
				break;
			}
			taken.add(result);
		}
		return taken;
	}

}
