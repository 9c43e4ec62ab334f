package org.bamboorelay.host.version;

import java.util.List;
import java.util.Objects;
import java.util.Set;
import java.util.function.Function;
import java.util.function.Supplier;

import io.vavr.control.Either;
import io.vavr.control.Option;
import org.bamboorelay.core.connection.PeerMessage;
import org.bamboorelay.core.process.MemoryBudget;
import org.bamboorelay.core.process.RendezvousHash;
import org.bamboorelay.core.store.StoreFailure;
import org.bamboorelay.core.store.StoredObject;
import org.bamboorelay.core.store.WatchableStore;
import org.bamboorelay.core.time.Clock;
import org.bamboorelay.core.version.HostId;
import org.bamboorelay.host.connection.HostMesh;
import org.bamboorelay.host.process.EventLog;
import org.bamboorelay.runtime.connection.PeerFailure;
import org.bamboorelay.runtime.process.Counters;

/**
 * The platform's store, called through another host while this host cannot reach it. Each
 * call is made once; a call whose response is lost may have taken effect, whether it was
 * sent directly or through another host.
 * <p>
 * Thread-safe.
 */
public final class PeerFallbackStore implements WatchableStore {

	private static final String WATCH_OPERATION = "changes";

	/**
	 * Time after a failed direct call for which calls go through another host, in
	 * milliseconds.
	 */
	private static final long FALLBACK_MILLIS = 1_000;

	/**
	 * Timeout of a call through another host, in addition to the wait of the call itself,
	 * in milliseconds.
	 */
	private static final long PEER_TIMEOUT_MILLIS = 1_500;

	/** Code with which a host rejects a call that it has no memory for. */
	private static final String BUSY = "busy";

	/**
	 * Divisor of the maximum heap size that gives the memory for calls on behalf of other
	 * hosts.
	 */
	private static final long RELAY_MEMORY_DIVISOR = 6;

	/**
	 * Memory reserved for a call on behalf of another host, in bytes. An object or a page
	 * of a list has up to 1 MB, which is held once as text and once decoded.
	 */
	private static final long RESPONSE_BYTES = 2 * 1_048_576;

	/**
	 * Memory reserved for a watch on behalf of another host, in bytes; most return one
	 * change.
	 */
	private static final long CHANGES_BYTES = 65_536;

	/** Maximum wait of a watch call through another host, in milliseconds. */
	private static final long MAX_PEER_WAIT_MILLIS = 1_000;

	private final WatchableStore direct;

	private final MemoryBudget relayMemory = MemoryBudget.of(Runtime.getRuntime().maxMemory() / RELAY_MEMORY_DIVISOR);

	private final HostMesh mesh;

	private final Clock clock;

	private final Counters counters;

	private final EventLog log;

	private volatile long fallbackUntilMillis = Long.MIN_VALUE / 2;

	private volatile boolean directlyReachable = true;

	private volatile long lastResponseMillis = Long.MIN_VALUE / 2;

	private volatile boolean domainCutOff;

	/**
	 * Creates a store.
	 * @param direct the direct connection to the store
	 * @param mesh the other hosts
	 * @param clock the monotonic clock of the process
	 * @param counters the metrics of the process
	 * @param log the log of the process
	 */
	public PeerFallbackStore(WatchableStore direct, HostMesh mesh, Clock clock, Counters counters, EventLog log) {
		this.direct = Objects.requireNonNull(direct, "direct");
		this.mesh = Objects.requireNonNull(mesh, "mesh");
		this.clock = Objects.requireNonNull(clock, "clock");
		this.counters = Objects.requireNonNull(counters, "counters");
		this.log = Objects.requireNonNull(log, "log");
		mesh.register(PeerMessage.StoreRequest.class, this::respond);
	}

	/**
	 * Returns the number of bytes of the store calls that are relayed for other hosts.
	 * @return the number of bytes
	 */
	public long relayedBytes() {
		return this.relayMemory.reservedBytes();
	}

	/**
	 * Returns whether this host reaches the store directly.
	 * @return false from a failed direct call until the next one that succeeds
	 */
	public boolean isDirectlyReachable() {
		return this.directlyReachable;
	}

	/**
	 * Returns when the store answered a direct call of this host last.
	 * @return the time, in milliseconds of the clock of the process
	 */
	public long lastResponseMillis() {
		return this.lastResponseMillis;
	}

	/**
	 * Sets whether the failure domain of this host is cut off. Meanwhile calls fail at
	 * once instead of timing out, except watches and probes, which notice the end.
	 * @param domainCutOff whether neither the store nor another domain is reached
	 */
	public void domainCutOff(boolean domainCutOff) {
		this.domainCutOff = domainCutOff;
	}

	/**
	 * Reads an object directly from the store to find out whether the store answers.
	 * @param key the key of any object
	 */
	public void probe(String key) {
		callDirectly(() -> this.direct.read(key), "read", key);
	}

