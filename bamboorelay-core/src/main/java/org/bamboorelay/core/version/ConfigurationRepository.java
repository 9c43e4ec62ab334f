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
 * Reads the configuration from the object store and writes new versions of it. A version
 * consists of immutable parts, which are written first, and a head object that refers to
 * them and is replaced by a conditional write.
 * <p>
 * Thread-safe if the store is.
 */
public final class ConfigurationRepository {

	private static final String INVENTORY = "inventory";

	private static final String RULES = "rules";

	private static final String KEYS = "keys";

	private static final String DOMAINS = "domains";

	private final ObjectStore store;

	private final Supplier<String> tokenSupplier;

	private final Map<String, byte[]> parts = new ConcurrentHashMap<>();

	private volatile @Nullable Snapshot last;

	private ConfigurationRepository(ObjectStore store, Supplier<String> tokenSupplier) {
		this.store = Objects.requireNonNull(store, "store");
		this.tokenSupplier = Objects.requireNonNull(tokenSupplier, "tokenSupplier");
	}

	/**
	 * Creates a repository on an object store.
	 * @param store the object store
	 * @param tokenSupplier supplies a new unique token for each write
	 * @return the repository
	 */
	public static ConfigurationRepository over(ObjectStore store, Supplier<String> tokenSupplier) {
		return new ConfigurationRepository(store, tokenSupplier);
	}

	/**
	 * Serializes a configuration to the form that peers exchange.
	 * @param configuration the configuration
	 * @return the JSON text in UTF-8
	 */
	public static byte[] bytes(Configuration configuration) {
		return CoreJson.bytes(configuration);
	}

	/**
	 * Parses a configuration from the form that peers exchange.
	 * @param body the JSON text in UTF-8
	 * @return the configuration, or none if the body is not a valid configuration
	 */
	public static Option<Configuration> parse(byte[] body) {
		return CoreJson.read(body, Configuration.class);
	}

	/**
	 * Reads the current version. Parts are cached by hash, so an unchanged configuration
	 * costs one store call. It is not parsed again either, because parsing a large
	 * configuration takes milliseconds and each reader polls twice a second.
	 * @return the current version, or none before the first version was written
	 */
	public Either<Failure, Option<Snapshot>> read() {
		Either<StoreFailure, Option<StoredObject>> head = this.store.read(ConfigurationHead.KEY);
		if (head.isLeft()) {
			return Either.left(head.getLeft());
		}
		if (head.get().isEmpty()) {
			return Either.right(Option.none());
		}
		StoredObject found = head.get().get();
		Snapshot known = this.last;
		if (known != null && known.storeVersion() == found.version()) {
			return Either.right(Option.some(known));
		}
		return toSnapshot(found).peek((snapshot) -> this.last = snapshot).map(Option::some);
	}

	/**
	 * Writes a version of the configuration.
	 * @param next the configuration; its version must be one above that of the base
	 * @param base the version from which it was derived; none for the first version
	 * @return the written configuration, or {@link StoreFailure.ConditionFailed} if
	 * another writer replaced the base first
	 */
	public Either<Failure, Configuration> write(Configuration next, Option<Snapshot> base) {
		long expected = base.map((snapshot) -> snapshot.configuration().version()).getOrElse(0L) + 1;
		if (next.version() != expected) {
			throw new IllegalArgumentException("expected version " + expected + ", got " + next.version());
		}
		Map<String, String> hashes = new TreeMap<>();
		for (Map.Entry<String, byte[]> part : toParts(next).entrySet()) {
			Either<Failure, String> hash = writePart(part.getValue());
			if (hash.isLeft()) {
				return Either.left(hash.getLeft());
			}
			hashes.put(part.getKey(), hash.get());
		}
		ConfigurationHead head = new ConfigurationHead(next.version(), hashes, this.tokenSupplier.get());
		byte[] body = CoreJson.bytes(head);
		Either<StoreFailure, Long> written = base.isDefined()
				? this.store.replace(ConfigurationHead.KEY, body, base.get().storeVersion())
				: this.store.create(ConfigurationHead.KEY, body);
		if (written.isRight()) {
			return Either.right(next);
		}
		// A write may have taken effect although it failed: its response was lost, or a
		// retry in a lower layer failed the condition that the first attempt had changed.
		// The token in the head identifies the write of this call.
		Either<StoreFailure, Option<StoredObject>> now = this.store.read(ConfigurationHead.KEY);
		boolean own = now.isRight() && now.get()
			.flatMap((object) -> CoreJson.read(object.body(), ConfigurationHead.class))
			.exists((found) -> found.token().equals(head.token()));
		return own ? Either.right(next) : Either.left(written.getLeft());
	}

