package org.bamboorelay.core.store;

import java.util.ArrayList;
import java.util.List;
import java.util.TreeMap;
import java.util.function.Consumer;
import java.util.function.Supplier;

import io.vavr.control.Either;
import io.vavr.control.Option;
import org.bamboorelay.core.time.ManualClock;

/**
 * Object API in memory that can be down, slow, lose answers after the write took effect,
 * and let a write take effect after its answer was given up.
 */
public final class FakeObjectStore implements ObjectStore {

	private final ManualClock clock;

	private final TreeMap<String, StoredObject> objects = new TreeMap<>();

	private final List<Runnable> late = new ArrayList<>();

	private long revision;

	private int calls;

	private boolean down;

	private long slowMillis;

	private Supplier<Fault> faults = () -> Fault.NONE;

	private Consumer<String> beforeWrite = (key) -> {
	};

	private Consumer<StoredObject> onWritten = (object) -> {
	};

	private CallListener onCall = (call, key, body, result) -> {
	};

	public FakeObjectStore(ManualClock clock) {
		this.clock = clock;
	}

	public void down(boolean isDown) {
		this.down = isDown;
	}

	public boolean isDown() {
		return this.down;
	}

	/** Makes each call take this long before and after it takes effect. */
	public void slow(long millis) {
		this.slowMillis = millis;
	}

	/** Draws the fault of each write. */
	public void faults(Supplier<Fault> next) {
		this.faults = next;
	}

	public void beforeWrite(Consumer<String> hook) {
		this.beforeWrite = hook;
	}

	public void onWritten(Consumer<StoredObject> hook) {
		this.onWritten = hook;
	}

	/** Tells of each call that reached the store, with its answer. */
	public void onCall(CallListener listener) {
		this.onCall = listener;
	}

	/** Lets the writes take effect whose answers were given up. */
	public void deliverLate() {
		List<Runnable> due = new ArrayList<>(this.late);
		this.late.clear();
		due.forEach(Runnable::run);
	}

	public int calls() {
		return this.calls;
	}

	public Option<StoredObject> peek(String key) {
		return Option.of(this.objects.get(key));
	}

	public void put(String key, byte[] body) {
		this.objects.put(key, new StoredObject(key, ++this.revision, body));
	}

	@Override
	public Either<StoreFailure, Option<StoredObject>> read(String key) {
		Either<StoreFailure, Option<StoredObject>> result = call(() -> Either.right(peek(key)));
		this.onCall.called("read", key, new byte[0], result.map((found) -> found.map(StoredObject::version)));
		return result;
	}

	@Override
	public Either<StoreFailure, Long> create(String key, byte[] body) {
		Either<StoreFailure, Long> result = write(key, body, 0);
		this.onCall.called("create", key, body, result);
		return result;
	}

	@Override
	public Either<StoreFailure, Long> replace(String key, byte[] body, long expectedVersion) {
		Either<StoreFailure, Long> result = write(key, body, expectedVersion);
		this.onCall.called("replace", key, body, result);
		return result;
	}

	@Override
	public Either<StoreFailure, Long> delete(String key, long expectedVersion) {
		throw new UnsupportedOperationException("delete is not used: " + key);
	}

	@Override
	public Either<StoreFailure, List<Entry>> list(String prefix) {
		return call(() -> Either.right(this.objects.values()
			.stream()
			.filter((object) -> object.key().startsWith(prefix))
			.map((object) -> new Entry(object.key(), object.version()))
			.toList()));
	}

	private Either<StoreFailure, Long> write(String key, byte[] body, long expectedVersion) {
		this.beforeWrite.accept(key);
		Fault fault = this.faults.get();
		if (fault == Fault.LATE) {
			this.late.add(() -> apply(key, body, expectedVersion));
			return Either.left(new StoreFailure.OutcomeUnknown("no answer"));
		}
		return call(() -> {
			Either<StoreFailure, Long> result = apply(key, body, expectedVersion);
			return (fault != Fault.ANSWER_LOST) ? result : Either.left(new StoreFailure.OutcomeUnknown("answer lost"));
		});
	}

	private Either<StoreFailure, Long> apply(String key, byte[] body, long expectedVersion) {
		long present = peek(key).map(StoredObject::version).getOrElse(0L);
		if (present != expectedVersion) {
			return Either.left(new StoreFailure.ConditionFailed(key));
		}
		put(key, body);
		this.onWritten.accept(this.objects.get(key));
		return Either.right(this.revision);
	}

	private <T> Either<StoreFailure, T> call(Supplier<Either<StoreFailure, T>> action) {
		this.calls++;
		this.clock.advance(this.slowMillis);
		if (this.down) {
			return Either.left(new StoreFailure.Unavailable("down"));
		}
		Either<StoreFailure, T> result = action.get();
		this.clock.advance(this.slowMillis);
		return result;
	}

	/** Hears of calls. */
	@FunctionalInterface
	public interface CallListener {

		/** Takes a call with the answer that its caller gets. */
		void called(String call, String key, byte[] body, Either<StoreFailure, ?> result);

	}

	/** What happens to a write. */
	public enum Fault {

		/** It is answered. */
		NONE,

		/** It takes effect and its answer is lost. */
		ANSWER_LOST,

		/** Its answer is given up, and it takes effect later. */
		LATE

	}

}
