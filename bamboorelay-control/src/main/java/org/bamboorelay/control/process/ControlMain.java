package org.bamboorelay.control.process;

import java.io.IOException;
import java.nio.file.Path;

import io.vavr.control.Either;
import org.apache.commons.cli.CommandLine;
import org.apache.commons.cli.DefaultParser;
import org.apache.commons.cli.Option;
import org.apache.commons.cli.Options;
import org.apache.commons.cli.ParseException;
import org.bamboorelay.control.version.ControlSettings;
import org.bamboorelay.runtime.version.SettingsFailure;
import org.bamboorelay.runtime.version.SettingsReader;

/**
 * Main class of the program {@code bamboorelay-control}.
 * <p>
 * Stateless and thread-safe.
 */
public final class ControlMain {

	private static final int BAD_SETTINGS_EXIT_CODE = 2;

	private ControlMain() {
	}

	/**
	 * Starts the control process, which runs until it is terminated.
	 * @param args {@code --settings file.toml}
	 */
	public static void main(String[] args) {
		Options options = new Options().addOption(Option.builder()
			.longOpt("settings")
			.hasArg()
			.argName("file")
			.required()
			.desc("settings in TOML")
			.get());
		try {
			CommandLine line = new DefaultParser().parse(options, args);
			Either<SettingsFailure, ControlSettings> settings = SettingsReader
				.read(Path.of(line.getOptionValue("settings")), ControlSettings.class);
			if (settings.isLeft()) {
				fail(settings.getLeft().detail());
				return;
			}
			ControlProcess process = ControlProcess.start(settings.get());
			Runtime.getRuntime().addShutdownHook(new Thread(process::close, "shutdown"));
		}
		catch (ParseException | IOException ex) {
			fail(String.valueOf(ex.getMessage()));
		}
	}

	private static void fail(String detail) {
		System.err.println("bamboorelay-control: " + detail.replace('\n', ' '));
		System.exit(BAD_SETTINGS_EXIT_CODE);
	}

}
