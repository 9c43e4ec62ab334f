package org.bamboorelay.load.process;

import java.io.IOException;
import java.io.PrintStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.NullNode;
import io.vavr.control.Either;
import org.apache.commons.cli.CommandLine;
import org.apache.commons.cli.DefaultParser;
import org.apache.commons.cli.Option;
import org.apache.commons.cli.Options;
import org.apache.commons.cli.ParseException;
import org.apache.hc.core5.http.HttpStatus;
import org.bamboorelay.load.connection.BareRelay;
import org.bamboorelay.load.connection.BenchEndpoint;
import org.bamboorelay.load.connection.CallerClient;
import org.bamboorelay.load.connection.ReceivedResponse;
import org.bamboorelay.load.request.Bench;
import org.bamboorelay.load.request.BenchSettings;
import org.bamboorelay.load.request.CheckFailedException;
import org.bamboorelay.load.request.Quickstart;
import org.bamboorelay.load.request.QuickstartSettings;
import org.bamboorelay.runtime.connection.HttpFailure;
import org.bamboorelay.runtime.connection.HttpListener;
import org.bamboorelay.runtime.request.Json;
import org.bamboorelay.runtime.version.SettingsFailure;
import org.bamboorelay.runtime.version.SettingsReader;

/**
 * The load program: {@code free-ports} prints free loopback ports, {@code quickstart}
 * runs one check of the quick start, {@code put} sends a PUT request to a stand-in,
 * {@code bench} compares the entry process with the bare relay, {@code relay} and
 * {@code endpoint} are the other processes of that comparison, {@code run} executes one
 * phase of a scenario, {@code report} compares the phases, {@code scenario} prints the
 * settings of a scenario for the script.
 * <p>
 * Used by one thread.
 */
public final class LoadMain {

	private static final int EXIT_FAILED = 1;

	private static final int EXIT_USAGE = 2;

	private LoadMain() {
	}

	/**
	 * Runs the program.
	 * @param args the command and its options
	 */
	public static void main(String[] args) {
		System.exit(run(args, System.out, System.err));
	}

	static int run(String[] args, PrintStream out, PrintStream err) {
		Options options = new Options().addOption(option("settings", "file of the quick start's settings"))
			.addOption(option("point", "point of the quick start"))
			.addOption(option("argument", "argument of the point"))
			.addOption(option("count", "number of ports"))
			.addOption(option("address", "address of a stand-in"))
			.addOption(option("path", "path at the stand-in"))
			.addOption(option("body", "JSON to put there"))
			.addOption(option("port", "port to listen on"))
			.addOption(option("target", "address that the bare relay forwards to"))
			.addOption(option("strip", "prefix of paths that the bare relay cuts off"))
			.addOption(option("scenario", "file of the scenario"))
			.addOption(option("half", "policy or baseline"))
			.addOption(option("directory", "where results go"))
			.addOption(option("line", "line of weights of the bench endpoint"));
		try {
			CommandLine line = new DefaultParser().parse(options, args);
			String command = line.getArgList().isEmpty() ? "" : line.getArgList().get(0);
			return switch (command) {
				case "free-ports" -> freePorts(Integer.parseInt(line.getOptionValue("count", "1")), out);
				case "put" -> put(line, err);
				case "quickstart" -> quickstart(line, out, err);
				case "bench" -> bench(line, out, err);
				case "run" -> runPhase(line, out, err);
				case "report" -> report(Path.of(line.getOptionValue("directory", ".")), out, err);
				case "scenario" -> printScenario(line, out, err);
				case "relay" -> serve(line,
						new BareRelay(line.getOptionValue("target", ""), line.getOptionValue("strip", "")), out);
				case "endpoint" -> serve(line, new BenchEndpoint(line.getOptionValue("line", "")), out);
				default -> throw new ParseException("unknown command \"" + command
						+ "\", allowed: free-ports, put, quickstart, bench, relay, endpoint, run, report, scenario");
			};
		}
		catch (ParseException | NumberFormatException ex) {
			err.println("bamboorelay-load: " + ex.getMessage());
			return EXIT_USAGE;
		}
	}

	private static Option option(String name, String description) {
		return Option.builder().longOpt(name).hasArg().desc(description).get();
	}

	private static int freePorts(int count, PrintStream out) {
		List<ServerSocket> sockets = new ArrayList<>();
		try {
			for (int i = 0; i < count; i++) {
				sockets.add(new ServerSocket(0, 1, InetAddress.getLoopbackAddress()));
			}
			sockets.forEach((socket) -> out.println(socket.getLocalPort()));
			for (ServerSocket socket : sockets) {
				socket.close();
			}
			return 0;
		}
		catch (IOException ex) {
			out.println(ex.getMessage());
			return EXIT_FAILED;
		}
	}

