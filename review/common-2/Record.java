import java.io.IOException;
import java.io.PrintWriter;
import java.nio.file.Files;
import java.nio.file.Path;

/** Writes what was sent, answered and run, with the time since the start. */
final class Record implements AutoCloseable {

	private final long start = System.nanoTime();

	private final PrintWriter out;

	Record(Path file) throws IOException {
		this.out = new PrintWriter(Files.newBufferedWriter(file));
	}

	double seconds() {
		return (System.nanoTime() - this.start) / 1e9;
	}

	synchronized void line(String format, Object... values) {
		this.out.printf("%8.3f %s%n", seconds(), (values.length == 0) ? format : String.format(format, values));
		this.out.flush();
	}

	@Override
	public synchronized void close() {
		this.out.close();
	}

}
