package org.bamboorelay.load.process;

import java.io.IOException;
import java.io.PrintStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;

import io.vavr.control.Either;
import org.apache.commons.cli.CommandLine;
import org.apache.commons.cli.DefaultParser;
import org.apache.commons.cli.Option;
import org.apache.commons.cli.Options;
import org.apache.commons.cli.ParseException;
import org.bamboorelay.load.request.CheckFailedException;
import org.bamboorelay.load.request.Quickstart;
import org.bamboorelay.load.request.QuickstartSettings;
import org.bamboorelay.runtime.version.SettingsFailure;
import org.bamboorelay.runtime.version.SettingsReader;

/**
 * The load program: {@code free-ports} prints free loopback ports, {@code quickstart}
 * runs one point of the quick start.
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
			.addOption(option("count", "number of ports"));
		try {
			CommandLine line = new DefaultParser().parse(options, args);
			String command = line.getArgList().isEmpty() ? "" : line.getArgList().get(0);
			return switch (command) {
				case "free-ports" -> freePorts(Integer.parseInt(line.getOptionValue("count", "1")), out);
				case "quickstart" -> quickstart(line, out, err);
				default ->
					throw new ParseException("unknown command \"" + command + "\", allowed: free-ports, quickstart");
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
