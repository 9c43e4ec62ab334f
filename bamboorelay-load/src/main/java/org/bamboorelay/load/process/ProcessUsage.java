package org.bamboorelay.load.process;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.file.Files;
import java.nio.file.Path;

/**
 * What a process has used so far, from {@code /proc}.
 * <p>
 * Immutable and thread-safe.
 *
 * @param cpuMillis processor time in user and kernel mode, in milliseconds
 * @param residentBytes resident memory, in bytes
 * @param peakResidentBytes highest resident memory, in bytes
 */
public record ProcessUsage(long cpuMillis, long residentBytes, long peakResidentBytes) {

	/** Length of a tick in /proc/pid/stat: USER_HZ is 100 on Linux. */
	private static final long MILLIS_PER_TICK = 10;

	/** Fields of /proc/pid/stat after the name of the program, from 0. */
	private static final int USER_TIME_FIELD = 11;

	/**
	 * Reads the figures of a process.
	 * @param pid the process id
	 * @return the figures
	 * @throws UncheckedIOException where the process does not exist
	 */
	public static ProcessUsage of(long pid) {
		try {
			return parse(Files.readString(Path.of("/proc/" + pid + "/stat")),
					Files.readString(Path.of("/proc/" + pid + "/status")));
		}
		catch (IOException ex) {
			throw new UncheckedIOException("process " + pid + " cannot be read", ex);
		}
	}

	static ProcessUsage parse(String stat, String status) {
		// The name of the program stands in parentheses and may have spaces.
		String[] fields = stat.substring(stat.lastIndexOf(')') + 2).split(" ");
		long ticks = Long.parseLong(fields[USER_TIME_FIELD]) + Long.parseLong(fields[USER_TIME_FIELD + 1]);
		return new ProcessUsage(ticks * MILLIS_PER_TICK, kilobytes(status, "VmRSS:"), kilobytes(status, "VmHWM:"));
	}

	private static long kilobytes(String status, String name) {
		return status.lines()
			.filter((line) -> line.startsWith(name))
			.mapToLong((line) -> Long.parseLong(line.replaceAll("[^0-9]", "")) * 1024)
			.findFirst()
			.orElse(0);
	}

}
