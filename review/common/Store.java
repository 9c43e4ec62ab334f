package review.common;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.ConcurrentHashMap;
import java.util.function.Predicate;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;

/**
 * Stand-in for the platform's store and for the address that receives the calls of duties.
 */
public final class Store implements AutoCloseable {

	private final ObjectMapper mapper = new ObjectMapper();

	private final Map<String, TreeMap<String, ObjectNode>> kinds = new TreeMap<>();

	private final List<Event> events = new ArrayList<>();

	private final Map<Long, Watch> watches = new ConcurrentHashMap<>();

	private final Http.Server server;

	private final Log log;

	private long revision = 1;

	private long watchCount;

	private volatile Predicate<Http.Request> loseAnswer = (request) -> false;

	public Store(String ip, Log log) throws IOException {
		this.log = log;
		this.server = Http.listen(ip, this::handle);
	}

	public String address() {
		return this.server.address();
	}

	/** Writes an object as the operator or a server does; the return is the ack. */
	public synchronized void put(String kind, String name, String spec) {
		try {
			write(kind, name, this.mapper.readTree(spec.replace('\'', '"')));
		}
		catch (IOException ex) {
			throw new IllegalArgumentException(spec, ex);
		}
	}

	public synchronized void remove(String kind, String name) {
		ObjectNode object = kind(kind).remove(name);
		if (object != null) {
			this.events.add(new Event(++this.revision, kind, object, true));
			notifyAll();
		}
	}

	public synchronized JsonNode spec(String kind, String name) {
		ObjectNode object = kind(kind).get(name);
		return (object != null) ? object.path("spec") : null;
	}

	public synchronized int count(String kind) {
		return kind(kind).size();
	}

	/** Loses the answers of the writes that a test accepts: done, and not answered. */
	public void loseAnswers(Predicate<Http.Request> test) {
		this.loseAnswer = test;
	}

	/** Cuts off the watches of a kind that are waiting now. */
	public synchronized int cutWatches(String kind) {
		int cut = 0;
		for (Watch watch : this.watches.values()) {
			if (watch.kind.equals(kind)) {
				watch.cut = true;
				cut++;
			}
		}
		notifyAll();
		return cut;
	}

	@Override
	public void close() {
		this.server.close();
	}

	private void handle(Http.Request request, Http.Exchange exchange) throws Exception {
		String path = request.pathWithoutQuery();
		if (!path.startsWith("/objects/")) {
			this.log.line("duty " + path + " holder=" + request.header("X-Duty-Holder") + " fence="
					+ request.header("X-Fence-Token") + " " + request.text());
			exchange.reply(200, "{}");
			return;
		}
		String[] parts = path.substring("/objects/".length()).split("/");
		if (request.method().equals("GET") && parts.length == 1 && request.path().contains("watch=")) {
			watch(parts[0], request, exchange);
			return;
		}
		Reply reply;
		synchronized (this) {
			reply = request.method().equals("GET") ? read(parts, request) : change(parts, request);
		}
		if (!request.method().equals("GET") && reply.status == 200 && this.loseAnswer.test(request)) {
			this.log.line("store: done and not answered: " + request.method() + " " + path);
			exchange.close();
			return;
		}
		exchange.reply(reply.status, reply.body);
	}

	private Reply read(String[] parts, Http.Request request) {
		if (parts.length > 1) {
			ObjectNode object = kind(parts[0]).get(parts[1]);
			return (object != null) ? new Reply(200, object.toString()) : new Reply(404, "{}");
		}
		ObjectNode response = this.mapper.createObjectNode();
		ArrayNode items = response.putArray("items");
		kind(parts[0]).tailMap(request.parameter("after", ""), false).values().forEach(items::add);
		response.put("has_more", false);
		response.put("as_of", this.revision);
		return new Reply(200, response.toString());
	}

	private Reply change(String[] parts, Http.Request request) throws IOException {
		String kind = parts[0];
		if (request.method().equals("DELETE")) {
			ObjectNode object = kind(kind).get(parts[1]);
			if (object == null) {
				return new Reply(404, "{}");
			}
			long expected = Long.parseLong(request.parameter("revision", "0"));
			if (expected > 0 && object.at("/metadata/revision").asLong() != expected) {
				return new Reply(409, object.toString());
			}
			remove(kind, parts[1]);
			return new Reply(200, object.toString());
		}
		JsonNode envelope = this.mapper.readTree(request.body());
		String name = (parts.length > 1) ? parts[1] : envelope.at("/metadata/name").asText();
		ObjectNode current = kind(kind).get(name);
		if (request.method().equals("POST")) {
			return (current != null) ? new Reply(409, current.toString())
					: new Reply(200, write(kind, name, envelope.path("spec")).toString());
		}
		if (current == null) {
			return new Reply(404, "{}");
		}
		long expected = envelope.at("/metadata/revision").asLong();
		if (expected > 0 && current.at("/metadata/revision").asLong() != expected) {
			return new Reply(409, current.toString());
		}
		if (parts.length > 2) {
			current.set("status", envelope.path("status"));
			return new Reply(200, current.toString());
		}
		if (current.path("spec").equals(envelope.path("spec"))) {
			return new Reply(200, current.toString());
		}
		return new Reply(200, write(kind, name, envelope.path("spec")).toString());
	}

	private void watch(String kind, Http.Request request, Http.Exchange exchange) throws Exception {
		long since = Long.parseLong(request.parameter("watch", "0"));
		long end = System.nanoTime() + Long.parseLong(request.parameter("wait_ms", "0")) * 1_000_000L;
		String body = null;
		synchronized (this) {
			Watch watch = new Watch(kind);
			long id = ++this.watchCount;
			this.watches.put(id, watch);
			try {
				while (body == null && !watch.cut) {
					ObjectNode response = this.mapper.createObjectNode();
					ArrayNode list = response.putArray("events");
					for (Event event : this.events) {
						if (event.at > since && event.kind.equals(kind)) {
							ObjectNode node = list.addObject();
							node.put("removed", event.removed);
							node.set("object", event.object);
						}
					}
					response.put("as_of", this.revision);
					long remainingMillis = (end - System.nanoTime()) / 1_000_000L;
					if (!list.isEmpty() || remainingMillis <= 0) {
						body = response.toString();
					}
					else {
						wait(remainingMillis);
					}
				}
			}
			finally {
				this.watches.remove(id);
			}
		}
		if (body == null) {
			exchange.close();
			return;
		}
		exchange.reply(200, body);
	}

	private ObjectNode write(String kind, String name, JsonNode spec) {
		ObjectNode known = kind(kind).get(name);
		ObjectNode object = this.mapper.createObjectNode();
		ObjectNode metadata = object.putObject("metadata");
		metadata.put("name", name).put("revision", ++this.revision);
		metadata.put("create_rev", (known != null) ? known.at("/metadata/create_rev").asLong() : this.revision);
		metadata.putArray("finalizers");
		metadata.put("deleting", false);
		object.set("spec", spec);
		object.set("status", (known != null) ? known.get("status") : null);
		kind(kind).put(name, object);
		this.events.add(new Event(this.revision, kind, object.deepCopy(), false));
		notifyAll();
		return object;
	}

	private TreeMap<String, ObjectNode> kind(String kind) {
		return this.kinds.computeIfAbsent(kind, (unused) -> new TreeMap<>());
	}

	private record Event(long at, String kind, ObjectNode object, boolean removed) {
	}

	private record Reply(int status, String body) {
	}

	private static final class Watch {

		private final String kind;

		private boolean cut;

		private Watch(String kind) {
			this.kind = kind;
		}

	}

}
