package org.bamboorelay.entry.version;

import java.nio.charset.StandardCharsets;
import java.util.HashSet;
import java.util.List;
import java.util.Set;

import com.fasterxml.jackson.core.type.TypeReference;
import io.vavr.control.Either;
import io.vavr.control.Option;
import org.bamboorelay.core.failure.Failure;
import org.bamboorelay.core.store.ObjectStore;
import org.bamboorelay.core.store.StoreFailure;
import org.bamboorelay.core.store.StoredObject;
import org.bamboorelay.core.version.Configuration;
import org.bamboorelay.core.version.ConfigurationHead;
import org.bamboorelay.core.version.FailureDomain;
import org.bamboorelay.core.version.Inventory;
import org.bamboorelay.core.version.KeyTable;
import org.bamboorelay.core.version.Rules;
import org.bamboorelay.runtime.request.Json;

/**
 * Reads the configuration from the object API: first the head, then the immutable parts
 * that it refers to.
 * <p>
 * Thread-safe.
 */
public final class ConfigurationLoader {

	private final ObjectStore store;

	private ConfigurationLoader(ObjectStore store) {
		this.store = store;
	}

	/**
	 * Creates a reader.
	 * @param store the object API
	 * @return the reader
	 */
	public static ConfigurationLoader of(ObjectStore store) {
		return new ConfigurationLoader(store);
	}

	/**
	 * Reads the configuration.
	 * @return the configuration, none if none has been written yet, or the failure
	 */
	public Either<Failure, Option<Configuration>> read() {
		Either<StoreFailure, Option<StoredObject>> head = this.store.read(ConfigurationHead.KEY);
		if (head.isLeft()) {
			return Either.left(head.getLeft());
		}
		if (head.get().isEmpty()) {
			return Either.right(Option.none());
		}
		return Json.read(head.get().get().body(), ConfigurationHead.class)
			.<Failure>mapLeft((failure) -> failure)
			.flatMap(this::readParts)
			.map(Option::some);
	}

	private Either<Failure, Configuration> readParts(ConfigurationHead head) {
		return part(head, "inventory", Inventory.class).flatMap((inventory) -> part(head, "rules", Rules.class)
			.flatMap((rules) -> part(head, "keys", KeyTable.class).flatMap((keys) -> domains(head)
				.map((domainsOut) -> new Configuration(head.version(), inventory, rules, keys, domainsOut)))));
	}

	private Either<Failure, Set<FailureDomain>> domains(ConfigurationHead head) {
		return bytes(head, "domains").flatMap((body) -> {
			try {
				List<FailureDomain> domainsOut = Json.MAPPER.readValue(body, new TypeReference<List<FailureDomain>>() {
				});
				return Either.right(new HashSet<>(domainsOut));
			}
			catch (java.io.IOException ex) {
				return Either
					.left(new StoreFailure.Unavailable("configuration part domains is not a list of failure domains"));
			}
		});
	}

	private <T> Either<Failure, T> part(ConfigurationHead head, String name, Class<T> type) {
		return bytes(head, name).flatMap((body) -> Json.read(body, type).mapLeft((failure) -> failure));
	}

	private Either<Failure, byte[]> bytes(ConfigurationHead head, String name) {
		String hash = head.parts().get(name);
		if (hash == null) {
			return Either.left(new StoreFailure.Unavailable("the configuration head does not refer to a part " + name));
		}
		Either<StoreFailure, Option<StoredObject>> found = this.store.read(ConfigurationHead.PART_PREFIX + hash);
		if (found.isLeft()) {
			return Either.left(found.getLeft());
		}
		return found.get()
			.map(StoredObject::body)
			.filter((body) -> new String(body, StandardCharsets.UTF_8).length() > 0)
			.toEither(() -> new StoreFailure.Unavailable("configuration part " + name + " is missing or empty"));
	}

}
