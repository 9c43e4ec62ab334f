package org.bamboorelay.slopes.process;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Supplier;

import org.apache.commons.cli.CommandLine;
import org.apache.commons.cli.DefaultParser;
import org.apache.commons.cli.Option;
import org.apache.commons.cli.Options;
import org.apache.commons.cli.ParseException;

/**
 * The program {@code bamboorelay-slopes}, which measures how costs scale with the size of
 * a deployment.
 */
public final class SlopesMain {

	private static final int EXIT_USAGE = 2;

	private static final Map<String, Supplier<List<Slope>>> GROUPS = new LinkedHashMap<>();

	static {
		GROUPS.put("state", StateSlopes::measure);
		GROUPS.put("requests", RequestSlopes::measure);
		GROUPS.put("peers", PeerSlopes::measure);
		GROUPS.put("endpoints", EndpointSlopes::measure);
		GROUPS.put("configuration", ConfigurationSlopes::measure);
		GROUPS.put("usage", UsageSlopes::measure);
		GROUPS.put("weights", WeightSlopes::measure);
		GROUPS.put("store", StoreSlopes::measure);
	}

	private SlopesMain() {
	}

	/**
	 * Measures the slopes and prints one line for each.
	 * @param args {@code --json file} also writes the slopes as JSON lines,
	 * {@code --only group} restricts the run to one group, {@code --fit file} fits
	 * externally measured points instead: lines of name, unit, variable, size and cost,
	 * separated by tabs
	 * @throws IOException if a file cannot be read or written
	 */
	public static void main(String[] args) throws IOException {
		Options options = new Options()
			.addOption(Option.builder().longOpt("json").hasArg().argName("file").desc("JSON lines").get())
			.addOption(Option.builder().longOpt("fit").hasArg().argName("file").desc("points to fit").get())
			.addOption(Option.builder().longOpt("only").hasArg().argName("group").desc("one group").get());
		CommandLine line;
		try {
			line = new DefaultParser().parse(options, args);
		}
		catch (ParseException ex) {
			System.err.println("bamboorelay-slopes: " + ex.getMessage());
			System.exit(EXIT_USAGE);
			return;
		}
		if (line.hasOption("fit")) {
			fit(Path.of(line.getOptionValue("fit"))).forEach((slope) -> {
				System.out.println(slope.text());
				System.out.println(slope.json());
			});
			return;
		}
		String only = line.getOptionValue("only");
		if (only != null && !GROUPS.containsKey(only)) {
			System.err.println("bamboorelay-slopes: unknown group \"" + only + "\", allowed: " + GROUPS.keySet());
			System.exit(EXIT_USAGE);
		}
		List<String> lines = new ArrayList<>();
		for (Map.Entry<String, Supplier<List<Slope>>> group : GROUPS.entrySet()) {
			if (only == null || only.equals(group.getKey())) {
				long start = System.nanoTime();
				for (Slope slope : group.getValue().get()) {
					System.out.println(slope.text());
					lines.add(slope.json());
				}
				System.out.println("# " + group.getKey() + " took " + (System.nanoTime() - start) / 1_000_000 + " ms");
			}
		}
		if (line.hasOption("json")) {
			Files.write(Path.of(line.getOptionValue("json")), lines);
		}
	}

	private static List<Slope> fit(Path file) throws IOException {
		Map<String, String[]> heads = new LinkedHashMap<>();
		Map<String, List<Fit.Point>> points = new LinkedHashMap<>();
		for (String text : Files.readAllLines(file)) {
			String[] cells = text.split("\t");
			heads.put(cells[0], cells);
			points.computeIfAbsent(cells[0], (unused) -> new ArrayList<>())
				.add(new Fit.Point(Double.parseDouble(cells[3]), Double.parseDouble(cells[4])));
		}
		return points.entrySet().stream().map((entry) -> {
			String[] head = heads.get(entry.getKey());
			return new Slope(head[0], head[1], head[2], entry.getValue(), Fit.of(entry.getValue()));
		}).toList();
	}

}
