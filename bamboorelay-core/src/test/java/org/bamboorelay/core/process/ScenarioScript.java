package org.bamboorelay.core.process;

import java.util.ArrayList;
import java.util.List;

/**
 * A scripted scenario: one step a line, {@code at <ms> do <verb> <arguments>} or
 * {@code expect <fact> <arguments> <value>}, in the order of their times. Lines that
 * start with {@code #} are comments; the first line is one and names the failure that the
 * script guards against.
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
			throw new IllegalArgumentException("line 1: a comment that names the failure is missing");
		}
		List<Step> steps = new ArrayList<>();
		long last = 0;
		for (int i = 0; i < lines.size(); i++) {
			String line = lines.get(i).strip();
			if (line.isEmpty() || line.startsWith("#")) {
				continue;
			}
			List<String> words = List.of(line.split("\\s+"));
			String place = "line " + (i + 1) + ": " + line;
			if (words.size() >= 4 && words.get(0).equals("at") && words.get(2).equals("do")) {
				long at = Long.parseLong(words.get(1));
				if (at < last) {
					throw new IllegalArgumentException(place + ": time goes back from " + last);
				}
				last = at;
				steps.add(new Step(place, at, words.get(3), words.subList(4, words.size()), null));
			}
			else if (words.size() >= 3 && words.get(0).equals("expect")) {
				steps.add(new Step(place, last, words.get(1), words.subList(2, words.size() - 1),
						words.get(words.size() - 1)));
			}
			else {
				throw new IllegalArgumentException(place + ": neither \"at <ms> do ...\" nor \"expect ...\"");
			}
		}
		return new ScenarioScript(steps);
	}

	/**
	 * Runs the steps.
	 * @param world what they act on
	 */
	void run(World world) {
		for (Step step : this.steps) {
			world.advanceTo(step.at());
			if (step.expected() == null) {
				world.act(step.verb(), step.arguments());
				continue;
			}
			String found = world.fact(step.verb(), step.arguments());
			if (!found.equals(step.expected())) {
				throw new AssertionError(step.place() + ": found " + found);
			}
		}
	}

	/** What a script acts on. */
	interface World {

		/** Lets time pass up to a time, in milliseconds from the start. */
		void advanceTo(long millis);

		/** Does what a line says; fails for an unknown verb. */
		void act(String verb, List<String> arguments);

		/** Returns what a line asks for; fails for an unknown fact. */
		String fact(String name, List<String> arguments);

	}

	private record Step(String place, long at, String verb, List<String> arguments,
			@org.jspecify.annotations.Nullable String expected) {
	}

}
