package org.bamboorelay.entry.process;

import java.io.IOException;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.stream.IntStream;

import io.vavr.control.Either;
import org.bamboorelay.core.failure.Refusal;
import org.bamboorelay.core.failure.RefusalReason;
import org.bamboorelay.core.version.Configuration;
import org.bamboorelay.core.version.EndpointId;
import org.bamboorelay.core.version.FailureDomain;
import org.bamboorelay.core.version.HostId;
import org.bamboorelay.core.version.Inventory;
import org.bamboorelay.core.version.KeyHash;
import org.bamboorelay.core.version.KeyTable;
import org.bamboorelay.core.version.Rules;
import org.bamboorelay.core.version.ServiceId;
import org.bamboorelay.core.version.WorkspaceId;
import org.bamboorelay.entry.connection.RawHttpMessage;
import org.bamboorelay.entry.request.Credit;
import org.bamboorelay.entry.request.CreditSource;
import org.bamboorelay.entry.request.RouteRequest;
import org.bamboorelay.entry.version.EntrySettings;

/**
 * An entry process on free loopback ports, with a credit source that selects the given
 * endpoints in order.
 */
final class TestEntry implements AutoCloseable {

	static final String KEY_NORTE = "key-of-norte-0123456789";

	static final String KEY_SUR = "key-of-sur-0123456789";

	private static final int READ_TIMEOUT_MILLIS = 30_000;

	private static final String NO_STORE = "127.0.0.1:1";

	private final EntryProcess process;

	private final List<Credit.Outcome> outcomes = new CopyOnWriteArrayList<>();

	private TestEntry(String host, List<String> peers, String store, int readTimeoutMillis, List<String> endpoints)
			throws IOException {
		EntrySettings settings = new EntrySettings("huerto", HostId.of(host), FailureDomain.of("gt-centro-a"),
				"127.0.0.1:0", "127.0.0.1:0", store, "operator-secret", 0, peers);
		CreditSource credits = (request) -> credit(request, endpoints);
		this.process = EntryProcess.start(settings, (dependencies) -> credits, readTimeoutMillis);
	}

	static TestEntry with(String... endpoints) throws IOException {
		return withStore("host-1", NO_STORE, endpoints);
	}

	static TestEntry withReadTimeout(int millis, String... endpoints) throws IOException {
		return makeReady(new TestEntry("host-1", List.of(), NO_STORE, millis, List.of(endpoints)));
	}

	static TestEntry withStore(String host, String store, String... endpoints) throws IOException {
		return makeReady(new TestEntry(host, List.of(), store, READ_TIMEOUT_MILLIS, List.of(endpoints)));
	}

	private static TestEntry makeReady(TestEntry entry) {
		entry.process.configuration().accept(configuration(1), 0);
		entry.process.configuration().recordPeerVersion(1);
		entry.process.configuration().recordContact();
		entry.process.configuration().recordPeersQueried();
		return entry;
	}

	static TestEntry peer(String host, String... peers) throws IOException {
		return new TestEntry(host, List.of(peers), NO_STORE, READ_TIMEOUT_MILLIS, List.of());
	}

	/**
	 * Creates a configuration in which workspace norte may use all services, and sur only
	 * the model service.
	 */
	static Configuration configuration(long version) {
		ServiceId app = ServiceId.of("cuotas-app");
		ServiceId model = ServiceId.of("modelo-huerto");
		Inventory inventory = new Inventory("huerto",
				List.of(new Inventory.DomainEntry(FailureDomain.of("gt-centro-a"), "gt")), List.of(),
				List.of(new Inventory.ServiceEntry(app, Inventory.ServiceKind.PLAIN, 1, 4, 0, true, List.of("/open"),
						List.of("/repeatable")),
						new Inventory.ServiceEntry(model, Inventory.ServiceKind.MODEL, 1, 4, 0, true, List.of(),
								List.of())),
				List.of(new Inventory.WorkspaceEntry(WorkspaceId.of("norte"), 1, List.of(app, model), List.of()),
						new Inventory.WorkspaceEntry(WorkspaceId.of("sur"), 1, List.of(model), List.of())));
		Rules rules = new Rules(List.of(), List.of(), List.of(), new Rules.AdmissionRule(10, 1_000, 1_000),
				new Rules.UsageRule(1_000, 100), new Rules.IsolationRule(Rules.WhenIsolated.REFUSE, 4_000),
				new Rules.PolicyRule("fair", "affinity", "ramp", "demand", "waves", "resume"));
		KeyTable keys = KeyTable.empty()
			.withGrant(KeyHash.ofKey(KEY_NORTE), WorkspaceId.of("norte"))
			.withGrant(KeyHash.ofKey(KEY_SUR), WorkspaceId.of("sur"));
		return new Configuration(version, inventory, rules, keys, Set.of());
	}

	EntryProcess process() {
		return this.process;
	}

	List<Credit.Outcome> outcomes() {
		return this.outcomes;
	}

	Socket connect() throws IOException {
		Socket socket = new Socket("127.0.0.1", this.process.httpPort());
		socket.setSoTimeout(10_000);
		return socket;
	}

	RawHttpMessage send(String raw) throws IOException {
		try (Socket socket = connect()) {
			return send(socket, raw);
		}
	}

	static RawHttpMessage send(Socket socket, String raw) throws IOException {
		socket.getOutputStream().write(raw.getBytes(StandardCharsets.UTF_8));
		return RawHttpMessage.read(socket.getInputStream());
	}

	static String request(String method, String target, String key, String body, String... headers) {
		List<String> lines = new ArrayList<>(List.of(method + " " + target + " HTTP/1.1", "Host: relay"));
		if (key != null) {
			lines.add("Authorization: Bearer " + key);
		}
		lines.addAll(List.of(headers));
		if (!body.isEmpty()) {
			lines.add("Content-Type: application/json");
			lines.add("Content-Length: " + body.length());
		}
		return String.join("\r\n", lines) + "\r\n\r\n" + body;
	}

	@Override
	public void close() {
		this.process.close();
	}

	private Either<Refusal, Credit> credit(RouteRequest request, List<String> endpoints) {
		return IntStream.range(0, endpoints.size())
			.filter((i) -> !request.excluded().contains(EndpointId.of("endpoint-" + i)))
			.boxed()
			.findFirst()
			.<Either<Refusal, Credit>>map((i) -> Either
				.right(new TestCredit(EndpointId.of("endpoint-" + i), endpoints.get(i), this.outcomes)))
			.orElseGet(() -> Either.left(Refusal.notExecuted(RefusalReason.NO_ENDPOINT, "all endpoints are excluded")));
	}

	private record TestCredit(EndpointId endpoint, String address, List<Credit.Outcome> outcomes) implements Credit {

		@Override
		public void end(Outcome outcome, long firstByteMillis, long tokens) {
			this.outcomes.add(outcome);
		}

	}

}
