package review.common;

import java.io.IOException;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;

/**
 * The record of a case: one line for each thing that was sent, answered or run, with the milliseconds since the start.
 */
public final class Log {

	private final long start = System.nanoTime();

	private final PrintStream out;

	public Log(Path file) throws IOException {
		this.out = new PrintStream(file.toFile(), StandardCharsets.UTF_8);
	}

	public long millis() {
		return (System.nanoTime() - this.start) / 1_000_000L;
	}

	public synchronized void line(String text) {
		this.out.printf("%7d %s%n", millis(), text);
		this.out.flush();
	}

}