	@Override
	public Either<StoreFailure, Option<StoredObject>> read(String key) {
		return call(() -> this.direct.read(key), new PeerMessage.StoreRequest("read", key, "", 0, 0, new byte[0]),
				(response) -> Option
					.ofOptional(response.objects().stream().map(PeerFallbackStore::toStoredObject).findFirst()));
	}

	@Override
	public Either<StoreFailure, Long> create(String key, byte[] body) {
		return call(() -> this.direct.create(key, body), new PeerMessage.StoreRequest("create", key, "", 0, 0, body),
				PeerMessage.StoreResponse::number);
	}

	@Override
	public Either<StoreFailure, Long> replace(String key, byte[] body, long expectedVersion) {
		return call(() -> this.direct.replace(key, body, expectedVersion),
				new PeerMessage.StoreRequest("replace", key, "", expectedVersion, 0, body),
				PeerMessage.StoreResponse::number);
	}

	@Override
	public Either<StoreFailure, Long> delete(String key, long expectedVersion) {
		return call(() -> this.direct.delete(key, expectedVersion),
				new PeerMessage.StoreRequest("delete", key, "", expectedVersion, 0, new byte[0]),
				PeerMessage.StoreResponse::number);
	}

	@Override
	public Either<StoreFailure, Long> writeStatus(String key, byte[] status) {
		return call(() -> this.direct.writeStatus(key, status),
				new PeerMessage.StoreRequest("status", key, "", 0, 0, status), PeerMessage.StoreResponse::number);
	}

	@Override
	public Either<StoreFailure, List<Entry>> list(String prefix) {
		countCall("list", prefix);
		return this.direct.list(prefix);
	}

	@Override
	public Either<StoreFailure, Page> listPage(String kind, String after) {
		return call(() -> this.direct.listPage(kind, after),
				new PeerMessage.StoreRequest("page", kind, after, 0, 0, new byte[0]),
				(response) -> new Page(response.objects().stream().map(PeerFallbackStore::toStoredObject).toList(),
						response.more(), response.number()));
	}

	@Override
	public Either<StoreFailure, Changes> awaitChanges(String kind, long since, long waitMillis) {
		return call(() -> this.direct.awaitChanges(kind, since, waitMillis),
				new PeerMessage.StoreRequest(WATCH_OPERATION, kind, "", since,
						Math.min(waitMillis, MAX_PEER_WAIT_MILLIS), new byte[0]),
				(response) -> new Changes(response.objects()
					.stream()
					.map((object) -> new Change(toStoredObject(object), object.removed()))
					.toList(), response.number()));
	}

	private <T> Either<StoreFailure, T> call(Supplier<Either<StoreFailure, T>> directCall,
			PeerMessage.StoreRequest request, Function<PeerMessage.StoreResponse, T> decoder) {
		if (this.domainCutOff && !request.operation().equals(WATCH_OPERATION)) {
			return Either.left(new StoreFailure.Unavailable("the domain of this host is cut off from the store"));
		}
		if (this.clock.millis() >= this.fallbackUntilMillis || this.mesh.hostsReachingStore().isEmpty()) {
			Either<StoreFailure, T> result = callDirectly(directCall, request.operation(), request.key());
			if (result.isRight() || !isUnreachable(result.getLeft())) {
				return result;
			}
			this.fallbackUntilMillis = this.clock.millis() + FALLBACK_MILLIS;
			if (result.getLeft() instanceof StoreFailure.OutcomeUnknown) {
				return result;
			}
		}
		return callThroughPeer(request).map(decoder);
	}

	private <T> Either<StoreFailure, T> callDirectly(Supplier<Either<StoreFailure, T>> directCall, String operation,
			String key) {
		countCall(operation, key);
		Either<StoreFailure, T> result = directCall.get();
		boolean storeResponded = result.isRight() || !isUnreachable(result.getLeft());
		if (storeResponded) {
			this.lastResponseMillis = this.clock.millis();
		}
		if (storeResponded != this.directlyReachable) {
			this.directlyReachable = storeResponded;
			this.log.info(storeResponded ? "store-reached" : "store-not-reached", "call", operation, "key", key,
					"outcome", storeResponded ? "ok" : result.getLeft().detail());
		}
		return result;
	}

	private Either<StoreFailure, PeerMessage.StoreResponse> callThroughPeer(PeerMessage.StoreRequest request) {
		List<String> hosts = rankedHosts(this.mesh.hostsReachingStore());
		for (String host : hosts) {
			Either<PeerFailure, PeerMessage> response = this.mesh.call(host, request,
					request.waitMillis() + PEER_TIMEOUT_MILLIS);
			if (response.isRight() && response.get() instanceof PeerMessage.StoreResponse result) {
				return result.failure().isEmpty() ? Either.right(result) : Either.left(toFailure(request, result));
			}
			if (response.isLeft() && !isNotMade(response.getLeft())) {
				return Either
					.left(new StoreFailure.OutcomeUnknown("through " + host + ": " + response.getLeft().detail()));
			}
		}
		return Either.left(new StoreFailure.Unavailable("neither this host nor " + hosts + " reaches the store"));
	}

