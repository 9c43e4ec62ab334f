package org.bamboorelay.host.version;

import java.util.Objects;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.TimeUnit;
import java.util.function.Supplier;

import io.vavr.control.Either;
import io.vavr.control.Option;
import org.bamboorelay.core.process.Backoff;
import org.bamboorelay.core.request.ResultLog;
import org.bamboorelay.core.request.Submission;
import org.bamboorelay.core.store.StoreFailure;
import org.bamboorelay.core.store.StoredObject;
import org.bamboorelay.core.store.WatchedStore;
import org.bamboorelay.core.version.CoreJson;

/**
 * Submissions and their results in the platform's store: one object with the items, one
 * small record, and a page of results for each batch of finished items.
 * <p>
 * Thread-safe.
 */
public final class SubmissionStore {

	/** The kind of the small records. */
	public static final String RECORDS = "submissions";

	/** The kind of the items. */
	public static final String BODIES = "submission-bodies";

	/** Prefix of the kind that holds the results of one submission. */
	public static final String RESULTS = "submission-results-";

	/** Digits of a page's name, so that names sort by position. */
	private static final int NAME_DIGITS = 8;

	private static final long BACKOFF_BASE_MILLIS = 40;

	private static final long BACKOFF_CAP_MILLIS = 300;

	private final WatchedStore store;

	private SubmissionStore(WatchedStore store) {
		this.store = Objects.requireNonNull(store, "store");
	}

	/**
	 * Creates the access to submissions.
	 * @param store the platform's store
	 * @return the access
	 */
	public static SubmissionStore of(WatchedStore store) {
		return new SubmissionStore(store);
	}

	/**
	 * Keeps a submission. Where the answer of a write is lost, the write is repeated
	 * until its outcome is known or the time is up.
	 * @param submission the submission
	 * @param record its record
	 * @param endMillis when to give up, by {@link System#nanoTime()} in milliseconds
	 * @return the record that the store holds, which is another host's where that one
	 * accepted the submission before; {@link StoreFailure.OutcomeUnknown} where the
	 * record may still come to exist
	 */
	public Either<StoreFailure, SubmissionRecord> accept(Submission submission, SubmissionRecord record,
			long endMillis) {
		byte[] items = CoreJson.bytes(submission);
		if (items.length > WatchedStore.MAX_VALUE_BYTES) {
			return Either.left(new StoreFailure.TooLarge(BODIES + "/" + submission.id(), items.length));
		}
		Either<StoreFailure, Long> kept = createOnce(BODIES + "/" + submission.id(), items, endMillis);
		if (kept.isLeft() && !(kept.getLeft() instanceof StoreFailure.ConditionFailed)) {
			// Without the record, the items alone are never run.
			return Either.left(new StoreFailure.Unavailable(kept.getLeft().detail()));
		}
		String key = RECORDS + "/" + submission.id();
		Either<StoreFailure, Long> accepted = createOnce(key, CoreJson.bytes(record), endMillis);
		if (accepted.isRight()) {
			return Either.right(record);
		}
		if (!(accepted.getLeft() instanceof StoreFailure.ConditionFailed)) {
			return Either.left(accepted.getLeft());
		}
		return record(submission.id()).flatMap((found) -> found.map(VersionedRecord::record)
			.toEither(new StoreFailure.OutcomeUnknown("record of " + submission.id() + " cannot be read")));
	}

	/**
	 * Reads the record of a submission.
	 * @param id the submission
	 * @return the record, or nothing where there is no such submission
	 */
	public Either<StoreFailure, Option<VersionedRecord>> record(String id) {
		return this.store.read(RECORDS + "/" + id).map((object) -> object.flatMap(SubmissionStore::decode));
	}

	/**
	 * Reads a record.
	 * @param object the object that holds it
	 * @return the record, or nothing where it cannot be read
	 */
	public static Option<VersionedRecord> decode(StoredObject object) {
		return CoreJson.read(object.body(), SubmissionRecord.class)
			.map((record) -> new VersionedRecord(record, object.version()));
	}

	/**
	 * Replaces a record.
	 * @param id the submission
	 * @param record the new record
	 * @param version the version that it replaces
	 * @return the new version
	 */
	public Either<StoreFailure, Long> replace(String id, SubmissionRecord record, long version) {
		return this.store.replace(RECORDS + "/" + id, CoreJson.bytes(record), version);
	}

	/**
	 * Reads a submission with its items.
	 * @param id the submission
	 * @return the submission, or nothing where it cannot be found or read
	 */
	public Either<StoreFailure, Option<Submission>> submission(String id) {
		return this.store.read(BODIES + "/" + id)
			.map((object) -> object.flatMap((found) -> CoreJson.read(found.body(), Submission.class)));
	}

	/**
	 * Reads the pages of results from a position on.
	 * @param id the submission
	 * @param log the results known so far, to which the pages are added
	 * @return the number of pages that were added
	 */
	public Either<StoreFailure, Integer> readPages(String id, ResultLog log) {
		int added = 0;
		while (true) {
			String after = (log.size() == 0) ? "" : name(log.size() - 1);
			Either<StoreFailure, WatchedStore.Page> page = this.store.page(RESULTS + id, after);
			if (page.isLeft()) {
				return Either.left(page.getLeft());
			}
			int before = log.size();
			for (StoredObject object : page.get().objects()) {
				Option<ResultLog.ResultPage> read = CoreJson.read(object.body(), ResultLog.ResultPage.class);
				if (read.isDefined() && log.add(read.get())) {
					added++;
				}
			}
			if (!page.get().more() || log.size() == before) {
				return Either.right(added);
			}
		}
	}

	/**
	 * Writes a page of results at its position.
	 * @param id the submission
	 * @param page the page
	 * @return the version; {@link StoreFailure.ConditionFailed} where the position is
	 * taken, be it by an earlier try of the same page
	 */
	public Either<StoreFailure, Long> writePage(String id, ResultLog.ResultPage page) {
		return this.store.create(RESULTS + id + "/" + name(page.first()), CoreJson.bytes(page));
	}

	private Either<StoreFailure, Long> createOnce(String key, byte[] body, long endMillis) {
		boolean uncertain = false;
		Backoff backoff = Backoff.of(BACKOFF_BASE_MILLIS, BACKOFF_CAP_MILLIS,
				() -> ThreadLocalRandom.current().nextDouble());
		Supplier<Long> clock = () -> TimeUnit.NANOSECONDS.toMillis(System.nanoTime());
		while (true) {
			Either<StoreFailure, Long> result = this.store.create(key, body);
			if (result.isRight() || result.getLeft() instanceof StoreFailure.ConditionFailed
					|| result.getLeft() instanceof StoreFailure.TooLarge) {
				return result;
			}
			uncertain |= result.getLeft() instanceof StoreFailure.OutcomeUnknown;
			long wait = backoff.failed();
			if (clock.get() + wait >= endMillis) {
				return uncertain ? Either.left(new StoreFailure.OutcomeUnknown(result.getLeft().detail())) : result;
			}
			try {
				TimeUnit.MILLISECONDS.sleep(wait);
			}
			catch (InterruptedException ex) {
				Thread.currentThread().interrupt();
				return Either.left(new StoreFailure.OutcomeUnknown("interrupted while writing " + key));
			}
		}
	}

	private static String name(int position) {
		String digits = Integer.toString(position);
		return "0".repeat(Math.max(0, NAME_DIGITS - digits.length())) + digits;
	}

	/**
	 * A record with the version that it was read at.
	 *
	 * @param record the record
	 * @param version the version
	 */
	public record VersionedRecord(SubmissionRecord record, long version) {
	}

}
