package org.bamboorelay.runtime.version;

import java.util.HashMap;
import java.util.Map;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * Index of the lines of the keys in a TOML text. The parser reports positions of syntax
 * errors only, so positions for other errors are looked up here. Paths have the form
 * {@code table[1].key}, with indexes from 0 for arrays of tables.
 * <p>
 * Immutable and thread-safe.
 */
final class TomlLineIndex {

	private static final Pattern TABLE = Pattern.compile("^\\s*\\[([A-Za-z0-9_.-]+)]\\s*(#.*)?$");

	private static final Pattern TABLE_ARRAY = Pattern.compile("^\\s*\\[\\[([A-Za-z0-9_.-]+)]]\\s*(#.*)?$");

	private static final Pattern KEY = Pattern.compile("^\\s*([A-Za-z0-9_.-]+)\\s*=.*$");

	private final Map<String, Integer> lines;

	private final Map<String, String> lineTexts;

	private TomlLineIndex(Map<String, Integer> lines, Map<String, String> lineTexts) {
		this.lines = Map.copyOf(lines);
		this.lineTexts = Map.copyOf(lineTexts);
	}

	/**
	 * Creates the index of a text.
	 * @param text the TOML text
	 * @return the index
	 */
	static TomlLineIndex of(String text) {
		Map<String, Integer> lines = new HashMap<>();
		Map<String, String> lineTexts = new HashMap<>();
		Map<String, Integer> elements = new HashMap<>();
		String table = "";
		int lineNumber = 0;
		for (String line : text.split("\n", -1)) {
			lineNumber++;
			Matcher array = TABLE_ARRAY.matcher(line);
			Matcher plain = TABLE.matcher(line);
			Matcher key = KEY.matcher(line);
			if (array.matches()) {
				int index = elements.merge(array.group(1), 0, (old, zero) -> old + 1);
				table = array.group(1) + "[" + index + "]";
				lines.putIfAbsent(array.group(1), lineNumber);
				lines.put(table, lineNumber);
			}
			else if (plain.matches()) {
				table = plain.group(1);
				lines.put(table, lineNumber);
			}
			else if (key.matches()) {
				String path = table.isEmpty() ? key.group(1) : table + "." + key.group(1);
				lines.put(path, lineNumber);
				lineTexts.put(path, line);
			}
		}
		return new TomlLineIndex(lines, lineTexts);
	}

	/**
	 * Returns the line of a path, or of the innermost enclosing table that is found.
	 * @param path the path
	 * @return the line, counted from 1; 1 if neither is found
	 */
	int line(String path) {
		String remaining = path;
		while (!remaining.isEmpty()) {
			Integer line = this.lines.get(remaining);
			if (line != null) {
				return line;
			}
			int separator = Math.max(remaining.lastIndexOf('.'), remaining.lastIndexOf('['));
			remaining = (separator < 0) ? "" : remaining.substring(0, separator);
		}
		return 1;
	}

	/**
	 * Returns the last line that assigns a value to a key, in any element of an array of
	 * tables.
	 * @param key the path without indexes
	 * @param value the value, or an element of a list
	 * @return the line, counted from 1; 1 if there is none
	 */
	int line(String key, String value) {
		Pattern wholeWord = Pattern.compile("(?<![\\w.-])" + Pattern.quote(value) + "(?![\\w.-])");
		return this.lineTexts.entrySet()
			.stream()
			.filter((entry) -> entry.getKey().replaceAll("\\[\\d+]", "").equals(key))
			.filter((entry) -> wholeWord.matcher(entry.getValue()).find())
			.mapToInt((entry) -> this.lines.get(entry.getKey()))
			.max()
			.orElse(1);
	}

}
