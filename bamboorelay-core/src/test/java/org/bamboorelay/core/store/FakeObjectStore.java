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
 * In-memory object API with fault injection: it can be unavailable or slow, lose the
 * response to a write that took effect, and apply a write after its response timed out.
 */
public final class FakeObjectStore implements ObjectStore {

	private final ManualClock clock;

	private final TreeMap<String, StoredObject> objects = new TreeMap<>();

	private final List<Runnable> delayedWrites = new ArrayList<>();

	private long revision;

	private int calls;

	private boolean down;

	private long latencyMillis;

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

	/** Sets the latency of each call, once before and once after it takes effect. */
	public void setLatency(long millis) {
		this.latencyMillis = millis;
	}

	/** Sets the source of the fault for each write. */
	public void faults(Supplier<Fault> next) {
		this.faults = next;
	}

	public void beforeWrite(Consumer<String> hook) {
		this.beforeWrite = hook;
	}

	public void onWritten(Consumer<StoredObject> hook) {
		this.onWritten = hook;
	}

	/** Sets the listener for calls and their results. */
	public void onCall(CallListener listener) {
		this.onCall = listener;
	}

	/** Applies the writes whose responses timed out. */
	public void applyDelayedWrites() {
		List<Runnable> due = new ArrayList<>(this.delayedWrites);
		this.delayedWrites.clear();
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
		if (fault == Fault.DELAYED) {
			this.delayedWrites.add(() -> apply(key, body, expectedVersion));
			return Either.left(new StoreFailure.OutcomeUnknown("no response"));
		}
		return call(() -> {
			Either<StoreFailure, Long> result = apply(key, body, expectedVersion);
			return (fault != Fault.RESPONSE_LOST) ? result
					: Either.left(new StoreFailure.OutcomeUnknown("response lost"));
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
		this.clock.advance(this.latencyMillis);
		if (this.down) {
			return Either.left(new StoreFailure.Unavailable("down"));
		}
		Either<StoreFailure, T> result = action.get();
		this.clock.advance(this.latencyMillis);
		return result;
	}

	/** Listener for calls. */
	@FunctionalInterface
	public interface CallListener {

		/** Receives a call and the result that its caller gets. */
		void called(String call, String key, byte[] body, Either<StoreFailure, ?> result);

	}

	/** Fault of a write. */
	public enum Fault {

		/** The write succeeds or fails without an injected fault. */
		NONE,

		/** The write takes effect and its response is lost. */
		RESPONSE_LOST,

		/** The response times out, and the write takes effect later. */
		DELAYED

	}

}
