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
 * The newest weight version of each line, stored under {@code weights/<service>/<line>}
 * as {@code {"token","version"}}.
 * <p>
 * Stateless and thread-safe.
 */
final class LatestWeightVersions {

	private LatestWeightVersions() {
	}

	static String key(ServiceId service, LineId line) {
		return "weights/" + service + "/" + line;
	}

	/**
	 * Reads the newest version of a line.
	 * @param store the object API
	 * @param service the service
	 * @param line the line
	 * @return the version number; 0 if the line has no version yet
	 */
	static Either<StoreFailure, Long> read(ObjectStore store, ServiceId service, LineId line) {
		return store.read(key(service, line)).map((found) -> found.map(LatestWeightVersions::version).getOrElse(0L));
	}

	/**
	 * Raises the newest version of a line unless it is already as high.
	 * @param writes writes to the object API
	 * @param service the service
	 * @param line the line
	 * @param version the version number
	 * @param token the unique token of the write
	 * @return the stored version after the call; higher than the given one if the line
	 * was already ahead of it
	 */
	static Either<StoreFailure, Long> raise(ConditionalWriter writes, ServiceId service, LineId line, long version,
			String token) {
		String key = key(service, line);
		Map<String, Object> body = new LinkedHashMap<>();
		body.put("token", token);
		body.put("version", version);
		Either<StoreFailure, Option<StoredObject>> read = writes.store().read(key);
		while (read.isRight()) {
			Option<StoredObject> existing = read.get();
			long current = existing.map(LatestWeightVersions::version).getOrElse(-1L);
			if (current >= version) {
				return Either.right(current);
			}
			// Each further iteration means that another writer raised the version
			// meanwhile.
			read = (existing.isEmpty() ? writes.create(key, Json.bytes(body))
					: writes.replace(existing.get(), Json.bytes(body)))
				.map(Option::of);
		}
		return Either.left(read.getLeft());
	}

	private static long version(StoredObject object) {
		return Json.tree(object.body())
			.getOrElseThrow((failure) -> new IllegalStateException(
					"invalid weight version record " + object.key() + ": " + failure.detail()))
			.path("version")
			.asLong();
	}

}
