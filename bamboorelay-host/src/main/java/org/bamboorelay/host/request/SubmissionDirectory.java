package org.bamboorelay.host.request;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Set;
import java.util.TreeSet;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;

import io.vavr.control.Either;
import io.vavr.control.Option;
import org.bamboorelay.core.connection.PeerMessage;
import org.bamboorelay.core.process.RendezvousHash;
import org.bamboorelay.core.request.ItemResult;
import org.bamboorelay.core.request.ResultLog;
import org.bamboorelay.core.request.Submission;
import org.bamboorelay.core.store.StoreFailure;
import org.bamboorelay.core.store.StoredObject;
import org.bamboorelay.core.version.CoreJson;
import org.bamboorelay.core.version.HostId;
import org.bamboorelay.host.connection.HostMesh;
import org.bamboorelay.host.process.EventLog;
import org.bamboorelay.host.version.KindWatch;
import org.bamboorelay.host.version.SubmissionRecord;
import org.bamboorelay.host.version.SubmissionStore;
import org.bamboorelay.runtime.connection.PeerFailure;

/**
 * All submissions of the deployment as this host knows them: who runs each one, and where
 * its results are read. A submission whose host is gone is taken over by one of the
 * others. Two hosts that run the same submission do no harm, as results get their
 * positions under a condition.
 * <p>
 * Thread-safe.
 */
public final class SubmissionDirectory implements KindWatch.Listener {

	/** Pause between two questions to the host that runs a submission. */
	private static final long POLL_MILLIS = 60;

	/** The longest wait for that host, in milliseconds. */
	private static final long PEER_MILLIS = 300;

	/** Text in one answer to a caller, in characters. */
	private static final int ANSWER_CHARACTERS = 700_000;

	/** Tries to mark a submission as ended before the caller is asked to come back. */
	private static final int END_TRIES = 6;

	private final String host;

	private final SubmissionStore store;

	private final SubmissionRunner runner;

	private final HostMesh mesh;

	private final EventLog log;

	private final Map<String, SubmissionStore.VersionedRecord> records = new ConcurrentHashMap<>();

	private final Map<String, ResultLog> copies = new ConcurrentHashMap<>();

