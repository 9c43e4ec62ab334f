package org.bamboorelay.core.version;

import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.Arrays;
import java.util.HexFormat;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Set;
import java.util.TreeMap;
import java.util.concurrent.ConcurrentHashMap;
import java.util.function.Supplier;
import java.util.function.UnaryOperator;

import io.vavr.control.Either;
import io.vavr.control.Option;
import org.bamboorelay.core.failure.Failure;
import org.bamboorelay.core.store.ObjectStore;
import org.bamboorelay.core.store.StoreFailure;
import org.bamboorelay.core.store.StoredObject;
import org.jspecify.annotations.Nullable;

/**
 * Reads the configuration from the object API and writes new versions of it: immutable
 * parts first, then the head by conditional update.
 * <p>
 * Thread-safe as far as the store is.
 */
public final class ConfigurationAssembly {

	private static final String INVENTORY = "inventory";

	private static final String RULES = "rules";

	private static final String KEYS = "keys";

	private static final String DOMAINS = "domains";

	private final ObjectStore store;

	private final Supplier<String> tokens;

	private final Map<String, byte[]> parts = new ConcurrentHashMap<>();

	private volatile @Nullable Reading last;

	private ConfigurationAssembly(ObjectStore store, Supplier<String> tokens) {
		this.store = Objects.requireNonNull(store, "store");
		this.tokens = Objects.requireNonNull(tokens, "tokens");
	}

	/**
	 * Creates an assembly over a store.
	 * @param store the object API
	 * @param tokens returns a new unique token for each write
	 * @return the assembly
	 */
	public static ConfigurationAssembly over(ObjectStore store, Supplier<String> tokens) {
		return new ConfigurationAssembly(store, tokens);
	}

	/**
	 * Writes a configuration as peers pass it on.
	 * @param configuration the configuration
	 * @return the bytes of the JSON text in UTF-8
	 */
	public static byte[] bytes(Configuration configuration) {
		return CoreJson.bytes(configuration);
	}

	/**
	 * Reads a configuration as peers pass it on.
	 * @param body bytes of the JSON text in UTF-8
	 * @return the configuration, or nothing where the body is not one
	 */
	public static Option<Configuration> parse(byte[] body) {
		return CoreJson.read(body, Configuration.class);
	}

	/**
	 * Reads the version in force. Parts that were read before are not read again, so that
	 * an unchanged configuration costs one call. It is not parsed again either, as that
	 * takes milliseconds for a large one and readers read twice a second.
	 * @return the version in force, or nothing before the first one
	 */
	public Either<Failure, Option<Reading>> read() {
		Either<StoreFailure, Option<StoredObject>> head = this.store.read(ConfigurationHead.KEY);
		if (head.isLeft()) {
			return Either.left(head.getLeft());
		}
		if (head.get().isEmpty()) {
			return Either.right(Option.none());
		}
		StoredObject found = head.get().get();
		Reading known = this.last;
		if (known != null && known.storeVersion() == found.version()) {
			return Either.right(Option.some(known));
		}
		return assemble(found).peek((reading) -> this.last = reading).map(Option::some);
	}

	/**
	 * Writes a version.
	 * @param next the configuration, whose version is one above the base's
	 * @param base what it was made from; nothing for the first version
	 * @return the configuration; {@link StoreFailure.ConditionFailed} where another
	 * writer was first
	 */
	public Either<Failure, Configuration> write(Configuration next, Option<Reading> base) {
		long expected = base.map((reading) -> reading.configuration().version()).getOrElse(0L) + 1;
		if (next.version() != expected) {
			throw new IllegalArgumentException("version must be " + expected + ": " + next.version());
		}
		Map<String, String> hashes = new TreeMap<>();
		for (Map.Entry<String, byte[]> part : split(next).entrySet()) {
			Either<Failure, String> hash = writePart(part.getValue());
			if (hash.isLeft()) {
				return Either.left(hash.getLeft());
			}
			hashes.put(part.getKey(), hash.get());
		}
		ConfigurationHead head = new ConfigurationHead(next.version(), hashes, this.tokens.get());
		byte[] body = CoreJson.bytes(head);
		Either<StoreFailure, Long> written = base.isDefined()
				? this.store.replace(ConfigurationHead.KEY, body, base.get().storeVersion())
				: this.store.create(ConfigurationHead.KEY, body);
		if (written.isRight()) {
			return Either.right(next);
		}
		// The answer to a write that took effect can be lost, also when a retry below
		// this call turned it into a failed condition.
		Either<StoreFailure, Option<StoredObject>> now = this.store.read(ConfigurationHead.KEY);
		boolean own = now.isRight() && now.get()
			.flatMap((object) -> CoreJson.read(object.body(), ConfigurationHead.class))
			.exists((found) -> found.token().equals(head.token()));
		return own ? Either.right(next) : Either.left(written.getLeft());
	}

