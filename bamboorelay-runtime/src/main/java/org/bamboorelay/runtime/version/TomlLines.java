package org.bamboorelay.runtime.version;

import java.util.HashMap;
import java.util.Map;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * Finds the line of each key of a TOML text, since the parser reports positions for
 * syntax errors only. Paths have the form {@code table[1].key}, with indexes from 0 for
 * arrays of tables.
 * <p>
 * Immutable and thread-safe.
 */
final class TomlLines {

	private static final Pattern TABLE = Pattern.compile("^\\s*\\[([A-Za-z0-9_.-]+)]\\s*(#.*)?$");

	private static final Pattern TABLE_ARRAY = Pattern.compile("^\\s*\\[\\[([A-Za-z0-9_.-]+)]]\\s*(#.*)?$");

	private static final Pattern KEY = Pattern.compile("^\\s*([A-Za-z0-9_.-]+)\\s*=.*$");

	private final Map<String, Integer> lines;

	private final Map<String, String> texts;

	private TomlLines(Map<String, Integer> lines, Map<String, String> texts) {
		this.lines = Map.copyOf(lines);
		this.texts = Map.copyOf(texts);
	}

	/**
	 * Reads the positions of a text.
	 * @param text the TOML text
	 * @return the positions
	 */
	static TomlLines of(String text) {
		Map<String, Integer> lines = new HashMap<>();
		Map<String, String> texts = new HashMap<>();
		Map<String, Integer> elements = new HashMap<>();
		String table = "";
		int number = 0;
		for (String line : text.split("\n", -1)) {
			number++;
			Matcher array = TABLE_ARRAY.matcher(line);
			Matcher plain = TABLE.matcher(line);
			Matcher key = KEY.matcher(line);
			if (array.matches()) {
				int index = elements.merge(array.group(1), 0, (old, zero) -> old + 1);
				table = array.group(1) + "[" + index + "]";
				lines.putIfAbsent(array.group(1), number);
				lines.put(table, number);
			}
			else if (plain.matches()) {
				table = plain.group(1);
				lines.put(table, number);
			}
			else if (key.matches()) {
				String path = table.isEmpty() ? key.group(1) : table + "." + key.group(1);
				lines.put(path, number);
				texts.put(path, line);
			}
		}
		return new TomlLines(lines, texts);
	}

	/**
	 * Returns the line of a path, or of the nearest table around it.
	 * @param path the path
	 * @return the line, counted from 1; 1 for the whole file
	 */
	int line(String path) {
		String rest = path;
		while (!rest.isEmpty()) {
			Integer line = this.lines.get(rest);
			if (line != null) {
				return line;
			}
			int cut = Math.max(rest.lastIndexOf('.'), rest.lastIndexOf('['));
			rest = (cut < 0) ? "" : rest.substring(0, cut);
		}
		return 1;
	}

	/**
	 * Returns the last line that gives a key a value, whatever the table's index.
	 * @param key the path without indexes
	 * @param value the value, or an element of a list
	 * @return the line, counted from 1; 1 where there is none
	 */
	int line(String key, String value) {
		Pattern whole = Pattern.compile("(?<![\\w.-])" + Pattern.quote(value) + "(?![\\w.-])");
		return this.texts.entrySet()
			.stream()
			.filter((entry) -> entry.getKey().replaceAll("\\[\\d+]", "").equals(key))
			.filter((entry) -> whole.matcher(entry.getValue()).find())
			.mapToInt((entry) -> this.lines.get(entry.getKey()))
			.max()
			.orElse(1);
	}

}
