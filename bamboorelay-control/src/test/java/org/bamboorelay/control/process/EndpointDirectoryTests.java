package org.bamboorelay.control.process;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Map;
import java.util.Queue;
import java.util.TreeMap;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.TimeUnit;

import io.vavr.control.Either;
import io.vavr.control.Option;
import org.apache.hc.core5.http.ClassicHttpRequest;
import org.apache.hc.core5.http.HttpException;
import org.bamboorelay.control.connection.EntryLinks;
import org.bamboorelay.control.connection.PlatformClient;
import org.bamboorelay.control.version.ControlSettings;
import org.bamboorelay.core.connection.PeerMessage;
import org.bamboorelay.core.store.ObjectStore;
import org.bamboorelay.core.store.StoreFailure;
import org.bamboorelay.core.store.StoredObject;
import org.bamboorelay.core.version.EndpointId;
import org.bamboorelay.core.version.FailureDomain;
import org.bamboorelay.core.version.HostId;
import org.bamboorelay.runtime.connection.HttpConnectionPool;
import org.bamboorelay.runtime.connection.HttpListener;
import org.bamboorelay.runtime.connection.PeerListener;
import org.bamboorelay.runtime.process.Counters;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Guards against new work for a leaving endpoint: each source that reports it as leaving
 * must be sufficient on its own, since lists lag and an endpoint may not report it.
 */
@Timeout(30)
class EndpointDirectoryTests {

	private static final FailureDomain DOMAIN = FailureDomain.of("gt-centro-a");

	private static final EndpointId ENDPOINT = EndpointId.of("e1");

	private final HttpConnectionPool pool = new HttpConnectionPool();

	private final Map<String, String> responses = new TreeMap<>();

	private final OrderLogStore store = new OrderLogStore();

	private HttpListener platform;

	private final ExecutorService threads = Executors.newCachedThreadPool();

	private EntryLinks links;

	private boolean needed = true;

	private volatile int polls;

	private EndpointDirectory directory;

	@BeforeEach
	void open() throws IOException {
		this.platform = HttpListener.open("127.0.0.1", 0, this::respond, (ex) -> {
		});
		String address = "127.0.0.1:" + this.platform.port();
		ControlSettings settings = new ControlSettings("huerto", HostId.of("control-1"), DOMAIN, address, address,
				address, address, 1, List.of(), address);
		this.links = new EntryLinks(hello(settings.host(), "control"), this.threads);
		this.directory = new EndpointDirectory(new ControlContext(settings, "incarnation", this.store,
				PlatformClient.of(this.pool), this.links, Counters.create(), Runnable::run), () -> this.needed);
		hosts("live");
		orders("live");
		load(false);
	}

	@AfterEach
	void close() {
		this.links.close();
		this.threads.shutdownNow();
		this.platform.close();
		this.pool.close();
	}

	@Test
	void endpointThatNoSourceReportsAsLeavingIsAvailable() {
		this.directory.run();
		this.directory.readStore();
		this.directory.run();
		assertThat(isLeaving()).isFalse();
	}

	@Test
	void endpointLeavingInHostListIsLeaving() {
		hosts("leaving");
		this.directory.run();
		assertThat(isLeaving()).isTrue();
	}

	@Test
	void endpointLeavingInLoadReportIsLeaving() {
		load(true);
		this.directory.run();
		assertThat(isLeaving()).isTrue();
	}

	@Test
	void endpointStoppedByThisProcessIsLeaving() {
		this.directory.run();
		this.directory.onStopOrdered(ENDPOINT);
		this.directory.run();
		assertThat(isLeaving()).isTrue();
	}

	@Test
	void endpointStoppedByAnotherHolderIsLeaving() {
		this.store.body = "{\"token\":\"t\",\"fencing\":1,\"open\":[{\"order_id\":\"a-1-1\",\"action\":\"stop\","
				+ "\"service\":\"cuotas-app\",\"domain\":\"gt-centro-a\",\"kind\":\"steady\",\"endpoint\":\"e1\"}],"
				+ "\"shortages\":[]}";
		this.directory.readStore();
		this.directory.run();
		assertThat(isLeaving()).isTrue();
	}

	@Test
	void endpointStoppingInOrderingListIsLeaving() {
		orders("stopping");
		this.directory.run();
		assertThat(isLeaving()).isTrue();
	}

	@Test
	void endpointRemovedFromOrderingListIsLeavingWhileHostListLags() {
		this.directory.run();
		this.responses.put("/endpoints", "[]");
		this.directory.run();
		assertThat(isLeaving()).isTrue();
	}

