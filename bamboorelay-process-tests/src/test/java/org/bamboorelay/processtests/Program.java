package org.bamboorelay.processtests;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;

/**
 * A program of the project that runs as a separate process. Its output is written to
 * files below {@code target}.
 * <p>
 * Used by one thread. Signals are sent only to the process that it started.
 */
final class Program {

	private static final Path ROOT = Path.of("").toAbsolutePath().getParent();

	private final String name;

	private final Path directory;

	private final List<String> command;

	private Process process;

	private int starts;

	private Program(String name, Path directory, List<String> command) throws IOException {
		this.name = name;
		this.directory = directory;
		this.command = command;
		this.process = launch();
	}

	/**
	 * Starts a program.
	 * @param name the name of its output files
	 * @param directory the directory of its output files
	 * @param module the module that contains the program
	 * @param main the main class
	 * @param heapMegabytes the maximum heap size in megabytes
	 * @param args the arguments
	 * @return the running program
	 * @throws IOException if it cannot be started
	 */
	static Program start(String name, Path directory, String module, String main, int heapMegabytes, List<String> args)
			throws IOException {
		Path target = ROOT.resolve(module).resolve("target");
		List<String> command = new ArrayList<>(List.of(
				Path.of(System.getProperty("java.home"), "bin", "java").toString(), "-Xmx" + heapMegabytes + "m",
				"-XX:+UseSerialGC", "-XX:TieredStopAtLevel=1", "-cp", target + "/*:" + target + "/lib/*", main));
		command.addAll(args);
		return new Program(name, directory, command);
	}

	void restart() throws IOException {
		kill();
		this.process = launch();
	}

	boolean isAlive() {
		return this.process.isAlive();
	}

	void kill() {
		this.process.destroyForcibly();
		await(Wait.START_TIMEOUT_MILLIS);
	}

	void terminate() {
		this.process.destroy();
	}

	void freeze() {
		signal("STOP");
	}

	void resume() {
		signal("CONT");
	}

	int await(long limitMillis) {
		try {
			if (!this.process.waitFor(limitMillis, TimeUnit.MILLISECONDS)) {
				throw new AssertionError(this.name + " did not end within " + limitMillis + " ms");
			}
			return this.process.exitValue();
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
			throw new IllegalStateException(ex);
		}
	}

	String output() {
		return read("out");
	}

	String log() {
		return read("log");
	}

	private String read(String kind) {
		try {
			return Files.readString(file(kind));
		}
		catch (IOException ex) {
			return "";
		}
	}

	private Path file(String kind) {
		return this.directory.resolve(this.name + "." + this.starts + "." + kind);
	}

	private Process launch() throws IOException {
		this.starts++;
		return new ProcessBuilder(this.command).redirectOutput(file("out").toFile())
			.redirectError(file("log").toFile())
			.start();
	}

	private void signal(String signal) {
		try {
			Process kill = new ProcessBuilder("kill", "-" + signal, Long.toString(this.process.pid())).start();
			if (kill.waitFor() != 0) {
				throw new IllegalStateException("kill -" + signal + " of " + this.name + " failed");
			}
		}
		catch (IOException ex) {
			throw new UncheckedIOException(ex);
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
			throw new IllegalStateException(ex);
		}
	}

}
