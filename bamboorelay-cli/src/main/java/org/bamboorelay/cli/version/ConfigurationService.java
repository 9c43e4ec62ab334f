package org.bamboorelay.cli.version;

import java.util.OptionalLong;
import java.util.Set;
import java.util.function.UnaryOperator;

import io.vavr.control.Either;
import io.vavr.control.Option;
import org.bamboorelay.cli.connection.OperatorFailure;
import org.bamboorelay.core.failure.Failure;
import org.bamboorelay.core.store.StoreFailure;
import org.bamboorelay.core.version.Configuration;
import org.bamboorelay.core.version.ConfigurationRepository;
import org.bamboorelay.core.version.KeyTable;

/**
 * Reads and changes the configuration on behalf of operators.
 * <p>
 * Thread-safe.
 */
public final class ConfigurationService {

	/** Maximum attempts of a change that is valid for any base version. */
	private static final int MAX_ATTEMPTS = 5;

	private final ConfigurationRepository repository;

	private ConfigurationService(ConfigurationRepository repository) {
		this.repository = repository;
	}

	/**
	 * Creates an instance.
	 * @param repository the configuration in the object API
	 * @return the instance
	 */
	public static ConfigurationService of(ConfigurationRepository repository) {
		return new ConfigurationService(repository);
	}

	/**
	 * Reads the active configuration.
	 * @return the configuration, or {@link OperatorFailure.NoConfiguration} if none was
	 * accepted yet
	 */
	public Either<Failure, Configuration> current() {
		return this.repository.read()
			.flatMap((reading) -> reading.map(ConfigurationRepository.Snapshot::configuration)
				.toEither((Failure) new OperatorFailure.NoConfiguration()));
	}

	/**
	 * Writes an inventory and rules as the next version.
	 * @param change the inventory and the rules
	 * @param expected the version that the change is based on; empty for the active
	 * version
	 * @return the accepted version, or {@link OperatorFailure.VersionChanged} if another
	 * change was written first
	 */
	public Either<Failure, Configuration> apply(ProposedChange change, OptionalLong expected) {
		return this.repository.read().flatMap((base) -> {
			long found = version(base);
			if (expected.isPresent() && expected.getAsLong() != found) {
				return Either.left(new OperatorFailure.VersionChanged(expected.getAsLong(), found));
			}
			Configuration next = base
				.map((reading) -> reading.configuration().withInventoryAndRules(change.inventory(), change.rules()))
				.getOrElse(() -> new Configuration(1, change.inventory(), change.rules(), KeyTable.empty(), Set.of()));
			Either<Failure, Configuration> written = this.repository.write(next, base);
			return written.mapLeft((failure) -> (failure instanceof StoreFailure.ConditionFailed)
					? new OperatorFailure.VersionChanged(found, currentVersion(found)) : failure);
		});
	}

	/**
	 * Applies a change that is valid for any version, and retries it if another change
	 * was written first.
	 * @param change computes the next version; returns its argument if there is nothing
	 * to change
	 * @return the active version after the change
	 */
	public Either<Failure, Configuration> update(UnaryOperator<Configuration> change) {
		return current().flatMap((unused) -> this.repository.update(change, MAX_ATTEMPTS));
	}

	private long currentVersion(long supersededVersion) {
		return this.repository.read().map(ConfigurationService::version).getOrElse(supersededVersion + 1);
	}

	private static long version(Option<ConfigurationRepository.Snapshot> reading) {
		return reading.map((snapshot) -> snapshot.configuration().version()).getOrElse(0L);
	}

}
