package org.bamboorelay.cli.process;

import java.io.PrintStream;
import java.nio.file.Path;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.UUID;

import io.vavr.control.Either;
import org.apache.commons.cli.CommandLine;
import org.apache.commons.cli.DefaultParser;
import org.apache.commons.cli.Option;
import org.apache.commons.cli.Options;
import org.apache.commons.cli.ParseException;
import org.bamboorelay.cli.connection.EntryHostClient;
import org.bamboorelay.cli.connection.OperatorSettings;
import org.bamboorelay.cli.request.Command;
import org.bamboorelay.cli.request.CommandResult;
import org.bamboorelay.cli.request.ConfigurationCommands;
import org.bamboorelay.cli.request.KeyCommands;
import org.bamboorelay.cli.request.StatusCommands;
import org.bamboorelay.cli.version.ConfigurationService;
import org.bamboorelay.core.version.ConfigurationRepository;
import org.bamboorelay.runtime.connection.HttpConnectionPool;
import org.bamboorelay.runtime.connection.HttpObjectStore;
import org.bamboorelay.runtime.request.Json;
import org.bamboorelay.runtime.version.SettingsFailure;
import org.bamboorelay.runtime.version.SettingsReader;

/**
 * Main class of the operator command line {@code bamboorelay}, which exits with an
 * {@link ExitCode}.
 * <p>
 * Used by one thread.
 */
public final class OperatorMain {

	private static final int STORE_TIMEOUT_MILLIS = 5_000;

	private static final String USAGE = """
			usage: bamboorelay [--settings <file>] [--json] <command>
			  check <inventory> <rules>                      check both files, change nothing
			  apply <inventory> <rules> [--expect <version>] make them the configuration in force
			  show                                           print the configuration in force
			  diff <inventory> <rules>                       print what they would change
			  status                                         print the state of each entry host
			  key grant <workspace>                          make a key and print it once
			  key withdraw <key or hash>                     withdraw a key for ever
			  domain out|back <failure domain>               take a failure domain out, bring it back
			  endpoint list                                  print the endpoints in use
			  usage                                          print the newest closed usage windows
			exit codes: 0 done, 1 failed, 2 not valid, 3 another change came first""";

	private OperatorMain() {
	}

	/**
	 * Runs the program.
	 * @param args the command line
	 */
	public static void main(String[] args) {
		System.exit(run(args, System.out, System.err).code());
	}

	static ExitCode run(String[] args, PrintStream out, PrintStream err) {
		try {
			CommandLine line = new DefaultParser().parse(options(), args);
			if (line.hasOption("help")) {
				out.println(USAGE);
				return ExitCode.OK;
			}
			if (line.getArgList().isEmpty()) {
				err.println(USAGE);
				return ExitCode.INVALID;
			}
			CommandResult result = execute(line);
			print(line, result, out, err);
			return result.exitCode();
		}
		catch (ParseException | IllegalArgumentException ex) {
			err.println("bamboorelay: " + ex.getMessage());
			return ExitCode.INVALID;
		}
	}

	private static Options options() {
		return new Options().addOption(Option.builder().longOpt("settings").hasArg().get())
			.addOption(Option.builder().longOpt("expect").hasArg().get())
			.addOption(Option.builder().longOpt("json").get())
			.addOption(Option.builder("h").longOpt("help").get());
	}

	private static CommandResult execute(CommandLine line) {
		String name = line.getArgList().get(0);
		if ("check".equals(name)) {
			return ConfigurationCommands.check(line);
		}
		Either<SettingsFailure, OperatorSettings> settings = SettingsReader
			.read(Path.of(line.getOptionValue("settings", "operator.toml")), OperatorSettings.class);
		if (settings.isLeft()) {
			return new CommandResult(ExitCode.INVALID, List.of(settings.getLeft().detail()),
					Map.of("error", settings.getLeft().code()));
		}
		try (HttpConnectionPool pool = new HttpConnectionPool()) {
			Command command = commands(settings.get(), pool).get(name);
			if (command == null) {
				throw new IllegalArgumentException("found command \"" + name + "\", allowed: see bamboorelay --help");
			}
			return command.run(line);
		}
	}

	private static Map<String, Command> commands(OperatorSettings settings, HttpConnectionPool pool) {
		HttpObjectStore store = HttpObjectStore.of(settings.objectApiAddress(), pool, STORE_TIMEOUT_MILLIS);
		EntryHostClient entries = EntryHostClient.of(pool, settings);
		ConfigurationService configurationService = ConfigurationService
			.of(ConfigurationRepository.over(store, () -> UUID.randomUUID().toString()));
		ConfigurationCommands configuration = new ConfigurationCommands(configurationService);
		StatusCommands status = new StatusCommands(entries, store);
		Map<String, Command> commands = new LinkedHashMap<>();
		commands.put("apply", configuration::apply);
		commands.put("show", configuration::show);
		commands.put("diff", configuration::diff);
		commands.put("domain", configuration::domain);
		commands.put("key", new KeyCommands(configurationService, entries)::run);
		commands.put("status", status::status);
		commands.put("endpoint", status::endpoints);
		commands.put("usage", status::usage);
		return commands;
	}

	private static void print(CommandLine line, CommandResult result, PrintStream out, PrintStream err) {
		if (line.hasOption("json")) {
			out.println(Json.text(result.fields()));
			return;
		}
		PrintStream target = (result.exitCode() == ExitCode.OK) ? out : err;
		result.lines().forEach(target::println);
	}

}
