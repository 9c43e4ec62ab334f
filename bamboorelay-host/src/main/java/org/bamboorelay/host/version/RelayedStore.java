package org.bamboorelay.host.version;

import java.util.List;
import java.util.Objects;
import java.util.Set;
import java.util.function.Function;
import java.util.function.Supplier;

import io.vavr.control.Either;
import io.vavr.control.Option;
import org.bamboorelay.core.connection.PeerMessage;
import org.bamboorelay.core.store.StoreFailure;
import org.bamboorelay.core.store.StoredObject;
import org.bamboorelay.core.store.WatchedStore;
import org.bamboorelay.core.time.Clock;
import org.bamboorelay.host.connection.HostMesh;
import org.bamboorelay.host.process.EventLog;
import org.bamboorelay.runtime.connection.PeerFailure;
import org.bamboorelay.runtime.process.Counters;

/**
 * The platform's store, called through another host while this one does not reach it.
 * Each call is made once; a call whose answer is lost may have taken effect, whichever
 * way it went.
 * <p>
 * Thread-safe.
 */
public final class RelayedStore implements WatchedStore {

	/** Time after a failure in which calls go through another host, in milliseconds. */
	private static final long DETOUR_MILLIS = 1_000;

	/** The longest wait for another host beyond the call's own, in milliseconds. */
	private static final long PEER_MILLIS = 1_500;

	/** The longest watch through another host, in milliseconds. */
	private static final long PEER_WAIT_MILLIS = 1_000;

	private final WatchedStore direct;

	private final HostMesh mesh;

	private final Clock clock;

	private final Counters counters;

	private final EventLog log;

	private volatile long detourUntil = Long.MIN_VALUE / 2;

	private volatile boolean reached = true;

	/**
	 * Creates a store.
	 * @param direct the store as this host reaches it
	 * @param mesh the other hosts
	 * @param clock the monotonic clock of the process
	 * @param counters the metrics of the process
	 * @param log the log of the process
	 */
	public RelayedStore(WatchedStore direct, HostMesh mesh, Clock clock, Counters counters, EventLog log) {
		this.direct = Objects.requireNonNull(direct, "direct");
		this.mesh = Objects.requireNonNull(mesh, "mesh");
		this.clock = Objects.requireNonNull(clock, "clock");
		this.counters = Objects.requireNonNull(counters, "counters");
		this.log = Objects.requireNonNull(log, "log");
		mesh.register(PeerMessage.StoreAsk.class, this::answer);
	}

	/**
	 * Tells whether this host reaches the store by itself.
	 * @return false from a failed call to the next one that succeeds
	 */
	public boolean isReached() {
		return this.reached;
	}

	@Override
	public Either<StoreFailure, Option<StoredObject>> read(String key) {
		return call(() -> this.direct.read(key), new PeerMessage.StoreAsk("read", key, "", 0, 0, new byte[0]),
				(answer) -> Option.ofOptional(answer.objects().stream().map(RelayedStore::object).findFirst()));
	}

	@Override
	public Either<StoreFailure, Long> create(String key, byte[] body) {
		return call(() -> this.direct.create(key, body), new PeerMessage.StoreAsk("create", key, "", 0, 0, body),
				PeerMessage.StoreAnswer::number);
	}

	@Override
	public Either<StoreFailure, Long> replace(String key, byte[] body, long expectedVersion) {
		return call(() -> this.direct.replace(key, body, expectedVersion),
				new PeerMessage.StoreAsk("replace", key, "", expectedVersion, 0, body),
				PeerMessage.StoreAnswer::number);
	}

	@Override
	public Either<StoreFailure, Long> delete(String key, long expectedVersion) {
		return call(() -> this.direct.delete(key, expectedVersion),
				new PeerMessage.StoreAsk("delete", key, "", expectedVersion, 0, new byte[0]),
				PeerMessage.StoreAnswer::number);
	}

	@Override
	public Either<StoreFailure, Long> writeStatus(String key, byte[] status) {
		return call(() -> this.direct.writeStatus(key, status),
				new PeerMessage.StoreAsk("status", key, "", 0, 0, status), PeerMessage.StoreAnswer::number);
	}

	@Override
	public Either<StoreFailure, List<Entry>> list(String prefix) {
		count("list", prefix);
		return this.direct.list(prefix);
	}

	@Override
	public Either<StoreFailure, Page> page(String kind, String after) {
		return call(() -> this.direct.page(kind, after),
				new PeerMessage.StoreAsk("page", kind, after, 0, 0, new byte[0]),
				(answer) -> new Page(answer.objects().stream().map(RelayedStore::object).toList(), answer.more(),
						answer.number()));
	}

	@Override
	public Either<StoreFailure, Changes> changes(String kind, long since, long waitMillis) {
		return call(() -> this.direct.changes(kind, since, waitMillis),
				new PeerMessage.StoreAsk("changes", kind, "", since, Math.min(waitMillis, PEER_WAIT_MILLIS),
						new byte[0]),
				(answer) -> new Changes(answer.objects()
					.stream()
					.map((object) -> new Change(object(object), object.removed()))
					.toList(), answer.number()));
	}

