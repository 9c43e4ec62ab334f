package org.bamboorelay.core.process;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.DoubleSupplier;
import java.util.function.LongPredicate;

import io.vavr.control.Either;
import io.vavr.control.Option;
import org.bamboorelay.core.store.StoreFailure;
import org.bamboorelay.core.store.StoredObject;
import org.bamboorelay.core.time.Clock;
import org.bamboorelay.core.version.CoreJson;
import org.bamboorelay.core.version.EndpointId;
import org.bamboorelay.core.version.FailureDomain;
import org.bamboorelay.core.version.ServiceId;
import org.jspecify.annotations.Nullable;

/**
 * The write-ahead log of the orders of a failure domain, stored in
 * {@code orders/<domain>}. The intent of an order is recorded before the order is sent. A
 * new holder rewrites the object when it takes over, so that a later conditional write of
 * a former holder fails.
 * <p>
 * Thread-safe; guarded by its own lock.
 */
public final class OrderLog extends FencedStateMachine {

	private static final long RETRY_BASE_MILLIS = 100;

	private final Map<String, OrderIntent> openIntents = new LinkedHashMap<>();

	private final Set<String> recordedIds = new HashSet<>();

	private List<Shortage> shortages = new ArrayList<>();

	private long version;

	private long count;

	private boolean readRequired;

	private boolean sealed;

	private boolean unrecordedChanges;

	private @Nullable Body lastWrittenBody;

	private OrderLog(FailureDomain domain, String holder, Clock clock, LongPredicate leaseHeld, DoubleSupplier random) {
		super(domain, holder, clock, leaseHeld, RETRY_BASE_MILLIS, random);
	}

	/**
	 * Creates the log of a domain.
	 * @param domain the failure domain
	 * @param holder the name of this process, unique for each start of it
	 * @param clock the monotonic clock of the process
	 * @param leaseHeld tells whether this process holds the domain's lease under a given
	 * fencing number
	 * @param random returns numbers from 0 (inclusive) to 1 (exclusive), for jitter
	 * @return the log, which records nothing before {@link #begin(long)}
	 */
	public static OrderLog of(FailureDomain domain, String holder, Clock clock, LongPredicate leaseHeld,
			DoubleSupplier random) {
		return new OrderLog(domain, holder, clock, leaseHeld, random);
	}

	/**
	 * Returns the key of a domain's log.
	 * @param domain the failure domain
	 * @return the key in the object store
	 */
	public static String key(FailureDomain domain) {
		return "orders/" + domain;
	}

	@Override
	void onTermBegin() {
		this.openIntents.clear();
		this.recordedIds.clear();
		this.shortages = new ArrayList<>();
		this.count = 0;
		this.readRequired = true;
		this.sealed = false;
		this.unrecordedChanges = false;
	}

	/**
	 * Tells whether the log is sealed against writes of former holders.
	 * @return true once the object was rewritten in the current term, and as long as no
	 * write of a successor was seen
	 */
	public synchronized boolean isSealed() {
		return this.sealed && !isFencedOff();
	}

	/**
	 * Adds an intent, which the next operations record in the store.
	 * @param action {@code start} or {@code stop}
	 * @param service the service
	 * @param kind {@code steady} or {@code cheap}
	 * @param endpoint the endpoint to stop; null for a start
	 * @return the intent with its new order id
	 */
	public synchronized OrderIntent add(String action, ServiceId service, String kind, @Nullable EndpointId endpoint) {
		String id = domain() + "-" + fencing() + "-" + (++this.count);
		OrderIntent intent = new OrderIntent(id, action, service, domain(), kind, endpoint);
		this.openIntents.put(id, intent);
		this.unrecordedChanges = true;
		return intent;
	}

	/**
	 * Removes the intent of an order that was answered.
	 * @param orderId the id of the order
	 */
	public synchronized void complete(String orderId) {
		if (this.openIntents.remove(orderId) != null) {
			this.unrecordedChanges = true;
		}
	}

	/**
	 * Publishes the endpoints that the platform could not provide in this domain, for the
	 * holders of other domains.
	 * @param updated the shortages
	 */
	public synchronized void publishShortages(List<Shortage> updated) {
		if (!updated.equals(this.shortages)) {
			this.shortages = List.copyOf(updated);
			this.unrecordedChanges = true;
		}
	}

