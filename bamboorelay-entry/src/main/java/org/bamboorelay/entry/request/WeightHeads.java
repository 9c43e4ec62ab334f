package org.bamboorelay.entry.request;

import java.util.LinkedHashMap;
import java.util.Map;

import io.vavr.control.Either;
import io.vavr.control.Option;
import org.bamboorelay.core.store.ObjectStore;
import org.bamboorelay.core.store.StoreFailure;
import org.bamboorelay.core.store.StoredObject;
import org.bamboorelay.core.version.LineId;
import org.bamboorelay.core.version.ServiceId;
import org.bamboorelay.runtime.request.Json;

/**
 * The newest weights of each line, stored under {@code weights/<service>/<line>} as
 * {@code {"token","version"}}.
 * <p>
 * Stateless and thread-safe.
 */
final class WeightHeads {

	private WeightHeads() {
	}

	static String key(ServiceId service, LineId line) {
		return "weights/" + service + "/" + line;
	}

	/**
	 * Reads the newest version of a line.
	 * @param store the object API
	 * @param service the service
	 * @param line the line
	 * @return the number of the version, 0 where the line has none yet
	 */
	static Either<StoreFailure, Long> read(ObjectStore store, ServiceId service, LineId line) {
		return store.read(key(service, line)).map((found) -> found.map(WeightHeads::version).getOrElse(0L));
	}

	/**
	 * Raises the newest version of a line.
	 * @param writes the object API
	 * @param service the service
	 * @param line the line
	 * @param version the number of the version
	 * @param token unique token of the write
	 * @return the version that the store holds afterwards; higher than the given one
	 * where the line was there before
	 */
	static Either<StoreFailure, Long> raise(StoreWrites writes, ServiceId service, LineId line, long version,
			String token) {
		String key = key(service, line);
		Map<String, Object> body = new LinkedHashMap<>();
		body.put("token", token);
		body.put("version", version);
		Either<StoreFailure, Option<StoredObject>> read = writes.store().read(key);
		while (read.isRight()) {
			Option<StoredObject> before = read.get();
			long present = before.map(WeightHeads::version).getOrElse(-1L);
			if (present >= version) {
				return Either.right(present);
			}
			// Each further round means that another writer raised the line in between.
			read = (before.isEmpty() ? writes.create(key, Json.bytes(body))
					: writes.replace(before.get(), Json.bytes(body)))
				.map(Option::of);
		}
		return Either.left(read.getLeft());
	}

	private static long version(StoredObject object) {
		return Json.tree(object.body())
			.getOrElseThrow((failure) -> new IllegalStateException(
					"weight head " + object.key() + " is not valid: " + failure.detail()))
			.path("version")
			.asLong();
	}

}
