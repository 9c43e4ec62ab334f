package org.bamboorelay.cli.version;

import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;

import io.vavr.control.Either;
import org.bamboorelay.core.failure.Failure;
import org.bamboorelay.core.version.ConfigurationChecks;
import org.bamboorelay.core.version.ConfigurationFault;
import org.bamboorelay.core.version.Inventory;
import org.bamboorelay.core.version.Rules;
import org.bamboorelay.runtime.version.SettingsFailure;
import org.bamboorelay.runtime.version.SettingsReader;

/**
 * An inventory and rules that an operator proposes, read and checked in full.
 * <p>
 * Immutable and thread-safe.
 *
 * @param inventory the inventory
 * @param rules the rules
 */
public record ProposedChange(Inventory inventory, Rules rules) {

	/**
	 * Reads and checks both files.
	 * @param inventoryFile the inventory
	 * @param rulesFile the rules
	 * @return the change, or every fault of both files
	 */
	public static Either<List<Failure>, ProposedChange> read(Path inventoryFile, Path rulesFile) {
		List<Failure> faults = new ArrayList<>();
		Either<List<SettingsFailure>, Inventory> inventory = SettingsReader.readAll(inventoryFile, Inventory.class);
		Either<List<SettingsFailure>, Rules> rules = SettingsReader.readAll(rulesFile, Rules.class);
		inventory.swap().forEach(faults::addAll);
		rules.swap().forEach(faults::addAll);
		if (!faults.isEmpty()) {
			return Either.left(faults);
		}
		for (ConfigurationFault fault : ConfigurationChecks.check(inventory.get(), rules.get())) {
			boolean ofRules = fault.key()
				.matches("(priorities|staleness|spending|admission|usage|isolation|policies)\\b.*");
			Path file = ofRules ? rulesFile : inventoryFile;
			faults.add(SettingsReader.locate(file, fault));
		}
		return faults.isEmpty() ? Either.right(new ProposedChange(inventory.get(), rules.get())) : Either.left(faults);
	}

}
