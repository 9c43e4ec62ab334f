package org.bamboorelay.cli.request;

import java.security.SecureRandom;
import java.util.ArrayList;
import java.util.Base64;
import java.util.List;
import java.util.Map;
import java.util.Set;

import io.vavr.control.Either;
import org.apache.commons.cli.CommandLine;
import org.bamboorelay.cli.connection.EntryHostClient;
import org.bamboorelay.cli.connection.OperatorFailure;
import org.bamboorelay.cli.process.ExitCode;
import org.bamboorelay.cli.version.ConfigurationService;
import org.bamboorelay.core.failure.Failure;
import org.bamboorelay.core.version.Configuration;
import org.bamboorelay.core.version.KeyHash;
import org.bamboorelay.core.version.WorkspaceId;

/**
 * The commands {@code key grant} and {@code key withdraw}.
 * <p>
 * Used by one thread.
 */
public final class KeyCommands {

	private static final int KEY_BYTES = 32;

	private static final String KEY_PREFIX = "br-";

	private final ConfigurationService configurationService;

	private final EntryHostClient entries;

	private final SecureRandom random = new SecureRandom();

	/**
	 * Creates the commands.
	 * @param configurationService changes the configuration
	 * @param entries the entry hosts, to which withdrawals are sent directly
	 */
	public KeyCommands(ConfigurationService configurationService, EntryHostClient entries) {
		this.configurationService = configurationService;
		this.entries = entries;
	}

	/**
	 * Grants or withdraws a key.
	 * @param line {@code key grant <workspace>} or {@code key withdraw <hash or key>}
	 * @return the result of the command
	 */
	public CommandResult run(CommandLine line) {
		String action = Arguments.required(line, 1, "grant or withdraw");
		return switch (action) {
			case "grant" -> grant(WorkspaceId.of(Arguments.required(line, 2, "a workspace")));
			case "withdraw" -> withdraw(hash(Arguments.required(line, 2, "a key or its hash")));
			default -> throw new IllegalArgumentException("key: found \"" + action + "\", allowed: grant or withdraw");
		};
	}

	private CommandResult grant(WorkspaceId workspace) {
		Either<Failure, Configuration> active = this.configurationService.current();
		if (active.isRight() && active.get().inventory().workspace(workspace).isEmpty()) {
			return CommandResult.of(new OperatorFailure.Unknown("workspace", workspace.value()));
		}
		byte[] bytes = new byte[KEY_BYTES];
		this.random.nextBytes(bytes);
		String key = KEY_PREFIX + Base64.getUrlEncoder().withoutPadding().encodeToString(bytes);
		KeyHash hash = KeyHash.ofKey(key);
		return this.configurationService
			.update((configuration) -> configuration.withKeys(configuration.keys().withGrant(hash, workspace)))
			.fold(CommandResult::of,
					(accepted) -> CommandResult.ok(
							List.of("key: " + key, "hash: " + hash.value(),
									"the key is shown this once; it works for " + workspace + " as of version "
											+ accepted.version()),
							Map.of("key", key, "hash", hash, "workspace", workspace, "version", accepted.version())));
	}

	private CommandResult withdraw(KeyHash hash) {
		Either<Failure, Configuration> written = this.configurationService
			.update((configuration) -> configuration.keys().withdrawn().contains(hash) ? configuration
					: configuration.withKeys(configuration.keys().withWithdrawn(Set.of(hash))));
		Map<String, Integer> holders = this.entries.withdraw(hash);
		List<String> accepted = List.copyOf(holders.keySet());
		if (written.isLeft() && accepted.isEmpty()) {
			return CommandResult.of(written.getLeft());
		}
		List<String> lines = new ArrayList<>();
		lines.add(written.fold(
				(failure) -> "the object API did not take the withdrawal (" + failure.detail()
						+ "); entry hosts pass it on and write it later",
				(configuration) -> "withdrawn as of version " + configuration.version()));
		lines.add(accepted.isEmpty()
				? "no entry host accepted the withdrawal; repeat the command if the object API fails within 5 s"
				: accepted.size() + " entry hosts accepted the withdrawal at once");
		int held = Math.max(accepted.size(), holders.values().stream().mapToInt(Integer::intValue).max().orElse(0));
		if (held == 1) {
			lines.add("only one entry host holds the withdrawal"
					+ (written.isLeft() ? "; repeat the command, as the loss of that host would lose it" : ""));
		}
		else if (held > 1) {
			lines.add("at least " + held + " entry hosts hold the withdrawal");
		}
		return new CommandResult(ExitCode.OK, lines,
				Map.of("hash", hash, "written", written.isRight(), "entries", accepted, "held_by_at_least", held));
	}

	private static KeyHash hash(String text) {
		return text.startsWith(KEY_PREFIX) ? KeyHash.ofKey(text) : KeyHash.parse(text);
	}

}