	private static int put(CommandLine line, PrintStream err) {
		JsonNode body = Json.tree(line.getOptionValue("body", "{}").getBytes(StandardCharsets.UTF_8))
			.getOrElse(NullNode.getInstance());
		try (CallerClient client = new CallerClient()) {
			Either<HttpFailure, ReceivedResponse> response = client.send(line.getOptionValue("address", ""), "PUT",
					line.getOptionValue("path", "/"), Map.of(), body);
			if (response.exists((received) -> received.status() < HttpStatus.SC_REDIRECTION)) {
				return 0;
			}
			err.println("bamboorelay-load: "
					+ response.fold(HttpFailure::detail, (received) -> received.status() + " " + received.text()));
			return EXIT_FAILED;
		}
	}

	private static int serve(CommandLine line, HttpListener.HttpHandler handler, PrintStream out) {
		try (HttpListener listener = HttpListener.open("127.0.0.1", Integer.parseInt(line.getOptionValue("port", "0")),
				handler, (ex) -> {
					// The client of a broken connection notices the failure itself.
				})) {
			out.println(Json.text(Map.of("event", "ready", "kind", line.getArgList().get(0), "port", listener.port())));
			// Blocks until the process is terminated by a signal.
			Thread.currentThread().join();
			return 0;
		}
		catch (IOException ex) {
			out.println(ex.getMessage());
			return EXIT_FAILED;
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
			return EXIT_FAILED;
		}
	}

	private static int bench(CommandLine line, PrintStream out, PrintStream err) {
		Either<SettingsFailure, BenchSettings> settings = SettingsReader
			.read(Path.of(line.getOptionValue("settings", "")), BenchSettings.class);
		if (settings.isLeft()) {
			err.println("bamboorelay-load: " + settings.getLeft().detail());
			return EXIT_USAGE;
		}
		try (Bench bench = new Bench(settings.get(), out)) {
			return bench.run() ? 0 : EXIT_FAILED;
		}
	}

	private static int runPhase(CommandLine line, PrintStream out, PrintStream err) {
		Either<SettingsFailure, Scenario> scenario = readScenario(line);
		Either<SettingsFailure, RunSettings> settings = SettingsReader
			.read(Path.of(line.getOptionValue("settings", "")), RunSettings.class);
		if (scenario.isLeft() || settings.isLeft()) {
			err.println("bamboorelay-load: " + (scenario.isLeft() ? scenario.getLeft() : settings.getLeft()).detail());
			return EXIT_USAGE;
		}
		String phase = line.getOptionValue("half", "policy");
		Scenario phaseScenario = "warm-up".equals(phase) ? scenario.get().toWarmUp() : scenario.get();
		try (RunPhase session = new RunPhase(phaseScenario, settings.get(), phase, out)) {
			List<String> violations = session.run(Path.of(line.getOptionValue("directory", ".")));
			violations.forEach((violation) -> out.println("violation " + phase + " " + violation));
			return violations.isEmpty() ? 0 : EXIT_FAILED;
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
			return EXIT_FAILED;
		}
	}

	private static int report(Path directory, PrintStream out, PrintStream err) {
		try {
			RunReport.write(directory, out);
			return 0;
		}
		catch (IOException ex) {
			err.println("bamboorelay-load: " + ex.getMessage());
			return EXIT_FAILED;
		}
	}

	// Prints the settings that the script needs, one assignment per line.
	private static int printScenario(CommandLine line, PrintStream out, PrintStream err) {
		Either<SettingsFailure, Scenario> scenario = readScenario(line);
		if (scenario.isLeft()) {
			err.println("bamboorelay-load: " + scenario.getLeft().detail());
			return EXIT_USAGE;
		}
		out.println("deployment=" + scenario.get().deployment());
		out.println("cheap_per_domain=" + scenario.get().cheapPerDomain());
		out.println("cold_start_ms=" + scenario.get().coldStartMs());
		out.println("ordered=" + scenario.get().ordered());
		out.println("baseline=" + String.join(",", scenario.get().baseline()));
		return 0;
	}

	private static Either<SettingsFailure, Scenario> readScenario(CommandLine line) {
		return SettingsReader.read(Path.of(line.getOptionValue("scenario", "")), Scenario.class);
	}

	private static int quickstart(CommandLine line, PrintStream out, PrintStream err) {
		Either<SettingsFailure, QuickstartSettings> settings = SettingsReader
			.read(Path.of(line.getOptionValue("settings", "")), QuickstartSettings.class);
		if (settings.isLeft()) {
			err.println("bamboorelay-load: " + settings.getLeft().detail());
			return EXIT_USAGE;
		}
		try (Quickstart quickstart = new Quickstart(settings.get())) {
			out.println(quickstart.run(line.getOptionValue("point", ""), line.getOptionValue("argument", "")));
			return 0;
		}
		catch (CheckFailedException ex) {
			out.println(ex.getMessage());
			return EXIT_FAILED;
		}
	}

}
