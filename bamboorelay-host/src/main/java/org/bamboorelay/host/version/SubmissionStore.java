package org.bamboorelay.host.version;

import java.util.List;
import java.util.Objects;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.TimeUnit;
import java.util.function.IntSupplier;
import java.util.function.Predicate;
import java.util.function.Supplier;

import io.vavr.control.Either;
import io.vavr.control.Option;
import org.bamboorelay.core.process.Backoff;
import org.bamboorelay.core.request.ResultLog;
import org.bamboorelay.core.request.Submission;
import org.bamboorelay.core.request.TextPart;
import org.bamboorelay.core.store.StoreFailure;
import org.bamboorelay.core.store.StoredObject;
import org.bamboorelay.core.store.WatchableStore;
import org.bamboorelay.core.version.CoreJson;

/**
 * Submissions and their results in the platform's store: for each submission one object
 * with the items, one small record, and one page of results for each batch of finished
 * items.
 * <p>
 * Thread-safe.
 */
public final class SubmissionStore {

	/** The kind of the records. */
	public static final String RECORDS_KIND = "submissions";

	/** The kind of the objects with the items. */
	public static final String BODIES_KIND = "submission-bodies";

	/** The kind of the objects with the partial texts of submissions. */
	public static final String TEXTS_KIND = "submission-texts";

	/** Prefix of the kind that holds the results of one submission. */
	public static final String RESULTS_KIND_PREFIX = "submission-results-";

	/** Number of digits in the name of a page, so that names sort by position. */
	private static final int PAGE_NAME_DIGITS = 8;

	private static final long BACKOFF_BASE_MILLIS = 40;

	private static final long BACKOFF_MAX_MILLIS = 300;

	private final WatchableStore store;

	private SubmissionStore(WatchableStore store) {
		this.store = Objects.requireNonNull(store, "store");
	}

	/**
	 * Creates a submission store.
	 * @param store the platform's store
	 * @return the submission store
	 */
	public static SubmissionStore of(WatchableStore store) {
		return new SubmissionStore(store);
	}