	/**
	 * Applies a change to the version in force, again from the start where another writer
	 * was first.
	 * @param change makes the next version; returns its argument where nothing is to
	 * change
	 * @param attempts the most tries, at least 1
	 * @return the version in force afterwards
	 */
	public Either<Failure, Configuration> update(UnaryOperator<Configuration> change, int attempts) {
		Either<Failure, Configuration> last = Either.left(new StoreFailure.ConditionFailed(ConfigurationHead.KEY));
		for (int i = 0; i < attempts; i++) {
			Either<Failure, Option<Reading>> base = read();
			if (base.isLeft()) {
				return Either.left(base.getLeft());
			}
			if (base.get().isEmpty()) {
				return Either
					.left(new ConfigurationFault(ConfigurationHead.KEY, "nothing", "an accepted configuration"));
			}
			Configuration present = base.get().get().configuration();
			Configuration next = change.apply(present);
			if (next == present) {
				return Either.right(present);
			}
			last = write(next, base.get());
			if (last.isRight() || !(last.getLeft() instanceof StoreFailure.ConditionFailed)) {
				return last;
			}
		}
		return last;
	}

	/**
	 * Writes withdrawn keys into the next version.
	 * @param keys the hashes
	 * @param attempts the most tries, at least 1
	 * @return a version in which all of them are withdrawn
	 */
	public Either<Failure, Configuration> withdraw(Set<KeyHash> keys, int attempts) {
		return update((present) -> present.keys().withdrawn().containsAll(keys) ? present
				: present.withKeys(present.keys().withWithdrawn(keys)), attempts);
	}

	private Either<Failure, Reading> assemble(StoredObject object) {
		Option<ConfigurationHead> head = CoreJson.read(object.body(), ConfigurationHead.class);
		if (head.isEmpty()) {
			return Either.left(new ConfigurationFault(ConfigurationHead.KEY, "malformed JSON", "a head"));
		}
		this.parts.keySet().retainAll(head.get().parts().values());
		Either<Failure, Inventory> inventory = part(head.get(), INVENTORY, Inventory.class);
		Either<Failure, Rules> rules = part(head.get(), RULES, Rules.class);
		Either<Failure, KeyTable> keys = part(head.get(), KEYS, KeyTable.class);
		Either<Failure, FailureDomain[]> domains = part(head.get(), DOMAINS, FailureDomain[].class);
		return inventory
			.flatMap((i) -> rules.flatMap((r) -> keys.flatMap((k) -> domains.map((d) -> new Reading(object.version(),
					new Configuration(head.get().version(), i, r, k, Set.copyOf(Arrays.asList(d))))))));
	}

	private <T> Either<Failure, T> part(ConfigurationHead head, String name, Class<T> type) {
		String hash = head.parts().get(name);
		if (hash == null) {
			return Either.left(new ConfigurationFault(ConfigurationHead.KEY, "no part " + name, "all four parts"));
		}
		String key = ConfigurationHead.PART_PREFIX + hash;
		byte[] body = this.parts.get(hash);
		if (body == null) {
			Either<StoreFailure, Option<StoredObject>> read = this.store.read(key);
			if (read.isLeft()) {
				return Either.left(read.getLeft());
			}
			if (read.get().isEmpty() || !sha256(read.get().get().body()).equals(hash)) {
				return Either.left(new ConfigurationFault(key, "missing or other bytes", "bytes with this SHA-256"));
			}
			body = read.get().get().body();
			this.parts.put(hash, body);
		}
		return CoreJson.read(body, type).toEither(new ConfigurationFault(key, "malformed JSON", "a part: " + name));
	}

	private Either<Failure, String> writePart(byte[] body) {
		String hash = sha256(body);
		Either<StoreFailure, Long> created = this.store.create(ConfigurationHead.PART_PREFIX + hash, body);
		if (created.isRight() || created.getLeft() instanceof StoreFailure.ConditionFailed) {
			return Either.right(hash);
		}
		if (!(created.getLeft() instanceof StoreFailure.OutcomeUnknown)) {
			return Either.left(created.getLeft());
		}
		Either<StoreFailure, Option<StoredObject>> read = this.store.read(ConfigurationHead.PART_PREFIX + hash);
		return (read.isRight() && read.get().isDefined()) ? Either.right(hash) : Either.left(created.getLeft());
	}

	private static Map<String, byte[]> split(Configuration configuration) {
		KeyTable keys = configuration.keys();
		List<String> withdrawn = keys.withdrawn().stream().map(KeyHash::value).sorted().toList();
		// Sorted, so that every process writes the parts in the same order.
		return new TreeMap<>(Map.of(INVENTORY, CoreJson.bytes(configuration.inventory()), RULES,
				CoreJson.bytes(configuration.rules()), KEYS,
				CoreJson.bytes(Map.of("granted", keys.granted(), "withdrawn", withdrawn)), DOMAINS,
				CoreJson.bytes(configuration.domainsOut().stream().sorted().toList())));
	}

	private static String sha256(byte[] body) {
		try {
			return HexFormat.of().formatHex(MessageDigest.getInstance("SHA-256").digest(body));
		}
		catch (NoSuchAlgorithmException ex) {
			throw new IllegalStateException("SHA-256 is missing from the JDK", ex);
		}
	}

	/**
	 * A version as it was read.
	 *
	 * @param storeVersion the version of the head object in the store
	 * @param configuration the configuration
	 */
	public record Reading(long storeVersion, Configuration configuration) {
	}

}