	private <T> Either<StoreFailure, T> call(Supplier<Either<StoreFailure, T>> own, PeerMessage.StoreAsk ask,
			Function<PeerMessage.StoreAnswer, T> decoder) {
		if (this.clock.millis() >= this.detourUntil || this.mesh.hostsWithStore().isEmpty()) {
			count(ask.call(), ask.key());
			Either<StoreFailure, T> result = own.get();
			boolean answered = result.isRight() || !isLoss(result.getLeft());
			if (answered != this.reached) {
				this.reached = answered;
				this.log.info(answered ? "store-reached" : "store-not-reached", "call", ask.call(), "key", ask.key(),
						"outcome", answered ? "ok" : result.getLeft().detail());
			}
			if (answered) {
				return result;
			}
			this.detourUntil = this.clock.millis() + DETOUR_MILLIS;
			if (result.getLeft() instanceof StoreFailure.OutcomeUnknown) {
				return result;
			}
		}
		return relay(ask).map(decoder);
	}

	private Either<StoreFailure, PeerMessage.StoreAnswer> relay(PeerMessage.StoreAsk ask) {
		Set<String> hosts = this.mesh.hostsWithStore();
		for (String host : hosts) {
			Either<PeerFailure, PeerMessage> answer = this.mesh.call(host, ask, ask.waitMillis() + PEER_MILLIS);
			if (answer.isRight() && answer.get() instanceof PeerMessage.StoreAnswer result) {
				return result.failure().isEmpty() ? Either.right(result) : Either.left(failure(ask, result));
			}
			if (answer.isLeft() && !(answer.getLeft() instanceof PeerFailure.Unreachable)) {
				return Either
					.left(new StoreFailure.OutcomeUnknown("through " + host + ": " + answer.getLeft().detail()));
			}
		}
		return Either.left(new StoreFailure.Unavailable("neither this host nor " + hosts + " reaches the store"));
	}

	// Each call is paid. Kinds that bear the name of a submission count as one.
	private void count(String call, String key) {
		String kind = key.contains("/") ? key.substring(0, key.indexOf('/')) : key;
		boolean results = kind.startsWith(SubmissionStore.RESULTS);
		this.counters.counter("store_calls_total", "call", call + " " + (results ? SubmissionStore.RESULTS : kind))
			.inc();
	}

	private PeerMessage answer(PeerMessage.StoreAsk ask) {
		count(ask.call(), ask.key());
		return switch (ask.call()) {
			case "read" -> encode(this.direct.read(ask.key()),
					(found) -> answer(0, false, found.toJavaList().stream().map(RelayedStore::relayed).toList()));
			case "create" -> encode(this.direct.create(ask.key(), ask.body()), RelayedStore::answer);
			case "replace" -> encode(this.direct.replace(ask.key(), ask.body(), ask.number()), RelayedStore::answer);
			case "delete" -> encode(this.direct.delete(ask.key(), ask.number()), RelayedStore::answer);
			case "status" -> encode(this.direct.writeStatus(ask.key(), ask.body()), RelayedStore::answer);
			case "page" -> encode(this.direct.page(ask.key(), ask.argument()), (page) -> answer(page.revision(),
					page.more(), page.objects().stream().map(RelayedStore::relayed).toList()));
			case "changes" ->
				encode(this.direct.changes(ask.key(), ask.number(), Math.min(ask.waitMillis(), PEER_WAIT_MILLIS)),
						(changes) -> answer(changes.revision(), false,
								changes.changes()
									.stream()
									.map((change) -> new PeerMessage.RelayedObject(change.object().key(),
											change.object().version(), change.object().body(), change.removed()))
									.toList()));
			default -> new PeerMessage.Rejected("unknown-call", ask.call());
		};
	}

	private static <T> PeerMessage encode(Either<StoreFailure, T> result, Function<T, PeerMessage> encoder) {
		if (result.isRight()) {
			return encoder.apply(result.get());
		}
		StoreFailure failure = result.getLeft();
		return new PeerMessage.StoreAnswer(failure.code(), failure.detail(), 0, false, List.of());
	}

	private static PeerMessage answer(long number) {
		return answer(number, false, List.of());
	}

	private static PeerMessage answer(long number, boolean more, List<PeerMessage.RelayedObject> objects) {
		return new PeerMessage.StoreAnswer("", "", number, more, objects);
	}

	private static StoreFailure failure(PeerMessage.StoreAsk ask, PeerMessage.StoreAnswer answer) {
		return switch (answer.failure()) {
			case "store-condition-failed" -> new StoreFailure.ConditionFailed(ask.key());
			case "store-history-gone" -> new StoreFailure.HistoryGone(ask.key());
			case "store-value-too-large" -> new StoreFailure.TooLarge(ask.key(), ask.body().length);
			case "store-unavailable" -> new StoreFailure.Unavailable(answer.detail());
			default -> new StoreFailure.OutcomeUnknown(answer.detail());
		};
	}

	private static boolean isLoss(StoreFailure failure) {
		return failure instanceof StoreFailure.Unavailable || failure instanceof StoreFailure.OutcomeUnknown;
	}

	private static StoredObject object(PeerMessage.RelayedObject object) {
		return new StoredObject(object.key(), object.version(), object.body());
	}

	private static PeerMessage.RelayedObject relayed(StoredObject object) {
		return new PeerMessage.RelayedObject(object.key(), object.version(), object.body(), false);
	}

}