	/**
	 * Stores a submission. If the response to a write is lost, the write is repeated
	 * until its outcome is known or the deadline has passed.
	 * @param submission the submission
	 * @param record its record
	 * @param deadlineMillis the deadline, in milliseconds of {@link System#nanoTime()}
	 * @return the stored record, which is that of another host if that host accepted the
	 * submission before; {@link StoreFailure.OutcomeUnknown} if the record may still come
	 * into existence
	 */
	public Either<StoreFailure, SubmissionRecord> accept(Submission submission, SubmissionRecord record,
			long deadlineMillis) {
		byte[] items = CoreJson.bytes(submission);
		if (items.length > WatchableStore.MAX_VALUE_BYTES) {
			return Either.left(new StoreFailure.ValueTooLarge(BODIES_KIND + "/" + submission.id(), items.length));
		}
		Either<StoreFailure, Long> itemsWritten = createWithRetry(BODIES_KIND + "/" + submission.id(), items,
				deadlineMillis);
		if (itemsWritten.isLeft() && !(itemsWritten.getLeft() instanceof StoreFailure.ConditionFailed)) {
			// Items without a record are never run.
			return Either.left(new StoreFailure.Unavailable(itemsWritten.getLeft().detail()));
		}
		String key = RECORDS_KIND + "/" + submission.id();
		Either<StoreFailure, Long> accepted = createWithRetry(key, CoreJson.bytes(record), deadlineMillis);
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
	 * @return the record, or nothing if there is no such submission
	 */
	public Either<StoreFailure, Option<VersionedRecord>> record(String id) {
		return this.store.read(RECORDS_KIND + "/" + id).map((object) -> object.flatMap(SubmissionStore::decode));
	}

	/**
	 * Decodes a record.
	 * @param object the object that contains the record
	 * @return the record, or nothing if it cannot be decoded
	 */
	public static Option<VersionedRecord> decode(StoredObject object) {
		return CoreJson.read(object.body(), SubmissionRecord.class)
			.map((record) -> new VersionedRecord(record, object.version()));
	}

	/**
	 * Replaces a record.
	 * @param id the submission
	 * @param record the new record
	 * @param version the version of the record to replace
	 * @return the new version
	 */
	public Either<StoreFailure, Long> replace(String id, SubmissionRecord record, long version) {
		return this.store.replace(RECORDS_KIND + "/" + id, CoreJson.bytes(record), version);
	}

	/**
	 * Reads a submission with its items.
	 * @param id the submission
	 * @return the submission, or nothing if it does not exist or cannot be decoded
	 */
	public Either<StoreFailure, Option<Submission>> submission(String id) {
		return this.store.read(BODIES_KIND + "/" + id)
			.map((object) -> object.flatMap((found) -> CoreJson.read(found.body(), Submission.class)));
	}

	/**
	 * Reads the pages of results that follow the known ones.
	 * @param id the submission
	 * @param log the results known so far, to which the pages are added
	 * @return the number of added pages
	 */
	public Either<StoreFailure, Integer> readPages(String id, ResultLog log) {
		return readPages(id, log::size, log::add);
	}

	/**
	 * Reads the pages of results that follow the known ones.
	 * @param id the submission
	 * @param size returns the number of known results, which pages that are added raise
	 * @param log adds a page to the known results and returns whether any was added
	 * @return the number of added pages
	 */
	public Either<StoreFailure, Integer> readPages(String id, IntSupplier size, Predicate<ResultLog.ResultPage> log) {
		int added = 0;
		while (true) {
			int before = size.getAsInt();
			String after = (before == 0) ? "" : pageName(before - 1);
			Either<StoreFailure, WatchableStore.Page> page = this.store.listPage(RESULTS_KIND_PREFIX + id, after);
			if (page.isLeft()) {
				return Either.left(page.getLeft());
			}
			for (StoredObject object : page.get().objects()) {
				Option<ResultLog.ResultPage> read = CoreJson.read(object.body(), ResultLog.ResultPage.class);
				if (read.isDefined() && log.test(read.get())) {
					added++;
				}
			}
			if (!page.get().more() || size.getAsInt() == before) {
				return Either.right(added);
			}
		}
	}

	/**
	 * Reads one page of results.
	 * @param id the submission
	 * @param first the position of its first result
	 * @return the page, or nothing if no readable page begins there
	 */
	public Either<StoreFailure, Option<ResultLog.ResultPage>> page(String id, int first) {
		return this.store.read(RESULTS_KIND_PREFIX + id + "/" + pageName(first))
			.map((object) -> object.flatMap((found) -> CoreJson.read(found.body(), ResultLog.ResultPage.class)));
	}

	/**
	 * Writes a page of results at its position.
	 * @param id the submission
	 * @param page the page
	 * @return the version; {@link StoreFailure.ConditionFailed} if the position is taken,
	 * possibly by an earlier attempt to write the same page
	 */
	public Either<StoreFailure, Long> writePage(String id, ResultLog.ResultPage page) {
		return this.store.create(RESULTS_KIND_PREFIX + id + "/" + pageName(page.first()), CoreJson.bytes(page));
	}

	/**
	 * Writes the partial texts of a submission.
	 * @param id the submission
	 * @param texts the texts
	 * @param version the version of the object that holds earlier texts; 0 if there is
	 * none
	 * @return the new version; {@link StoreFailure.ConditionFailed} if another host wrote
	 * texts in the meantime
	 */
	public Either<StoreFailure, Long> writeTexts(String id, List<TextPart> texts, long version) {
		String key = TEXTS_KIND + "/" + id;
		byte[] body = CoreJson.bytes(texts);
		return (version == 0) ? this.store.create(key, body) : this.store.replace(key, body, version);
	}

	/**
	 * Reads the partial texts of a submission.
	 * @param id the submission
	 * @return the texts with their version; version 0 if none are stored
	 */
	public Either<StoreFailure, VersionedTexts> texts(String id) {
		return this.store.read(TEXTS_KIND + "/" + id)
			.map((object) -> object
				.map((found) -> new VersionedTexts(
						CoreJson.read(found.body(), TextPart[].class).map(List::of).getOrElse(List.of()),
						found.version()))
				.getOrElse(VersionedTexts.NONE));
	}

	private Either<StoreFailure, Long> createWithRetry(String key, byte[] body, long deadlineMillis) {
		boolean uncertain = false;
		Backoff backoff = Backoff.of(BACKOFF_BASE_MILLIS, BACKOFF_MAX_MILLIS,
				() -> ThreadLocalRandom.current().nextDouble());
		Supplier<Long> clock = () -> TimeUnit.NANOSECONDS.toMillis(System.nanoTime());
		while (true) {
			Either<StoreFailure, Long> result = this.store.create(key, body);
			if (result.isRight() || result.getLeft() instanceof StoreFailure.ConditionFailed
					|| result.getLeft() instanceof StoreFailure.ValueTooLarge) {
				return result;
			}
			uncertain |= result.getLeft() instanceof StoreFailure.OutcomeUnknown;
			long delayMillis = backoff.nextDelayMillis();
			if (clock.get() + delayMillis >= deadlineMillis) {
				return uncertain ? Either.left(new StoreFailure.OutcomeUnknown(result.getLeft().detail())) : result;
			}
			try {
				TimeUnit.MILLISECONDS.sleep(delayMillis);
			}
			catch (InterruptedException ex) {
				Thread.currentThread().interrupt();
				return Either.left(new StoreFailure.OutcomeUnknown("interrupted while writing " + key));
			}
		}
	}

	private static String pageName(int position) {
		String digits = Integer.toString(position);
		return "0".repeat(Math.max(0, PAGE_NAME_DIGITS - digits.length())) + digits;
	}

	/**
	 * A record with the version at which it was read.
	 *
	 * @param record the record
	 * @param version the version
	 */
	public record VersionedRecord(SubmissionRecord record, long version) {
	}

	/**
	 * Partial texts with the version at which they were read.
	 *
	 * @param texts the texts, each from its first event
	 * @param version the version; 0 if no texts are stored
	 */
	public record VersionedTexts(List<TextPart> texts, long version) {

		/** No stored texts. */
		public static final VersionedTexts NONE = new VersionedTexts(List.of(), 0);

		public VersionedTexts {
			texts = List.copyOf(texts);
		}

	}

}
