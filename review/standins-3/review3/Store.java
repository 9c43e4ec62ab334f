package review3;

import java.io.IOException;
import java.net.ServerSocket;
import java.net.URLDecoder;
import java.nio.charset.StandardCharsets;
import java.util.ArrayDeque;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.TreeMap;

/**
 * The platform's metadata store: objects with revisions, lists by pages, conditional
 * writes, watches. It loses nothing; its answers are linearizable.
 */
final class Store {

	private static final int MAX_ITEMS = 500;

	private static final int MAX_PAGE_BYTES = 1_000_000;

	private static final int MAX_VALUE_BYTES = 1_048_576;

	private static final long HISTORY_SECONDS = 20;

	private final Map<String, TreeMap<String, Entry>> kinds = new TreeMap<>();

	/** The changes of the last HISTORY_SECONDS. */
	private final ArrayDeque<Event> events = new ArrayDeque<>();

	/** Watches from before this revision get 410. */
	private long oldestRevision = 1;

	private final ServerSocket server;

	private long revision = 1;

	Store(String ip) throws IOException {
		this.server = Http.serve(ip, 0, this::handle);
	}

	String address() {
		return this.server.getInetAddress().getHostAddress() + ":" + this.server.getLocalPort();
	}

	/** Writes an object as the operator, a server or a trainer does. */
	synchronized void put(String kind, String name, Object spec) {
		Entry known = kind(kind).get(name);
		store(kind, name, Json.write(spec), (known != null) ? known.created : 0);
	}

	synchronized void remove(String kind, String name) {
		Entry entry = kind(kind).remove(name);
		if (entry != null) {
			record(new Event(++this.revision, kind, entry.json(), true));
		}
	}

	synchronized String spec(String kind, String name) {
		Entry entry = kind(kind).get(name);
		return (entry != null) ? entry.spec : "";
	}

	synchronized int count(String kind) {
		return kind(kind).size();
	}

	private TreeMap<String, Entry> kind(String kind) {
		return this.kinds.computeIfAbsent(kind, (unused) -> new TreeMap<>());
	}

	private Entry store(String kind, String name, String spec, long created) {
		Entry entry = new Entry();
		entry.name = name;
		entry.spec = spec;
		entry.revision = ++this.revision;
		entry.created = (created > 0) ? created : entry.revision;
		kind(kind).put(name, entry);
		record(new Event(this.revision, kind, entry.json(), false));
		return entry;
	}

	private void record(Event event) {
		this.events.addLast(event);
		while (event.nanos - this.events.getFirst().nanos > HISTORY_SECONDS * 1_000_000_000L) {
			this.oldestRevision = this.events.removeFirst().at;
		}
		notifyAll();
	}

	private boolean handle(Http.Message request, Http.Connection connection) throws Exception {
		String uri = request.path();
		String path = uri.split("\\?")[0];
		Map<String, String> query = new LinkedHashMap<>();
		if (uri.contains("?")) {
			for (String pair : uri.substring(uri.indexOf('?') + 1).split("&")) {
				query.put(pair.split("=", 2)[0],
						URLDecoder.decode(pair.contains("=") ? pair.split("=", 2)[1] : "", StandardCharsets.UTF_8));
			}
		}
		String[] parts = path.split("/", 4);
		int[] status = { 200 };
		String body = answer(request, parts[2], (parts.length > 3) ? parts[3] : "", query, status);
		connection.send(status[0], Map.of("Content-Type", "application/json"),
				body.getBytes(StandardCharsets.UTF_8));
		return true;
	}

	private synchronized String answer(Http.Message request, String kind, String name, Map<String, String> query,
			int[] status) throws InterruptedException {
		if (request.method().equals("GET")) {
			if (query.containsKey("watch")) {
				long since = Long.parseLong(query.get("watch"));
				if (since < this.oldestRevision) {
					status[0] = 410;
					return "{}";
				}
				return watch(kind, since, Long.parseLong(query.getOrDefault("wait_ms", "0")));
			}
			if (name.isEmpty()) {
				return list(kind, query.getOrDefault("after", ""));
			}
			Entry entry = kind(kind).get(name);
			status[0] = (entry != null) ? 200 : 404;
			return (entry != null) ? entry.json() : "{}";
		}
		Map<String, Object> envelope = request.body.length > 0 ? Json.object(Json.read(request.text()))
				: new LinkedHashMap<>();
		Map<String, Object> metadata = Json.object(envelope.get("metadata"));
		boolean create = request.method().equals("POST");
		boolean statusCall = name.endsWith("/status");
		String key = create ? String.valueOf(metadata.get("name"))
				: statusCall ? name.substring(0, name.length() - "/status".length()) : name;
		Entry known = kind(kind).get(key);
		long expected = query.containsKey("revision") ? Long.parseLong(query.get("revision"))
				: Json.number(metadata.get("revision"));
		if (!create && known == null) {
			status[0] = 404;
			return "{}";
		}
		if ((create && known != null) || (expected > 0 && expected != known.revision)) {
			status[0] = 409;
			return known.json();
		}
		if (request.method().equals("DELETE")) {
			remove(kind, key);
			return "{}";
		}
		if (statusCall) {
			return known.json();
		}
		String spec = Json.write(envelope.get("spec"));
		if (spec.length() > MAX_VALUE_BYTES) {
			status[0] = 413;
			return "{}";
		}
		if (known != null && known.spec.equals(spec)) {
			return known.json();
		}
		return store(kind, key, spec, (known != null) ? known.created : 0).json();
	}

	private String list(String kind, String after) {
		StringBuilder items = new StringBuilder();
		int count = 0;
		boolean more = false;
		for (Entry entry : kind(kind).tailMap(after, false).values()) {
			String json = entry.json();
			more = count > 0 && (count == MAX_ITEMS || items.length() + json.length() > MAX_PAGE_BYTES);
			if (more) {
				break;
			}
			items.append((count++ > 0) ? "," : "").append(json);
		}
		return "{\"items\":[" + items + "],\"has_more\":" + more + ",\"as_of\":" + this.revision + "}";
	}

	private String watch(String kind, long since, long waitMillis) throws InterruptedException {
		long end = System.nanoTime() + waitMillis * 1_000_000L;
		while (true) {
			StringBuilder found = new StringBuilder();
			for (Iterator<Event> each = this.events.descendingIterator(); each.hasNext();) {
				Event event = each.next();
				if (event.at <= since) {
					break;
				}
				if (event.kind.equals(kind)) {
					found.insert(0, "{\"removed\":" + event.removed + ",\"object\":" + event.json + "}"
							+ ((found.length() > 0) ? "," : ""));
				}
			}
			long left = (end - System.nanoTime()) / 1_000_000L;
			if (found.length() > 0 || left <= 0) {
				return "{\"events\":[" + found + "],\"as_of\":" + this.revision + "}";
			}
			wait(left);
		}
	}

	private static final class Entry {

		private String name;

		private String spec;

		private long revision;

		private long created;

		private String json() {
			return "{\"metadata\":{\"name\":" + Json.write(this.name) + ",\"revision\":" + this.revision
					+ ",\"create_rev\":" + this.created + ",\"finalizers\":[],\"deleting\":false},\"spec\":" + this.spec
					+ ",\"status\":null}";
		}

	}

	private static final class Event {

		private final long nanos = System.nanoTime();

		private final long at;

		private final String kind;

		private final String json;

		private final boolean removed;

		private Event(long at, String kind, String json, boolean removed) {
			this.at = at;
			this.kind = kind;
			this.json = json;
			this.removed = removed;
		}

	}

}
