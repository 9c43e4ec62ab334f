package org.bamboorelay.core.process;

import java.util.ArrayList;
import java.util.List;

/**
 * A scripted scenario with one step per line, either
 * {@code at <ms> do <verb> <arguments>} or {@code expect <fact> <arguments> <value>}, in
 * chronological order. Lines that start with {@code #} are comments. The first line must
 * be a comment, which describes the failure that the script guards against.
 * <p>
 * Immutable and thread-safe.
 */
final class ScenarioScript {

	private final List<Step> steps;

	private ScenarioScript(List<Step> steps) {
		this.steps = List.copyOf(steps);
	}

	static ScenarioScript parse(List<String> lines) {
		if (lines.isEmpty() || !lines.get(0).startsWith("# ")) {
			throw new IllegalArgumentException("line 1: expected a comment that describes the failure");
		}
		List<Step> steps = new ArrayList<>();
		long lastMillis = 0;
		for (int i = 0; i < lines.size(); i++) {
			String line = lines.get(i).strip();
			if (line.isEmpty() || line.startsWith("#")) {
				continue;
			}
			List<String> words = List.of(line.split("\\s+"));
			String location = "line " + (i + 1) + ": " + line;
			if (words.size() >= 4 && words.get(0).equals("at") && words.get(2).equals("do")) {
				long atMillis = Long.parseLong(words.get(1));
				if (atMillis < lastMillis) {
					throw new IllegalArgumentException(location + ": time goes back from " + lastMillis);
				}
				lastMillis = atMillis;
				steps.add(new Step(location, atMillis, words.get(3), words.subList(4, words.size()), null));
			}
			else if (words.size() >= 3 && words.get(0).equals("expect")) {
				steps.add(new Step(location, lastMillis, words.get(1), words.subList(2, words.size() - 1),
						words.get(words.size() - 1)));
			}
			else {
				throw new IllegalArgumentException(location + ": expected \"at <ms> do ...\" or \"expect ...\"");
			}
		}
		return new ScenarioScript(steps);
	}

	/**
	 * Runs the steps.
	 * @param world the simulated system that the steps act on
	 */
	void run(World world) {
		for (Step step : this.steps) {
			world.advanceTo(step.atMillis());
			if (step.expected() == null) {
				world.act(step.verb(), step.arguments());
				continue;
			}
			String actual = world.fact(step.verb(), step.arguments());
			if (!actual.equals(step.expected())) {
				throw new AssertionError(step.location() + ": found " + actual);
			}
		}
	}

	/** The simulated system that a script acts on. */
	interface World {

		/** Advances to a time, in milliseconds since the start. */
		void advanceTo(long millis);

		/** Performs an action; fails for an unknown verb. */
		void act(String verb, List<String> arguments);

		/** Returns the value of a fact; fails for an unknown fact. */
		String fact(String name, List<String> arguments);

	}

	private record Step(String location, long atMillis, String verb, List<String> arguments,
			@org.jspecify.annotations.Nullable String expected) {
	}

}