	/**
	 * Applies a change to the current version. If another writer was first, the change is
	 * applied again to the new current version.
	 * @param change derives the next version; returns its argument if nothing changes
	 * @param maxAttempts maximum number of attempts, at least 1
	 * @return the resulting current version
	 */
	public Either<Failure, Configuration> update(UnaryOperator<Configuration> change, int maxAttempts) {
		Either<Failure, Configuration> last = Either.left(new StoreFailure.ConditionFailed(ConfigurationHead.KEY));
		for (int i = 0; i < maxAttempts; i++) {
			Either<Failure, Option<Snapshot>> base = read();
			if (base.isLeft()) {
				return Either.left(base.getLeft());
			}
			if (base.get().isEmpty()) {
				return Either
					.left(new ConfigurationFault(ConfigurationHead.KEY, "nothing", "an accepted configuration"));
			}
			Configuration current = base.get().get().configuration();
			Configuration next = change.apply(current);
			if (next == current) {
				return Either.right(current);
			}
			last = write(next, base.get());
			if (last.isRight() || !(last.getLeft() instanceof StoreFailure.ConditionFailed)) {
				return last;
			}
		}
		return last;
	}

	/**
	 * Adds withdrawn keys to the configuration.
	 * @param keys hashes of the keys
	 * @param maxAttempts maximum number of attempts, at least 1
	 * @return a current version in which all of them are withdrawn
	 */
	public Either<Failure, Configuration> withdraw(Set<KeyHash> keys, int maxAttempts) {
		return update((current) -> current.keys().withdrawn().containsAll(keys) ? current
				: current.withKeys(current.keys().withWithdrawn(keys)), maxAttempts);
	}

	private Either<Failure, Snapshot> toSnapshot(StoredObject object) {
		Option<ConfigurationHead> head = CoreJson.read(object.body(), ConfigurationHead.class);
		if (head.isEmpty()) {
			return Either.left(new ConfigurationFault(ConfigurationHead.KEY, "malformed JSON", "a configuration head"));
		}
		this.parts.keySet().retainAll(head.get().parts().values());
		Either<Failure, Inventory> inventory = part(head.get(), INVENTORY, Inventory.class);
		Either<Failure, Rules> rules = part(head.get(), RULES, Rules.class);
		Either<Failure, KeyTable> keys = part(head.get(), KEYS, KeyTable.class);
		Either<Failure, FailureDomain[]> domains = part(head.get(), DOMAINS, FailureDomain[].class);
		return inventory
			.flatMap((i) -> rules.flatMap((r) -> keys.flatMap((k) -> domains.map((d) -> new Snapshot(object.version(),
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
				return Either.left(new ConfigurationFault(key, "missing object or different content",
						"content with this SHA-256"));
			}
			body = read.get().get().body();
			this.parts.put(hash, body);
		}
		return CoreJson.read(body, type)
			.toEither(new ConfigurationFault(key, "malformed JSON", "a configuration part: " + name));
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

	private static Map<String, byte[]> toParts(Configuration configuration) {
		KeyTable keys = configuration.keys();
		List<String> withdrawn = keys.withdrawn().stream().map(KeyHash::value).sorted().toList();
		// Sorted, so that all processes write the parts in the same order.
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
	 * A version of the configuration with the store version of its head.
	 *
	 * @param storeVersion version of the head object in the store, for conditional writes
	 * @param configuration the configuration
	 */
	public record Snapshot(long storeVersion, Configuration configuration) {
	}

}
