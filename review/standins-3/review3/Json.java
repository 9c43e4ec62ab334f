package review3;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** Reads and writes JSON: objects as maps, arrays as lists, numbers as longs or doubles. */
final class Json {

	private final String text;

	private int at;

	private Json(String text) {
		this.text = text;
	}

	static Object read(String text) {
		Json json = new Json(text);
		Object value = json.value();
		json.blanks();
		if (json.at != text.length()) {
			throw new IllegalArgumentException("text after the value at " + json.at);
		}
		return value;
	}

	@SuppressWarnings("unchecked")
	static Map<String, Object> object(Object value) {
		return (value instanceof Map) ? (Map<String, Object>) value : new LinkedHashMap<>();
	}

	@SuppressWarnings("unchecked")
	static List<Object> list(Object value) {
		return (value instanceof List) ? (List<Object>) value : new ArrayList<>();
	}

	static long number(Object value) {
		return (value instanceof Number) ? ((Number) value).longValue() : 0;
	}

	static String write(Object value) {
		StringBuilder out = new StringBuilder();
		write(value, out);
		return out.toString();
	}

	private static void write(Object value, StringBuilder out) {
		if (value instanceof Map) {
			char mark = '{';
			for (Map.Entry<?, ?> entry : ((Map<?, ?>) value).entrySet()) {
				out.append(mark);
				quote(entry.getKey().toString(), out);
				out.append(':');
				write(entry.getValue(), out);
				mark = ',';
			}
			out.append((mark == '{') ? "{}" : "}");
		}
		else if (value instanceof List) {
			char mark = '[';
			for (Object element : (List<?>) value) {
				out.append(mark);
				write(element, out);
				mark = ',';
			}
			out.append((mark == '[') ? "[]" : "]");
		}
		else if (value instanceof String) {
			quote((String) value, out);
		}
		else {
			out.append(value);
		}
	}

	private static void quote(String text, StringBuilder out) {
		out.append('"');
		for (int i = 0; i < text.length(); i++) {
			char c = text.charAt(i);
			if (c == '"' || c == '\\') {
				out.append('\\').append(c);
			}
			else if (c < ' ') {
				out.append(String.format("\\u%04x", (int) c));
			}
			else {
				out.append(c);
			}
		}
		out.append('"');
	}

	private void blanks() {
		while (this.at < this.text.length() && this.text.charAt(this.at) <= ' ') {
			this.at++;
		}
	}

	private Object value() {
		blanks();
		char c = this.text.charAt(this.at);
		switch (c) {
			case '{':
				return map();
			case '[':
				return array();
			case '"':
				return string();
			default:
				int start = this.at;
				while (this.at < this.text.length() && ",]} \n\r\t".indexOf(this.text.charAt(this.at)) < 0) {
					this.at++;
				}
				String word = this.text.substring(start, this.at);
				if (word.equals("null")) {
					return null;
				}
				if (word.equals("true") || word.equals("false")) {
					return Boolean.valueOf(word);
				}
				if (word.matches("-?[0-9]+")) {
					return Long.valueOf(word);
				}
				return Double.valueOf(word);
		}
	}

	private Map<String, Object> map() {
		Map<String, Object> map = new LinkedHashMap<>();
		this.at++;
		blanks();
		while (this.text.charAt(this.at) != '}') {
			blanks();
			String key = string();
			blanks();
			this.at++;
			map.put(key, value());
			blanks();
			if (this.text.charAt(this.at) == ',') {
				this.at++;
			}
		}
		this.at++;
		return map;
	}

	private List<Object> array() {
		List<Object> list = new ArrayList<>();
		this.at++;
		blanks();
		while (this.text.charAt(this.at) != ']') {
			list.add(value());
			blanks();
			if (this.text.charAt(this.at) == ',') {
				this.at++;
			}
		}
		this.at++;
		return list;
	}

	private String string() {
		StringBuilder out = new StringBuilder();
		this.at++;
		while (this.text.charAt(this.at) != '"') {
			char c = this.text.charAt(this.at++);
			if (c == '\\') {
				c = this.text.charAt(this.at++);
				if (c == 'u') {
					c = (char) Integer.parseInt(this.text.substring(this.at, this.at + 4), 16);
					this.at += 4;
				}
				else {
					int index = "nrtbf".indexOf(c);
					c = (index >= 0) ? "\n\r\t\b\f".charAt(index) : c;
				}
			}
			out.append(c);
		}
		this.at++;
		return out.toString();
	}

}
