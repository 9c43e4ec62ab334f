package org.bamboorelay.load.process;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.file.Files;
import java.nio.file.Path;

/**
 * Processor time and memory usage of a process, read from {@code /proc}.
 * <p>
 * Immutable and thread-safe.
 *
 * @param cpuMillis processor time in user and kernel mode, in milliseconds
 * @param residentBytes resident memory, in bytes
 * @param peakResidentBytes peak resident memory, in bytes
 */
public record ProcessUsage(long cpuMillis, long residentBytes, long peakResidentBytes) {

	/** Length of a clock tick in /proc/pid/stat: USER_HZ is 100 on Linux. */
	private static final long MILLIS_PER_TICK = 10;

	/**
	 * Index of the user time among the fields of /proc/pid/stat that follow the program
	 * name, from 0; the system time is the next field.
	 */
	private static final int USER_TIME_FIELD = 11;

	/**
	 * Reads the usage of a process.
	 * @param pid the process id
	 * @return the usage since the process started
	 * @throws UncheckedIOException if the process does not exist or its files cannot be
	 * read
	 */
	public static ProcessUsage of(long pid) {
		try {
			return parse(Files.readString(Path.of("/proc/" + pid + "/stat")),
					Files.readString(Path.of("/proc/" + pid + "/status")));
		}
		catch (IOException ex) {
			throw new UncheckedIOException("process " + pid + " has no readable statistics in /proc", ex);
		}
	}

	static ProcessUsage parse(String stat, String status) {
		// The program name is in parentheses and may contain spaces and parentheses.
		String[] fields = stat.substring(stat.lastIndexOf(')') + 2).split(" ");
		long ticks = Long.parseLong(fields[USER_TIME_FIELD]) + Long.parseLong(fields[USER_TIME_FIELD + 1]);
		return new ProcessUsage(ticks * MILLIS_PER_TICK, sizeBytes(status, "VmRSS:"), sizeBytes(status, "VmHWM:"));
	}

	private static long sizeBytes(String status, String name) {
		return status.lines()
			.filter((line) -> line.startsWith(name))
			.mapToLong((line) -> Long.parseLong(line.replaceAll("[^0-9]", "")) * 1024)
			.findFirst()
			.orElse(0);
	}

}