	/**
	 * Returns the intents whose orders may be sent.
	 * @return the open intents that are recorded in the store, in the order of their
	 * addition; empty if the log is not sealed or the lease is not held
	 */
	public synchronized List<OrderIntent> sendableIntents() {
		if (!isSealed() || !isLeaseHeld()) {
			return List.of();
		}
		return this.openIntents.values()
			.stream()
			.filter((intent) -> this.recordedIds.contains(intent.orderId()))
			.toList();
	}

	/**
	 * Returns all open intents, including those that are not recorded yet.
	 * @return the intents
	 */
	public synchronized List<OrderIntent> openIntents() {
		return List.copyOf(this.openIntents.values());
	}

	@Override
	public synchronized @Nullable StoreOperation next() {
		if (!mayOperate()) {
			return null;
		}
		if (this.readRequired) {
			return new StoreOperation.Read(key(domain()));
		}
		if (this.sealed && !this.unrecordedChanges) {
			return null;
		}
		this.lastWrittenBody = new Body(newToken(), fencing(), List.copyOf(this.openIntents.values()), this.shortages);
		this.unrecordedChanges = false;
		return new StoreOperation.Write(key(domain()), CoreJson.bytes(this.lastWrittenBody), this.version);
	}

	@Override
	public synchronized void onResult(StoreOperation operation, Either<StoreFailure, Option<StoredObject>> result) {
		if (result.isLeft()) {
			this.readRequired = true;
			this.unrecordedChanges = true;
			setRetryDelay(result.getLeft());
			return;
		}
		resetRetryDelay();
		this.readRequired = false;
		Option<StoredObject> object = result.get();
		this.version = object.map(StoredObject::version).getOrElse(0L);
		Body body = object.flatMap((found) -> CoreJson.read(found.body(), Body.class))
			.getOrElse(() -> new Body("", 0, List.of(), List.of()));
		if (isWrittenBySuccessor(body.fencing())) {
			return;
		}
		if (isOwnToken(body.token())) {
			this.sealed = true;
			if (operation instanceof StoreOperation.Write) {
				retainOnlyToken(body.token());
			}
			this.recordedIds.clear();
			body.open().forEach((intent) -> this.recordedIds.add(intent.orderId()));
			return;
		}
		// Orders of the former holder's intents may have been sent. They are sent again
		// under the same ids.
		Map<String, OrderIntent> ownIntents = new LinkedHashMap<>(this.openIntents);
		this.openIntents.clear();
		body.open().forEach((intent) -> this.openIntents.put(intent.orderId(), intent));
		this.openIntents.putAll(ownIntents);
		this.sealed = false;
	}

	/**
	 * Reads the shortages from the stored log of a domain.
	 * @param object the stored log
	 * @return the shortages; empty if the log is malformed
	 */
	public static List<Shortage> shortages(StoredObject object) {
		return CoreJson.read(object.body(), Body.class).map(Body::shortages).getOrElse(List.of());
	}

	/**
	 * Reads the endpoints with an open stop order from the stored log of a domain.
	 * @param object the stored log
	 * @return the endpoints; empty if the log is malformed
	 */
	public static Set<EndpointId> stoppingEndpoints(StoredObject object) {
		Set<EndpointId> stoppingEndpoints = new HashSet<>();
		CoreJson.read(object.body(), Body.class).forEach((body) -> body.open().forEach((intent) -> {
			if (intent.action().equals("stop") && intent.endpoint() != null) {
				stoppingEndpoints.add(intent.endpoint());
			}
		}));
		return stoppingEndpoints;
	}

	/**
	 * An order that may have been sent.
	 *
	 * @param orderId the id, which stays the same when the order is sent again
	 * @param action {@code start} or {@code stop}
	 * @param service the service
	 * @param domain the failure domain
	 * @param kind {@code steady} or {@code cheap}
	 * @param endpoint the endpoint to stop; null for a start
	 */
	public record OrderIntent(String orderId, String action, ServiceId service, FailureDomain domain, String kind,
			@Nullable EndpointId endpoint) {
	}

	/**
	 * Endpoints that the platform could not provide in a domain.
	 *
	 * @param service the service
	 * @param kind {@code steady} or {@code cheap}
	 * @param count the number of missing endpoints
	 * @param untilMillis when the domain will order them again itself, in milliseconds
	 * since the epoch
	 */
	public record Shortage(ServiceId service, String kind, int count, long untilMillis) {
	}

	private record Body(String token, long fencing, List<OrderIntent> open, List<Shortage> shortages) {

		private Body {
			open = List.copyOf(open);
			shortages = List.copyOf(shortages);
		}

	}

}
