package org.bamboorelay.cli.request;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

import com.fasterxml.jackson.databind.JsonNode;
import io.vavr.control.Either;
import io.vavr.control.Option;
import org.apache.commons.cli.CommandLine;
import org.bamboorelay.cli.connection.EntryHostClient;
import org.bamboorelay.cli.process.ExitCode;
import org.bamboorelay.core.failure.Failure;
import org.bamboorelay.core.store.ObjectStore;
import org.bamboorelay.core.store.StoreFailure;
import org.bamboorelay.core.store.StoredObject;
import org.bamboorelay.runtime.request.Json;

/**
 * The commands {@code status}, {@code endpoint list} and {@code usage}, which are
 * read-only.
 * <p>
 * Used by one thread.
 */
public final class StatusCommands {

	private static final String USAGE_PREFIX = "usage/windows/";

	private static final int MAX_USAGE_WINDOWS = 10;

	private final EntryHostClient entries;

	private final ObjectStore store;

	/**
	 * Creates the commands.
	 * @param entries the entry hosts, from which the status is read
	 * @param store the object API, which contains the usage windows
	 */
	public StatusCommands(EntryHostClient entries, ObjectStore store) {
		this.entries = entries;
		this.store = store;
	}

	/**
	 * Prints the status of each entry host. The command fails if a host does not respond.
	 * @param line {@code status}
	 * @return the result of the command
	 */
	public CommandResult status(CommandLine line) {
		List<String> lines = new ArrayList<>();
		Map<String, Object> fields = new LinkedHashMap<>();
		boolean complete = true;
		for (Map.Entry<String, Either<Failure, JsonNode>> entry : this.entries.statuses().entrySet()) {
			Either<Failure, JsonNode> status = entry.getValue();
			complete &= status.isRight();
			lines.add(entry.getKey() + "  "
					+ status.fold((failure) -> "no answer: " + failure.detail(), StatusCommands::summary));
			fields.put(entry.getKey(), status.fold((failure) -> Map.of("error", failure.code()), (tree) -> tree));
		}
		return new CommandResult(complete ? ExitCode.OK : ExitCode.FAILED, lines, fields);
	}

	/**
	 * Prints the endpoints that are known to the entry hosts.
	 * @param line {@code endpoint list}
	 * @return the result of the command
	 */
	public CommandResult endpoints(CommandLine line) {
		Map<String, JsonNode> endpoints = new LinkedHashMap<>();
		for (Either<Failure, JsonNode> status : this.entries.statuses().values()) {
			status.forEach((tree) -> tree.path("endpoints")
				.forEach((endpoint) -> endpoints.merge(endpoint.path("endpoint").asText(), endpoint,
						StatusCommands::moreDetailed)));
		}
		List<String> lines = endpoints.values().stream().map(JsonNode::toString).sorted().toList();
		if (lines.isEmpty()) {
			return CommandResult.ok("no endpoint is known", Map.of("endpoints", List.of()));
		}
		return CommandResult.ok(lines, Map.of("endpoints", endpoints.values()));
	}

	/**
	 * Prints the newest usage windows as they were recorded when they closed.
	 * @param line {@code usage}
	 * @return the result of the command
	 */
	public CommandResult usage(CommandLine line) {
		Either<StoreFailure, List<ObjectStore.Entry>> listed = this.store.list(USAGE_PREFIX);
		if (listed.isLeft()) {
			return CommandResult.of(listed.getLeft());
		}
		List<String> lines = new ArrayList<>();
		List<JsonNode> windows = new ArrayList<>();
		List<ObjectStore.Entry> entries = listed.get();
		for (ObjectStore.Entry entry : entries.subList(Math.max(0, entries.size() - MAX_USAGE_WINDOWS),
				entries.size())) {
			Either<StoreFailure, Option<StoredObject>> read = this.store.read(entry.key());
			if (read.isLeft()) {
				return CommandResult.of(read.getLeft());
			}
			read.get().forEach((object) -> {
				lines.add(entry.key().substring(USAGE_PREFIX.length()) + "  "
						+ new String(object.body(), StandardCharsets.UTF_8));
				Json.tree(object.body()).forEach(windows::add);
			});
		}
		return lines.isEmpty() ? CommandResult.ok("no usage window was closed yet", Map.of("windows", List.of()))
				: CommandResult.ok(lines, Map.of("windows", windows));
	}

	private static JsonNode moreDetailed(JsonNode first, JsonNode second) {
		return (second.size() > first.size()) ? second : first;
	}

	private static String summary(JsonNode status) {
		return status.path("host").asText() + "  version " + status.path("config_version").asLong() + "  view age "
				+ status.path("view_age_ms").asLong() + " ms  running " + status.path("running_requests").asLong()
				+ "  peers " + status.path("peers").size();
	}

}