	/**
	 * Creates an empty directory.
	 * @param host this host
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
		runner.wanted(this::isOwn);
		runner.successors(this::successorOf);
		runner.confirmation(this::confirm);
	}

	@Override
	public void changed(String name, StoredObject object) {
		Option<SubmissionStore.VersionedRecord> read = SubmissionStore.decode(object);
		if (read.isEmpty()) {
			this.log.warn("submission-record-unreadable", "submission", name);
			return;
		}
		learn(name, read.get());
	}

	@Override
	public void removed(String name) {
		this.records.remove(name);
		this.copies.remove(name);
		this.runner.stop(name, "removed");
	}

	/**
	 * Notes a record that this host wrote or read.
	 * @param id the submission
	 * @param found the record
	 */
	public void learn(String id, SubmissionStore.VersionedRecord found) {
		SubmissionStore.VersionedRecord present = this.records.merge(id, found,
				(known, next) -> (next.version() >= known.version()) ? next : known);
		SubmissionRecord record = present.record();
		if (record.ended()) {
			this.runner.forget(id);
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
	 * Finds a submission.
	 * @param id the submission
	 * @return its record, or nothing where there is no such submission
	 */
	public Either<StoreFailure, Option<SubmissionRecord>> find(String id) {
		SubmissionStore.VersionedRecord known = this.records.get(id);
		if (known != null) {
			return Either.right(Option.some(known.record()));
		}
		Either<StoreFailure, Option<SubmissionStore.VersionedRecord>> read = this.store.record(id);
		read.forEach((found) -> found.forEach((record) -> learn(id, record)));
		return read.map((found) -> found.map(SubmissionStore.VersionedRecord::record));
	}

	/**
	 * Reads listed results.
	 * @param id the submission
	 * @param record its record
	 * @param after the position to begin at
	 * @param waitMillis how long to wait for a result, in milliseconds
	 * @return the results, none where none came; a failure where neither the host that
	 * runs the submission nor the store could say
	 * @throws InterruptedException where the waiting thread is interrupted
	 */
	public Either<StoreFailure, List<ItemResult>> read(String id, SubmissionRecord record, int after, long waitMillis)
			throws InterruptedException {
		ResultLog own = this.runner.results(id);
		if (own != null) {
			if (after < record.total()) {
				own.await(after, waitMillis);
			}
			if (own.size() <= after && own.isUncertain()) {
				return Either.left(new StoreFailure.Unavailable("a page of " + id + " may be listed"));
			}
			return Either.right(limited(own.from(after)));
		}
		ResultLog copy = this.copies.computeIfAbsent(id, (unused) -> new ResultLog());
		if (copy.size() > after || after >= record.total()) {
			return Either.right(limited(copy.from(after)));
		}
		long end = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(waitMillis);
		while (copy.size() <= after) {
			int before = copy.size();
			Either<StoreFailure, Boolean> refreshed = refresh(id, copy);
			if (refreshed.isLeft()) {
				return Either.left(refreshed.getLeft());
			}
			// One answer may hold only a part of what is listed.
			if (copy.size() == before) {
				if (!refreshed.get() || System.nanoTime() >= end) {
					break;
				}
				TimeUnit.MILLISECONDS.sleep(POLL_MILLIS);
			}
		}
		return Either.right(limited(copy.from(after)));
	}

	/**
	 * Marks a submission as ended.
	 * @param id the submission
	 * @return the failure where the store did not confirm it
	 */
	public Either<StoreFailure, SubmissionRecord> end(String id) {
		Either<StoreFailure, SubmissionRecord> last = Either
			.left(new StoreFailure.Unavailable("submission " + id + " changed too often"));
		for (int attempt = 0; attempt < END_TRIES; attempt++) {
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
				learn(id, new SubmissionStore.VersionedRecord(ended, written.get()));
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
	 * Chooses the host that runs a new submission. Submissions to one model go to one
	 * host while it lives, which then keeps its connections to the engines.
	 * @param submission the submission
	 * @return the host
	 */
	public String ownerFor(Submission submission) {
		String model = (submission.model() != null) ? submission.model() : "";
		return ranked(submission.workspace(), model, this.mesh.strongHosts()).get(0);
	}

	/**
	 * Reads the records of the submissions that this host runs, and stops those that were
	 * ended or are another host's.
	 * @return whether all of them could be read
	 */
	public boolean confirmRunning() {
		for (String id : this.runner.running()) {
			Either<StoreFailure, Option<SubmissionStore.VersionedRecord>> read = this.store.record(id);
			if (read.isLeft()) {
				this.log.info("submission-not-confirmed", "submission", id, "code", read.getLeft().code());
				return false;
			}
			if (read.get().isEmpty()) {
				this.runner.stop(id, "no-record");
			}
			read.get().forEach((found) -> learn(id, found));
		}
		return true;
	}

	/**
	 * Takes over the submissions whose host is gone.
	 */
	public void takeOver() {
		Set<String> live = this.mesh.strongHosts();
		for (Map.Entry<String, SubmissionStore.VersionedRecord> entry : new HashMap<>(this.records).entrySet()) {
			SubmissionRecord record = entry.getValue().record();
			if (record.ended() || record.owner().equals(this.host) || this.mesh.isLive(record.owner())) {
				continue;
			}
			if (successor(record, live).equals(this.host)) {
				takeOver(entry.getKey(), entry.getValue());
			}
		}
	}

	/**
	 * Returns the host that would go on with a submission. It gets copies of the texts.
	 * @param id the submission
	 * @return the host, or nothing where there is no other one
	 */
	public Option<String> successorOf(String id) {
		SubmissionStore.VersionedRecord known = this.records.get(id);
		Set<String> others = new TreeSet<>(this.mesh.strongHosts());
		others.remove(this.host);
		if (others.isEmpty()) {
			others.addAll(this.mesh.liveHosts());
			others.remove(this.host);
		}
		return (known == null || others.isEmpty()) ? Option.none() : Option.some(successor(known.record(), others));
	}

	/**
	 * Hands the submissions of this host over to others, which go on with the texts as
	 * far as they are.
	 */
	public void handOver() {
		for (String id : this.runner.running()) {
			SubmissionStore.VersionedRecord known = this.records.get(id);
			Option<String> next = successorOf(id);
			if (known == null || next.isEmpty()) {
				continue;
			}
			SubmissionRecord given = known.record().withOwner(next.get());
			Either<StoreFailure, Long> written = this.store.replace(id, given, known.version());
			this.log.info("submission-handed-over", "submission", id, "to", next.get(), "outcome",
					written.isRight() ? "ok" : written.getLeft().code());
			written.forEach((version) -> learn(id, new SubmissionStore.VersionedRecord(given, version)));
		}
	}

	// The first host by rank in another domain than the owner's, so that both are seldom
	// lost together.
	private String successor(SubmissionRecord record, Set<String> hosts) {
		List<String> ranked = ranked(record.workspace(), record.model(), hosts);
		String domain = this.mesh.domainOf(record.owner());
		return ranked.stream()
			.filter((candidate) -> !candidate.equals(record.owner()) && !this.mesh.domainOf(candidate).equals(domain))
			.findFirst()
			.orElse(ranked.get(0));
	}

	private static List<String> ranked(String workspace, String model, Set<String> hosts) {
		return RendezvousHash.ranked(workspace + "/" + model, hosts.stream().map(HostId::of).toList())
			.stream()
			.map(HostId::value)
			.toList();
	}

	/**
	 * Answers a host that asks for results.
	 * @param message the question
	 * @return the answer
	 */
	public PeerMessage answer(PeerMessage.ResultsRead message) {
		ResultLog own = this.runner.results(message.submission());
		if (own == null || (own.size() <= message.after() && own.isUncertain())) {
			return new PeerMessage.ResultsAnswer(false, new byte[0]);
		}
		List<ItemResult> results = own.wholePages(message.after(), message.maxCharacters());
		return new PeerMessage.ResultsAnswer(true, CoreJson.bytes(results));
	}

	private Either<StoreFailure, Boolean> confirm(String id) {
		Either<StoreFailure, Option<SubmissionStore.VersionedRecord>> read = this.store.record(id);
		read.forEach((found) -> found.forEach((record) -> this.records.merge(id, record,
				(known, next) -> (next.version() >= known.version()) ? next : known)));
		return read.map((found) -> found.isDefined() && isOwn(id));
	}

	// A submission that was accepted just now has no record here yet.
	private boolean isOwn(String id) {
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
			learn(id, new SubmissionStore.VersionedRecord(taken, written.get()));
		}
		else {
			this.store.record(id).forEach((read) -> read.forEach((record) -> learn(id, record)));
		}
	}

	// Returns whether more results may come.
	private Either<StoreFailure, Boolean> refresh(String id, ResultLog copy) {
		SubmissionStore.VersionedRecord known = this.records.get(id);
		if (known != null && !known.record().ended()) {
			int first = copy.size();
			Either<PeerFailure, PeerMessage> answer = this.mesh.call(known.record().owner(),
					new PeerMessage.ResultsRead(id, first, ANSWER_CHARACTERS), PEER_MILLIS);
			if (answer.isRight() && answer.get() instanceof PeerMessage.ResultsAnswer results && results.known()) {
				CoreJson.read(results.body(), ItemResult[].class).forEach((read) -> {
					if (read.length > 0) {
						copy.add(new ResultLog.ResultPage(first, List.of(read)));
					}
				});
				return Either.right(true);
			}
		}
		return this.store.readPages(id, copy).map((added) -> false);
	}

	private static List<ItemResult> limited(List<ItemResult> results) {
		List<ItemResult> taken = new ArrayList<>();
		long size = 0;
		for (ItemResult result : results) {
			size += result.output().length();
			if (!taken.isEmpty() && size > ANSWER_CHARACTERS) {
				break;
			}
			taken.add(result);
		}
		return taken;
	}

}
