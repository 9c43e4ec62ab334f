import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** Reads and writes JSON as maps, lists, strings, numbers, booleans and null. */
final class Json {

	private final String text;

	private int at;

	private Json(String text) {
		this.text = text;
	}

	static Object parse(byte[] bytes) {
		return new Json(new String(bytes, StandardCharsets.UTF_8)).document();
	}

	@SuppressWarnings("unchecked")
	static Map<String, Object> object(byte[] bytes) {
		return (Map<String, Object>) parse(bytes);
	}

	static String write(Object value) {
		StringBuilder out = new StringBuilder();
		write(value, out);
		return out.toString();
	}

	static byte[] bytes(Object value) {
		return write(value).getBytes(StandardCharsets.UTF_8);
	}

	// Builds an object from alternating names and values.
	static Map<String, Object> map(Object... pairs) {
		Map<String, Object> map = new LinkedHashMap<>();
		for (int index = 0; index < pairs.length; index += 2) {
			map.put((String) pairs[index], pairs[index + 1]);
		}
		return map;
	}

	private static void write(Object value, StringBuilder out) {
		if (value instanceof Map<?, ?> map) {
			out.append('{');
			String separator = "";
			for (Map.Entry<?, ?> entry : map.entrySet()) {
				out.append(separator);
				writeString(String.valueOf(entry.getKey()), out);
				out.append(':');
				write(entry.getValue(), out);
				separator = ",";
			}
			out.append('}');
		}
		else if (value instanceof Iterable<?> list) {
			out.append('[');
			String separator = "";
			for (Object element : list) {
				out.append(separator);
				write(element, out);
				separator = ",";
			}
			out.append(']');
		}
		else if (value instanceof String string) {
			writeString(string, out);
		}
		else {
			out.append(value);
		}
	}

	private static void writeString(String value, StringBuilder out) {
		out.append('"');
		for (int index = 0; index < value.length(); index++) {
			char next = value.charAt(index);
			if (next == '"' || next == '\\') {
				out.append('\\').append(next);
			}
			else if (next < ' ') {
				out.append(String.format("\\u%04x", (int) next));
			}
			else {
				out.append(next);
			}
		}
		out.append('"');
	}

	private Object document() {
		Object value = value();
		skipSpace();
		if (this.at != this.text.length()) {
			throw new IllegalArgumentException("JSON text continues at " + this.at);
		}
		return value;
	}

	private Object value() {
		skipSpace();
		char next = this.text.charAt(this.at);
		if (next == '{') {
			return object();
		}
		if (next == '[') {
			return list();
		}
		if (next == '"') {
			return string();
		}
		int start = this.at;
		while (this.at < this.text.length() && ",]} \t\r\n".indexOf(this.text.charAt(this.at)) < 0) {
			this.at++;
		}
		String word = this.text.substring(start, this.at);
		return switch (word) {
			case "true" -> Boolean.TRUE;
			case "false" -> Boolean.FALSE;
			case "null" -> null;
			default -> word.matches("-?[0-9]{1,18}") ? (Object) Long.valueOf(word) : Double.valueOf(word);
		};
	}

	private Map<String, Object> object() {
		Map<String, Object> map = new LinkedHashMap<>();
		this.at++;
		skipSpace();
		while (this.text.charAt(this.at) != '}') {
			skipSpace();
			String name = string();
			skipSpace();
			this.at++;
			map.put(name, value());
			skipSpace();
			if (this.text.charAt(this.at) == ',') {
				this.at++;
				skipSpace();
			}
		}
		this.at++;
		return map;
	}

	private List<Object> list() {
		List<Object> list = new ArrayList<>();
		this.at++;
		skipSpace();
		while (this.text.charAt(this.at) != ']') {
			list.add(value());
			skipSpace();
			if (this.text.charAt(this.at) == ',') {
				this.at++;
				skipSpace();
			}
		}
		this.at++;
		return list;
	}

	private String string() {
		StringBuilder out = new StringBuilder();
		this.at++;
		while (this.text.charAt(this.at) != '"') {
			char next = this.text.charAt(this.at++);
			if (next != '\\') {
				out.append(next);
				continue;
			}
			char escaped = this.text.charAt(this.at++);
			switch (escaped) {
				case 'n' -> out.append('\n');
				case 'r' -> out.append('\r');
				case 't' -> out.append('\t');
				case 'b' -> out.append('\b');
				case 'f' -> out.append('\f');
				case 'u' -> {
					out.append((char) Integer.parseInt(this.text.substring(this.at, this.at + 4), 16));
					this.at += 4;
				}
				default -> out.append(escaped);
			}
		}
		this.at++;
		return out.toString();
	}

	private void skipSpace() {
		while (this.at < this.text.length() && this.text.charAt(this.at) <= ' ') {
			this.at++;
		}
	}

}
