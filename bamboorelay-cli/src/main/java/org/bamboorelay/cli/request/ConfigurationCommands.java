package org.bamboorelay.cli.request;

import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.OptionalLong;
import java.util.TreeMap;

import com.fasterxml.jackson.databind.JsonNode;
import io.vavr.control.Either;
import org.apache.commons.cli.CommandLine;
import org.bamboorelay.cli.connection.OperatorFailure;
import org.bamboorelay.cli.process.ExitCode;
import org.bamboorelay.cli.version.ConfigurationService;
import org.bamboorelay.cli.version.ProposedChange;
import org.bamboorelay.core.failure.Failure;
import org.bamboorelay.core.version.Configuration;
import org.bamboorelay.core.version.FailureDomain;
import org.bamboorelay.runtime.request.Json;

/**
 * The commands {@code check}, {@code apply}, {@code show}, {@code diff} and
 * {@code domain}.
 * <p>
 * Used by one thread.
 */
public final class ConfigurationCommands {

	private final ConfigurationService configurationService;

	/**
	 * Creates the commands.
	 * @param configurationService reads and changes the configuration
	 */
	public ConfigurationCommands(ConfigurationService configurationService) {
		this.configurationService = configurationService;
	}

	/**
	 * Validates an inventory and rules without changing anything.
	 * @param line {@code check <inventory> <rules>}
	 * @return the result of the command
	 */
	public static CommandResult check(CommandLine line) {
		return readProposal(line).fold(CommandResult::invalid,
				(change) -> CommandResult.ok("both files are valid", Map.of("valid", true)));
	}

	/**
	 * Activates an inventory and rules as the next configuration version.
	 * @param line {@code apply <inventory> <rules> [--expect <version>]}
	 * @return the result of the command
	 */
	public CommandResult apply(CommandLine line) {
		Either<List<Failure>, ProposedChange> change = readProposal(line);
		if (change.isLeft()) {
			return CommandResult.invalid(change.getLeft());
		}
		OptionalLong expected = line.hasOption("expect")
				? OptionalLong.of(Long.parseLong(line.getOptionValue("expect"))) : OptionalLong.empty();
		return this.configurationService.apply(change.get(), expected)
			.fold(ConfigurationCommands::conflictOrFailure, (accepted) -> CommandResult
				.ok("version " + accepted.version() + " is accepted", Map.of("version", accepted.version())));
	}

	/**
	 * Prints the active configuration; keys are printed as hashes.
	 * @param line {@code show}
	 * @return the result of the command
	 */
	public CommandResult show(CommandLine line) {
		return this.configurationService.current().fold(CommandResult::of, (configuration) -> {
			List<String> lines = new ArrayList<>();
			lines.add("version " + configuration.version());
			flatten("", Json.MAPPER.valueToTree(configuration)).forEach((key, value) -> lines.add(key + " = " + value));
			return CommandResult.ok(lines, Map.of("configuration", configuration));
		});
	}

	/**
	 * Prints the changes that an inventory and rules would make to the active
	 * configuration.
	 * @param line {@code diff <inventory> <rules>}
	 * @return the result of the command
	 */
	public CommandResult diff(CommandLine line) {
		Either<List<Failure>, ProposedChange> change = readProposal(line);
		if (change.isLeft()) {
			return CommandResult.invalid(change.getLeft());
		}
		return this.configurationService.current().fold(CommandResult::of, (active) -> {
			Configuration next = active.withInventoryAndRules(change.get().inventory(), change.get().rules());
			List<String> lines = differences(active, next);
			return CommandResult.ok(lines.isEmpty() ? List.of("no difference from version " + active.version()) : lines,
					Map.of("version", active.version(), "differences", lines));
		});
	}

	/**
	 * Takes a failure domain out of service or puts it back into service.
	 * @param line {@code domain out|back <failure domain>}
	 * @return the result of the command
	 */
	public CommandResult domain(CommandLine line) {
		String action = Arguments.required(line, 1, "out or back");
		FailureDomain domain = FailureDomain.of(Arguments.required(line, 2, "a failure domain"));
		boolean inService = switch (action) {
			case "out" -> false;
			case "back" -> true;
			default -> throw new IllegalArgumentException("domain: found \"" + action + "\", allowed: out or back");
		};
		Either<Failure, Configuration> active = this.configurationService.current();
		if (active.isRight() && !isKnown(active.get(), domain)) {
			return CommandResult.of(new OperatorFailure.Unknown("failure domain", domain.value()));
		}
		return this.configurationService
			.update((configuration) -> (configuration.isInService(domain) == inService) ? configuration
					: configuration.withDomainInService(domain, inService))
			.fold(CommandResult::of,
					(accepted) -> CommandResult.ok(
							domain + " is " + (inService ? "in service" : "out of service") + " as of version "
									+ accepted.version(),
							Map.of("version", accepted.version(), "domain", domain, "in_service", inService)));
	}

	private static boolean isKnown(Configuration configuration, FailureDomain domain) {
		return configuration.inventory().failureDomains().stream().anyMatch((entry) -> entry.name().equals(domain));
	}

	private static Either<List<Failure>, ProposedChange> readProposal(CommandLine line) {
		return ProposedChange.read(Path.of(Arguments.required(line, 1, "an inventory file")),
				Path.of(Arguments.required(line, 2, "a rules file")));
	}

	private static CommandResult conflictOrFailure(Failure failure) {
		if (failure instanceof OperatorFailure.VersionChanged changed) {
			return new CommandResult(ExitCode.CONFLICT, List.of(changed.detail()),
					Map.of("error", changed.code(), "version", changed.found()));
		}
		return CommandResult.of(failure);
	}

	private static List<String> differences(Configuration active, Configuration next) {
		Map<String, String> before = flatten("", Json.MAPPER.valueToTree(active));
		Map<String, String> after = flatten("", Json.MAPPER.valueToTree(next));
		List<String> lines = new ArrayList<>();
		before.forEach((key, value) -> {
			if (!value.equals(after.get(key)) && !"version".equals(key)) {
				lines.add("- " + key + " = " + value);
			}
		});
		after.forEach((key, value) -> {
			if (!value.equals(before.get(key)) && !"version".equals(key)) {
				lines.add("+ " + key + " = " + value);
			}
		});
		return lines;
	}

	/**
	 * Flattens a tree to one entry per value. List elements with a name are identified by
	 * the name instead of the index, so that an inserted element changes no other entry.
	 * @param path the path of the node
	 * @param node the node
	 * @return the values by path
	 */
	private static Map<String, String> flatten(String path, JsonNode node) {
		Map<String, String> values = new TreeMap<>();
		if (node.isObject()) {
			node.properties()
				.forEach((field) -> values
					.putAll(flatten(path.isEmpty() ? field.getKey() : path + "." + field.getKey(), field.getValue())));
		}
		else if (node.isArray() && !node.isEmpty() && node.get(0).isObject()) {
			for (int i = 0; i < node.size(); i++) {
				JsonNode name = node.get(i).path("name");
				values.putAll(flatten(path + "[" + (name.isTextual() ? name.asText() : i) + "]", node.get(i)));
			}
		}
		else {
			values.put(path, node.toString());
		}
		return values;
	}

}
