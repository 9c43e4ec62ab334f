import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.TreeMap;

/**
 * Stand-in for the platform: its store, and the calls of the duties. It keeps all of its
 * history and answers each call after 4 ms.
 */
final class Platform implements AutoCloseable {

	private static final long ANSWER_MILLIS = 4;

	private static final int MAX_LISTED_OBJECTS = 500;

	private static final int MAX_LISTED_CHARACTERS = 1_000_000;

	private final Map<String, TreeMap<String, StoreObject>> kinds = new HashMap<>();

	private final List<Event> history = new ArrayList<>();

	private final Server store;

	private final Server cloud;

	private final Record record;

	private long revision = 100;

	Platform(String ip, int storePort, int cloudPort, Record record) throws IOException {
		this.record = record;
		this.store = new Server(ip, storePort, this::serveStore);
		this.cloud = new Server(ip, cloudPort, this::serveCloud);
	}

	String storeAddress() {
		return this.store.address();
	}

	String cloudAddress() {
		return this.cloud.address();
	}

	// Writes an object as the operator or a server does.
	synchronized void write(String kind, String name, Object spec) {
		StoreObject known = kind(kind).get(name);
		changed(kind, new StoreObject(name, ++this.revision, (known != null) ? known.created : this.revision, spec,
				(known != null) ? known.status : null), false);
	}

	synchronized void remove(String kind, String name) {
		StoreObject known = kind(kind).get(name);
		if (known != null) {
			changed(kind, new StoreObject(name, ++this.revision, known.created, known.spec, known.status), true);
		}
	}

	synchronized Object spec(String kind, String name) {
		StoreObject known = kind(kind).get(name);
		return (known != null) ? known.spec : null;
	}

	private TreeMap<String, StoreObject> kind(String kind) {
		return this.kinds.computeIfAbsent(kind, (unused) -> new TreeMap<>());
	}

	private void changed(String kind, StoreObject object, boolean removed) {
		if (removed) {
			kind(kind).remove(object.name);
		}
		else {
			kind(kind).put(object.name, object);
		}
		this.history.add(new Event(kind, object, removed));
		notifyAll();
	}

	private void serveStore(Socket connection, InputStream in, OutputStream out) throws IOException {
		for (Message request = Message.read(in); request != null; request = Message.read(in)) {
			Message answer = answer(request);
			pause(ANSWER_MILLIS);
			answer.send(out);
		}
	}

	private Message answer(Message request) {
		String[] parts = request.target().split("\\?", 2);
		String[] path = parts[0].split("/");
		Map<String, String> query = new HashMap<>();
		if (parts.length > 1) {
			Arrays.stream(parts[1].split("&")).forEach((pair) -> query.put(pair.split("=")[0], pair.split("=", 2)[1]));
		}
		if (path.length < 3 || !path[1].equals("objects")) {
			return Message.response(404, new byte[0]);
		}
		String kind = path[2];
		String name = (path.length > 3) ? path[3] : null;
		return switch (request.method()) {
			case "GET" -> (name != null) ? read(kind, name)
					: query.containsKey("watch") ? watch(kind, query) : list(kind, query.getOrDefault("after", ""));
			case "POST" -> create(kind, Json.object(request.body));
			case "PUT" -> replace(kind, name, path.length > 4, Json.object(request.body));
			case "DELETE" -> delete(kind, name, query.get("revision"));
			default -> Message.response(400, new byte[0]);
		};
	}

	private synchronized Message read(String kind, String name) {
		StoreObject known = kind(kind).get(name);
		return (known != null) ? json(200, known.view()) : json(404, Map.of());
	}

	private synchronized Message list(String kind, String after) {
		List<Object> items = new ArrayList<>();
		long characters = 0;
		boolean more = false;
		for (StoreObject object : kind(kind).tailMap(after, false).values()) {
			if (items.size() == MAX_LISTED_OBJECTS || (characters > 0 && characters > MAX_LISTED_CHARACTERS)) {
				more = true;
				break;
			}
			items.add(object.view());
			characters += Json.write(object.spec).length();
		}
		return json(200, Json.map("items", items, "has_more", more, "as_of", this.revision));
	}