	// Each host prefers another one, so that the hosts that lose the store together do
	// not
	// all call through the same host.
	private List<String> rankedHosts(Set<String> hosts) {
		return RendezvousHash.ranked(this.mesh.host(), hosts.stream().map(HostId::of).toList())
			.stream()
			.map(HostId::value)
			.toList();
	}

	private static boolean isNotMade(PeerFailure failure) {
		return failure instanceof PeerFailure.Unreachable
				|| (failure instanceof PeerFailure.Rejected rejected && rejected.reason().equals(BUSY));
	}

	// Each call is billed. The kinds that contain the id of a submission are counted as
	// one.
	private void countCall(String call, String key) {
		String kind = key.contains("/") ? key.substring(0, key.indexOf('/')) : key;
		boolean results = kind.startsWith(SubmissionStore.RESULTS_KIND_PREFIX);
		this.counters
			.counter("store_calls_total", "call", call + " " + (results ? SubmissionStore.RESULTS_KIND_PREFIX : kind))
			.inc();
	}

	private PeerMessage respond(PeerMessage.StoreRequest request) {
		long reservedBytes = request.operation().equals(WATCH_OPERATION) ? CHANGES_BYTES : RESPONSE_BYTES;
		if (!this.relayMemory.reserve(reservedBytes)) {
			this.counters.counter("store_calls_for_peers_refused_total").inc();
			return new PeerMessage.Rejected(BUSY, "calls for other hosts use all memory reserved for them");
		}
		try {
			return callFor(request);
		}
		finally {
			this.relayMemory.release(reservedBytes);
		}
	}

	private PeerMessage callFor(PeerMessage.StoreRequest request) {
		countCall(request.operation(), request.key());
		return switch (request.operation()) {
			case "read" -> encode(this.direct.read(request.key()), (found) -> respond(0, false,
					found.toJavaList().stream().map(PeerFallbackStore::toRelayedObject).toList()));
			case "create" -> encode(this.direct.create(request.key(), request.body()), PeerFallbackStore::respond);
			case "replace" -> encode(this.direct.replace(request.key(), request.body(), request.number()),
					PeerFallbackStore::respond);
			case "delete" -> encode(this.direct.delete(request.key(), request.number()), PeerFallbackStore::respond);
			case "status" -> encode(this.direct.writeStatus(request.key(), request.body()), PeerFallbackStore::respond);
			case "page" ->
				encode(this.direct.listPage(request.key(), request.argument()), (page) -> respond(page.revision(),
						page.more(), page.objects().stream().map(PeerFallbackStore::toRelayedObject).toList()));
			case WATCH_OPERATION -> encode(
					this.direct.awaitChanges(request.key(), request.number(),
							Math.min(request.waitMillis(), MAX_PEER_WAIT_MILLIS)),
					(changes) -> respond(changes.revision(), false,
							changes.changes()
								.stream()
								.map((change) -> new PeerMessage.RelayedObject(change.object().key(),
										change.object().version(), change.object().body(), change.removed()))
								.toList()));
			default -> new PeerMessage.Rejected("unknown-call", request.operation());
		};
	}

	private static <T> PeerMessage encode(Either<StoreFailure, T> result, Function<T, PeerMessage> encoder) {
		if (result.isRight()) {
			return encoder.apply(result.get());
		}
		StoreFailure failure = result.getLeft();
		return new PeerMessage.StoreResponse(failure.code(), failure.detail(), 0, false, List.of());
	}

	private static PeerMessage respond(long number) {
		return respond(number, false, List.of());
	}

	private static PeerMessage respond(long number, boolean more, List<PeerMessage.RelayedObject> objects) {
		return new PeerMessage.StoreResponse("", "", number, more, objects);
	}

	private static StoreFailure toFailure(PeerMessage.StoreRequest request, PeerMessage.StoreResponse response) {
		return switch (response.failure()) {
			case "store-condition-failed" -> new StoreFailure.ConditionFailed(request.key());
			case "store-history-gone" -> new StoreFailure.HistoryGone(request.key());
			case "store-value-too-large" -> new StoreFailure.ValueTooLarge(request.key(), request.body().length);
			case "store-unavailable" -> new StoreFailure.Unavailable(response.detail());
			default -> new StoreFailure.OutcomeUnknown(response.detail());
		};
	}

	private static boolean isUnreachable(StoreFailure failure) {
		return failure instanceof StoreFailure.Unavailable || failure instanceof StoreFailure.OutcomeUnknown;
	}

	private static StoredObject toStoredObject(PeerMessage.RelayedObject object) {
		return new StoredObject(object.key(), object.version(), object.body());
	}

	private static PeerMessage.RelayedObject toRelayedObject(StoredObject object) {
		return new PeerMessage.RelayedObject(object.key(), object.version(), object.body(), false);
	}

}
