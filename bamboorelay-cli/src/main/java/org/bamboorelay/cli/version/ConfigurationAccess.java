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
import org.bamboorelay.core.version.ConfigurationAssembly;
import org.bamboorelay.core.version.KeyTable;

/**
 * Reads and changes the configuration for operators.
 * <p>
 * Thread-safe.
 */
public final class ConfigurationAccess {

	/** Tries of a change that does not depend on the version that was read. */
	private static final int ATTEMPTS = 5;

	private final ConfigurationAssembly assembly;

	private ConfigurationAccess(ConfigurationAssembly assembly) {
		this.assembly = assembly;
	}

	/**
	 * Creates the access.
	 * @param assembly reads and writes the object API
	 * @return the access
	 */
	public static ConfigurationAccess of(ConfigurationAssembly assembly) {
		return new ConfigurationAccess(assembly);
	}

	/**
	 * Reads the configuration in force.
	 * @return the configuration
	 */
	public Either<Failure, Configuration> current() {
		return this.assembly.read()
			.flatMap((reading) -> reading.map(ConfigurationAssembly.Reading::configuration)
				.toEither((Failure) new OperatorFailure.NoConfiguration()));
	}

	/**
	 * Makes an inventory and rules the next version.
	 * @param change the inventory and the rules
	 * @param expected the version that the change was made from; nothing for the version
	 * in force now
	 * @return the accepted version; {@link OperatorFailure.VersionChanged} where another
	 * change came first
	 */
	public Either<Failure, Configuration> apply(ProposedChange change, OptionalLong expected) {
		return this.assembly.read().flatMap((base) -> {
			long found = version(base);
			if (expected.isPresent() && expected.getAsLong() != found) {
				return Either.left(new OperatorFailure.VersionChanged(expected.getAsLong(), found));
			}
			Configuration next = base
				.map((reading) -> reading.configuration().withInventoryAndRules(change.inventory(), change.rules()))
				.getOrElse(() -> new Configuration(1, change.inventory(), change.rules(), KeyTable.empty(), Set.of()));
			Either<Failure, Configuration> written = this.assembly.write(next, base);
			return written.mapLeft((failure) -> (failure instanceof StoreFailure.ConditionFailed)
					? new OperatorFailure.VersionChanged(found, winner(found)) : failure);
		});
	}

	/**
	 * Applies a change that fits any version, again where another change came first.
	 * @param change makes the next version; returns its argument where nothing is to
	 * change
	 * @return the version in force afterwards
	 */
	public Either<Failure, Configuration> update(UnaryOperator<Configuration> change) {
		return current().flatMap((unused) -> this.assembly.update(change, ATTEMPTS));
	}

	private long winner(long lost) {
		return this.assembly.read().map(ConfigurationAccess::version).getOrElse(lost + 1);
	}

	private static long version(Option<ConfigurationAssembly.Reading> reading) {
		return reading.map((present) -> present.configuration().version()).getOrElse(0L);
	}

}