	private synchronized Message watch(String kind, Map<String, String> query) {
		long since = Long.parseLong(query.get("watch"));
		long end = System.nanoTime() + 1_000_000L * Long.parseLong(query.getOrDefault("wait_ms", "0"));
		while (true) {
			List<Object> events = new ArrayList<>();
			for (int index = this.history.size() - 1; index >= 0; index--) {
				Event event = this.history.get(index);
				if (event.object.revision <= since) {
					break;
				}
				if (event.kind.equals(kind)) {
					events.add(0, Json.map("removed", event.removed, "object", event.object.view()));
				}
			}
			long left = (end - System.nanoTime()) / 1_000_000L;
			if (!events.isEmpty() || left <= 0) {
				return json(200, Json.map("events", events, "as_of", this.revision));
			}
			try {
				wait(left);
			}
			catch (InterruptedException ex) {
				throw new IllegalStateException(ex);
			}
		}
	}

	private synchronized Message create(String kind, Map<String, Object> body) {
		String name = (String) metadata(body).get("name");
		StoreObject known = kind(kind).get(name);
		if (known != null) {
			return json(409, known.view());
		}
		long next = ++this.revision;
		changed(kind, new StoreObject(name, next, next, body.get("spec"), null), false);
		return json(200, kind(kind).get(name).view());
	}

	private synchronized Message replace(String kind, String name, boolean status, Map<String, Object> body) {
		StoreObject known = kind(kind).get(name);
		if (known == null) {
			return json(404, Map.of());
		}
		Object expected = metadata(body).get("revision");
		if (expected instanceof Long number && number != known.revision) {
			return json(409, known.view());
		}
		Object spec = status ? known.spec : body.get("spec");
		Object newStatus = status ? body.get("status") : known.status;
		if (!Objects.equals(spec, known.spec) || !Objects.equals(newStatus, known.status)) {
			changed(kind, new StoreObject(name, ++this.revision, known.created, spec, newStatus), false);
		}
		return json(200, kind(kind).get(name).view());
	}

	private synchronized Message delete(String kind, String name, String expected) {
		StoreObject known = kind(kind).get(name);
		if (known == null) {
			return json(404, Map.of());
		}
		if (expected != null && Long.parseLong(expected) != known.revision) {
			return json(409, known.view());
		}
		remove(kind, name);
		return json(200, known.view());
	}

	@SuppressWarnings("unchecked")
	private static Map<String, Object> metadata(Map<String, Object> body) {
		return (Map<String, Object>) body.getOrDefault("metadata", Map.of());
	}

	private void serveCloud(Socket connection, InputStream in, OutputStream out) throws IOException {
		for (Message request = Message.read(in); request != null; request = Message.read(in)) {
			this.record.line("platform received %s from %s, generation %s: %s", request.target(),
					request.header("X-Duty-Holder"), request.header("X-Fence-Token"), request.text());
			json(200, Map.of()).send(out);
		}
	}

	private static Message json(int status, Object body) {
		return Message.response(status, Json.write(body).getBytes(StandardCharsets.UTF_8), "Content-Type",
				"application/json");
	}

	static void pause(long millis) {
		try {
			Thread.sleep(millis);
		}
		catch (InterruptedException ex) {
			throw new IllegalStateException(ex);
		}
	}

	@Override
	public void close() throws IOException {
		this.store.close();
		this.cloud.close();
	}

	private record Event(String kind, StoreObject object, boolean removed) {
	}

	private record StoreObject(String name, long revision, long created, Object spec, Object status) {

		private Map<String, Object> view() {
			return Json.map("metadata",
					Json.map("name", this.name, "revision", this.revision, "create_rev", this.created, "finalizers",
							List.of(), "deleting", false),
					"spec", this.spec, "status", this.status);
		}

	}

}