	/**
	 * Guards against polls by every process of a domain, and against orders based on the
	 * view of a process that has just become the lease holder or was it long ago.
	 */
	@Test
	void processThatNeedsNoEndpointsPollsNoneAndListsNone() {
		this.needed = false;
		this.directory.run();
		assertThat(this.polls).isZero();
		assertThat(this.directory.isKnown()).isFalse();
		this.needed = true;
		this.directory.run();
		assertThat(this.polls).isEqualTo(1);
		assertThat(this.directory.isKnown()).isTrue();
		assertThat(this.directory.endpoints()).hasSize(1);
		this.needed = false;
		this.directory.run();
		assertThat(this.directory.isKnown()).isFalse();
		assertThat(this.directory.endpoints()).isEmpty();
	}

	@Test
	void endpointRemovedFromOrderingListDuringStandbyIsLeaving() {
		this.needed = false;
		this.directory.run();
		this.responses.put("/endpoints", "[]");
		this.needed = true;
		this.directory.run();
		assertThat(isLeaving()).isTrue();
	}

	@Test
	void endpointsAreNotKnownWithoutHostList() {
		this.responses.remove("/hosts");
		this.directory.run();
		assertThat(this.directory.isKnown()).isFalse();
	}

	/**
	 * Guards against a host that stays without endpoints because it is offered only the
	 * content hash, and against a new reader that publishes a stopping endpoint as
	 * available because it has not read the order log.
	 */
	@Test
	void hostWithoutEndpointSetReceivesItAfterReaderHasReadAllSources() throws IOException {
		Queue<PeerMessage> received = new ConcurrentLinkedQueue<>();
		PeerMessage.Hello entry = hello(HostId.of("control-1"), "entry");
		try (PeerListener listener = PeerListener.open("127.0.0.1", 0, entry, (link, message) -> {
			received.add(message);
			return (message instanceof PeerMessage.EndpointSet) ? new PeerMessage.Ack(true)
					: new PeerMessage.Rejected(PeerMessage.EndpointSetOffer.NEED_SET, "not held");
		}, (end) -> {
		}, this.threads)) {
			this.links.setAddresses(List.of("127.0.0.1:" + listener.port()));
			long start = System.nanoTime();
			this.directory.run();
			boolean withinNewReaderTimeout = System.nanoTime() - start < TimeUnit.SECONDS.toNanos(2);
			assertThat(!withinNewReaderTimeout || received.isEmpty()).isTrue();
			this.directory.readStore();
			this.directory.run();
			assertThat(received).hasAtLeastOneElementOfType(PeerMessage.EndpointSetOffer.class)
				.hasAtLeastOneElementOfType(PeerMessage.EndpointSet.class);
		}
	}

	private static PeerMessage.Hello hello(HostId host, String role) {
		return PeerMessage.Hello.of("huerto", host, DOMAIN, role, role);
	}

	private boolean isLeaving() {
		assertThat(this.directory.endpoints()).hasSize(1);
		return this.directory.endpoints().get(0).info().leaving();
	}

	private void hosts(String state) {
		this.responses.put("/hosts", "[" + endpoint(state) + "]");
	}

	private void orders(String state) {
		this.responses.put("/endpoints", "[" + endpoint(state) + "]");
	}

	private void load(boolean leaving) {
		this.responses.put("/load",
				"{\"incarnation\":\"one\",\"warm\":true,\"running\":0,\"waiting\":0,\"capacity\":4,\"leaving\":"
						+ leaving + ",\"weight_versions\":{},\"at_ms\":1}");
	}

	private String endpoint(String state) {
		return "{\"endpoint\":\"e1\",\"address\":\"127.0.0.1:" + this.platform.port()
				+ "\",\"domain\":\"gt-centro-a\",\"service\":\"cuotas-app\",\"kind\":\"steady\",\"state\":\"" + state
				+ "\"}";
	}

	private void respond(ClassicHttpRequest request, HttpListener.Responder responder)
			throws HttpException, IOException {
		String path = request.getPath().replaceAll("\\?.*", "");
		this.polls += path.equals("/load") ? 1 : 0;
		responder.send(200, "application/json", this.responses.get(path));
	}

	/** Object store that contains only the order log. */
	private static final class OrderLogStore implements ObjectStore {

		private String body = "";

		@Override
		public Either<StoreFailure, Option<StoredObject>> read(String key) {
			return Either.right(this.body.isEmpty() ? Option.none()
					: Option.some(new StoredObject(key, 1, this.body.getBytes(StandardCharsets.UTF_8))));
		}

		@Override
		public Either<StoreFailure, Long> create(String key, byte[] body) {
			throw new UnsupportedOperationException("the directory writes nothing");
		}

		@Override
		public Either<StoreFailure, Long> replace(String key, byte[] body, long expectedVersion) {
			throw new UnsupportedOperationException("the directory writes nothing");
		}

		@Override
		public Either<StoreFailure, Long> delete(String key, long expectedVersion) {
			throw new UnsupportedOperationException("the directory writes nothing");
		}

		@Override
		public Either<StoreFailure, List<Entry>> list(String prefix) {
			return Either.right(List.of());
		}

	}

}
