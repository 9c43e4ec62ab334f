package org.bamboorelay.entry.process;

import java.io.IOException;
import java.nio.file.Path;
import java.util.List;
import java.util.concurrent.CountDownLatch;

import io.vavr.control.Either;
import org.apache.commons.cli.CommandLine;
import org.apache.commons.cli.DefaultParser;
import org.apache.commons.cli.Option;
import org.apache.commons.cli.Options;
import org.apache.commons.cli.ParseException;
import org.bamboorelay.entry.version.EntrySettings;
import org.bamboorelay.runtime.version.SettingsFailure;
import org.bamboorelay.runtime.version.SettingsReader;

/**
 * Main class of the program {@code bamboorelay-entry}.
 */
public final class EntryMain {

	private static final int EXIT_INVALID_SETTINGS = 2;

	private static final int EXIT_START_FAILED = 1;

	private EntryMain() {
	}

	/**
	 * Runs the program until it is terminated by a signal.
	 * @param args {@code
	 * --settings file.toml}
	 * @throws InterruptedException if the main thread is interrupted
	 */
	public static void main(String[] args) throws InterruptedException {
		if (List.of(args).contains("--help")) {
			System.out.println("usage: bamboorelay-entry --settings <file>");
			return;
		}
		Either<String, EntrySettings> settings = settings(args);
		if (settings.isLeft()) {
			System.err
				.println("bamboorelay-entry: " + settings.getLeft().lines().findFirst().orElse("invalid settings"));
			System.exit(EXIT_INVALID_SETTINGS);
		}
		try {
			EntryProcess process = EntryProcess.start(settings.get(), new DefaultEntryPlugins());
			Runtime.getRuntime().addShutdownHook(new Thread(process::leave, "shutdown"));
		}
		catch (IOException ex) {
			System.err.println("bamboorelay-entry: cannot listen on " + settings.get().httpAddress() + " and "
					+ settings.get().peerAddress() + ": " + ex.getMessage());
			System.exit(EXIT_START_FAILED);
		}
		new CountDownLatch(1).await();
	}

	static Either<String, EntrySettings> settings(String[] args) {
		Options options = new Options()
			.addOption(Option.builder().longOpt("settings").hasArg().argName("file").desc("TOML settings").get());
		CommandLine line;
		try {
			line = new DefaultParser().parse(options, args);
		}
		catch (ParseException ex) {
			return Either.left(String.valueOf(ex.getMessage()));
		}
		if (!line.hasOption("settings")) {
			return Either.left("option --settings <file> is missing");
		}
		Path file = Path.of(line.getOptionValue("settings"));
		return SettingsReader.read(file, EntrySettings.class).mapLeft(SettingsFailure::detail);
	}

}
