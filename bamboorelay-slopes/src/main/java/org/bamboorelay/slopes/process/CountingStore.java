package org.bamboorelay.slopes.process;

import java.util.List;
import java.util.Map;
import java.util.TreeMap;

import io.vavr.control.Either;
import io.vavr.control.Option;
import org.bamboorelay.core.store.ObjectStore;
import org.bamboorelay.core.store.StoreFailure;
import org.bamboorelay.core.store.StoredObject;

/**
 * In-memory object API that counts calls and records the largest value written, by the
 * first segment of the key.
 * <p>
 * Not thread-safe.
 */
final class CountingStore implements ObjectStore {

	private final Map<String, StoredObject> objects = new TreeMap<>();

	private final Map<String, CallCounts> calls = new TreeMap<>();

	private long revision;

	/**
	 * Returns the calls since creation or the last {@link #clearCalls()}.
	 * @return the calls by the first segment of the key
	 */
	Map<String, CallCounts> calls() {
		return this.calls;
	}

	void clearCalls() {
		this.calls.clear();
	}

	@Override
	public Either<StoreFailure, Option<StoredObject>> read(String key) {
		count(key).reads++;
		return Either.right(Option.of(this.objects.get(key)));
	}

	@Override
	public Either<StoreFailure, Long> create(String key, byte[] body) {
		return write(key, body, 0);
	}

	@Override
	public Either<StoreFailure, Long> replace(String key, byte[] body, long expectedVersion) {
		return write(key, body, expectedVersion);
	}

	@Override
	public Either<StoreFailure, Long> delete(String key, long expectedVersion) {
		count(key).writes++;
		this.objects.remove(key);
		return Either.right(++this.revision);
	}

	@Override
	public Either<StoreFailure, List<Entry>> list(String prefix) {
		count(prefix).reads++;
		return Either.right(this.objects.values()
			.stream()
			.filter((object) -> object.key().startsWith(prefix))
			.map((object) -> new Entry(object.key(), object.version()))
			.toList());
	}

	private Either<StoreFailure, Long> write(String key, byte[] body, long expectedVersion) {
		CallCounts counted = count(key);
		counted.writes++;
		counted.largestBytes = Math.max(counted.largestBytes, body.length);
		if (body.length > MAX_VALUE_BYTES) {
			return Either.left(new StoreFailure.ValueTooLarge(key, body.length));
		}
		StoredObject present = this.objects.get(key);
		if (((present != null) ? present.version() : 0) != expectedVersion) {
			return Either.left(new StoreFailure.ConditionFailed(key));
		}
		this.objects.put(key, new StoredObject(key, ++this.revision, body));
		return Either.right(this.revision);
	}

	private CallCounts count(String key) {
		int slash = key.indexOf('/');
		return this.calls.computeIfAbsent((slash > 0) ? key.substring(0, slash) : key, (unused) -> new CallCounts());
	}

	static final class CallCounts {

		private long reads;

		private long writes;

		private long largestBytes;

		long reads() {
			return this.reads;
		}

		long writes() {
			return this.writes;
		}

		long largestBytes() {
			return this.largestBytes;
		}

	}

}
