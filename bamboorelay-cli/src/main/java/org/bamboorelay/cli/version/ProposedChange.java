package org.bamboorelay.cli.version;

import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;

import io.vavr.control.Either;
import org.bamboorelay.core.failure.Failure;
import org.bamboorelay.core.version.ConfigurationFault;
import org.bamboorelay.core.version.ConfigurationValidator;
import org.bamboorelay.core.version.Inventory;
import org.bamboorelay.core.version.Rules;
import org.bamboorelay.runtime.version.SettingsFailure;
import org.bamboorelay.runtime.version.SettingsReader;

/**
 * An inventory and rules that an operator proposes; both are completely validated.
 * <p>
 * Immutable and thread-safe.
 *
 * @param inventory the inventory
 * @param rules the rules
 */
public record ProposedChange(Inventory inventory, Rules rules) {

	/**
	 * Reads and validates both files.
	 * @param inventoryFile the inventory file
	 * @param rulesFile the rules file
	 * @return the change, or all errors of both files
	 */
	public static Either<List<Failure>, ProposedChange> read(Path inventoryFile, Path rulesFile) {
		List<Failure> errors = new ArrayList<>();
		Either<List<SettingsFailure>, Inventory> inventory = SettingsReader.readAll(inventoryFile, Inventory.class);
		Either<List<SettingsFailure>, Rules> rules = SettingsReader.readAll(rulesFile, Rules.class);
		inventory.swap().forEach(errors::addAll);
		rules.swap().forEach(errors::addAll);
		if (!errors.isEmpty()) {
			return Either.left(errors);
		}
		for (ConfigurationFault fault : ConfigurationValidator.validate(inventory.get(), rules.get())) {
			boolean inRulesFile = fault.key()
				.matches("(priorities|staleness|spending|admission|usage|isolation|policies)\\b.*");
			Path file = inRulesFile ? rulesFile : inventoryFile;
			errors.add(SettingsReader.locate(file, fault));
		}
		return errors.isEmpty() ? Either.right(new ProposedChange(inventory.get(), rules.get())) : Either.left(errors);
	}

}
