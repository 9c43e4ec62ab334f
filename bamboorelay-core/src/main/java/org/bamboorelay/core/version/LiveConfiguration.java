package org.bamboorelay.core.version;

import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.function.Consumer;
import java.util.function.Predicate;

import io.vavr.control.Either;
import io.vavr.control.Option;
import org.bamboorelay.core.failure.Refusal;
import org.bamboorelay.core.failure.RefusalReason;
import org.bamboorelay.core.time.Clock;

/**
 * The configuration, the withdrawn keys and the age of the view at this host.
 * <p>
 * Thread-safe. Decisions are taken under one lock; the configuration in force and the
 * withdrawn keys are read without it.
 */
public final class LiveConfiguration implements ConfigurationSource {

	/**
	 * Gap between two ticks after which this process counts as having been frozen, in
	 * milliseconds. What waited meanwhile is older than it says, and the membership is of
	 * the time before.
	 */
	public static final long FROZEN_MILLIS = 1_500;

	private static final long RETRY_AFTER_MILLIS = 2_000;

	private final Clock clock;

	private final Predicate<Set<FailureDomain>> hears;

	private final ConfigurationState state = new ConfigurationState();

	private final ViewFreshness freshness = new ViewFreshness();

	private final WithdrawnKeys withdrawn = new WithdrawnKeys();

	private final List<Consumer<Configuration>> listeners = new CopyOnWriteArrayList<>();

	private volatile Option<Indexed> inForce = Option.none();

	private volatile boolean answered;

	private volatile boolean peersAsked;

	private volatile long tickedAtMillis;

	private boolean heldBack;

	private LiveConfiguration(Clock clock, Predicate<Set<FailureDomain>> hears) {
		this.clock = Objects.requireNonNull(clock, "clock");
		this.hears = Objects.requireNonNull(hears, "hears");
		this.tickedAtMillis = clock.millis();
	}

	/**
	 * Creates the view of a starting process.
	 * @param clock a monotonic clock
	 * @param hears tells whether a host of each given failure domain is heard
	 * @return a view without configuration
	 */
	public static LiveConfiguration of(Clock clock, Predicate<Set<FailureDomain>> hears) {
		return new LiveConfiguration(clock, hears);
	}

	@Override
	public Option<Configuration> current() {
		return this.inForce.map(Indexed::configuration);
	}

	@Override
	public void onChange(Consumer<Configuration> listener) {
		this.listeners.add(listener);
	}

	/**
	 * Tells whether requests can be served: a configuration is in force, the store or a
	 * peer answered since the start, and each peer that could be reached told its
	 * withdrawn keys.
	 * @return whether this host is ready
	 */
	public boolean isReady() {
		return this.answered && this.peersAsked && this.inForce.isDefined();
	}

	/**
	 * Returns the highest version that this host holds.
	 * @return the version; 0 for none
	 */
	public synchronized long heldVersion() {
		return this.state.heldVersion();
	}

	/**
	 * Returns the highest configuration that this host holds.
	 * @return the configuration, if any
	 */
	public synchronized Option<Configuration> held() {
		return this.state.held();
	}

	/**
	 * Returns the age of the view.
	 * @return the age in milliseconds, or {@link ViewFreshness#UNKNOWN}
	 */
	public synchronized long viewAgeMillis() {
		return this.freshness.ageMillis(this.clock.millis());
	}

	/**
	 * Returns the withdrawn keys.
	 * @return the set, which may grow at any time
	 */
	public WithdrawnKeys withdrawn() {
		return this.withdrawn;
	}

	/**
	 * Puts no version in force until {@link #release()}. A process that starts calls this
	 * before it asks its peers, as the first answer may name an older version than the
	 * one that was in force here before the restart.
	 */
	public synchronized void holdBack() {
		this.heldBack = true;
	}

	/**
	 * Lets versions come in force again.
	 */
	public synchronized void release() {
		this.heldBack = false;
	}

	/**
	 * Notes that the store or a peer answered.
	 */
	public void noteAnswer() {
		this.answered = true;
	}

	/**
	 * Notes that all peers that can be reached were asked for their withdrawn keys.
	 */
	public void notePeersAsked() {
		this.peersAsked = true;
	}

	/**
	 * Takes a configuration. Its withdrawals count at once, even before the version is in
	 * force.
	 * @param configuration the configuration
	 * @param ageMillis age of the sender's view, in milliseconds; negative for unknown
	 */
	public void accept(Configuration configuration, long ageMillis) {
		this.withdrawn.add(configuration.keys().withdrawn());
		synchronized (this) {
			this.state.accept(configuration, this.clock.millis());
		}
		noteView(configuration.version(), ageMillis);
		settle();
	}

	/**
	 * Notes the age of another process's view. It counts only where this host holds the
	 * version that the other saw, and not before the first tick after a freeze.
	 * @param version the version that the other process holds
	 * @param ageMillis age of its view, in milliseconds; negative for unknown
	 * @return whether this host holds the version
	 */
	public synchronized boolean noteView(long version, long ageMillis) {
		if (version > this.state.heldVersion()) {
			return false;
		}
		if (wasFrozen()) {
			return true;
		}
		this.freshness.heard(ageMillis, this.clock.millis());
		return true;
	}

	/**
	 * Notes that another node of this host's failure domain holds a version.
	 * @param version the version
	 */
	public void peerHolds(long version) {
		synchronized (this) {
			this.state.peerHolds(version);
		}
		settle();
	}

	/**
	 * Tells whether this process has not run for a while and has not noticed it yet.
	 * @return whether the last tick is longer ago than {@value #FROZEN_MILLIS} ms
	 */
	public boolean wasFrozen() {
		return this.clock.millis() - this.tickedAtMillis > FROZEN_MILLIS;
	}

	/**
	 * Puts a settled version in force and tells the listeners. To be called several times
	 * a second, after the membership was updated and, where {@link #wasFrozen()}, after
	 * all links were closed.
	 */
	public void tick() {
		this.tickedAtMillis = this.clock.millis();
		settle();
	}

	private synchronized void settle() {
		if (this.heldBack) {
			return;
		}
		Option<Configuration> settled = this.state.settle(this.clock.millis());
		if (settled.isDefined()) {
			Configuration configuration = settled.get();
			this.inForce = Option.some(Indexed.of(configuration));
			this.listeners.forEach((listener) -> listener.accept(configuration));
		}
	}

	/**
	 * Finds the workspace of a key.
	 * @param key the hash of the key
	 * @return the workspace, or why the key does not work here and now
	 */
	public Either<Refusal, WorkspaceId> authenticate(KeyHash key) {
		Option<Indexed> present = this.inForce;
		if (present.isEmpty() || !isReady()) {
			return Either.left(Refusal.notRun(RefusalReason.NOT_READY, "this host has no configuration yet")
				.withRetryAfter(RETRY_AFTER_MILLIS));
		}
		if (this.withdrawn.contains(key)) {
			return Either.left(Refusal.notRun(RefusalReason.WITHDRAWN_KEY, "the key was withdrawn"));
		}
		Configuration configuration = present.get().configuration();
		if (wasFrozen() || !servesKeyed(configuration)) {
			return Either.left(Refusal
				.notRun(RefusalReason.STALE_VIEW, "this host cannot check keys: it is cut off from its peers")
				.withRetryAfter(RETRY_AFTER_MILLIS));
		}
		WorkspaceId workspace = present.get().workspaces().get(key);
		if (workspace == null) {
			return Either.left(Refusal.notRun(RefusalReason.UNKNOWN_KEY, "the key is not known"));
		}
		return Either.right(workspace);
	}

	/**
	 * Tells whether a key still acts for a workspace. The age of the view is left out, so
	 * that running work finishes when this host is cut off.
	 * @param key the hash of the key
	 * @param workspace the workspace
	 * @return whether it does
	 */
	public boolean isAllowed(KeyHash key, WorkspaceId workspace) {
		Option<Indexed> present = this.inForce;
		return !this.withdrawn.contains(key) && present.isDefined()
				&& workspace.equals(present.get().workspaces().get(key));
	}

	/**
	 * Checks that a workspace may use a service.
	 * @param workspace the workspace
	 * @param service the service
	 * @return the service, or the refusal
	 */
	public Either<Refusal, Inventory.ServiceEntry> authorize(WorkspaceId workspace, ServiceId service) {
		Optional<Inventory.WorkspaceEntry> entry = current().toJavaOptional()
			.flatMap((configuration) -> configuration.inventory().workspace(workspace));
		if (entry.isEmpty() || !entry.get().services().contains(service)) {
			return Either.left(Refusal.notRun(RefusalReason.FORBIDDEN_SERVICE,
					"workspace " + workspace + " may not use service " + service));
		}
		return service(service);
	}

	/**
	 * Finds a service.
	 * @param service the service
	 * @return the service, or the refusal
	 */
	public Either<Refusal, Inventory.ServiceEntry> service(ServiceId service) {
		return current().flatMap((configuration) -> Option.ofOptional(configuration.inventory().service(service)))
			.toEither(() -> Refusal.notRun(RefusalReason.NO_SUCH_ROUTE, "service " + service + " does not exist"));
	}

	private boolean servesKeyed(Configuration configuration) {
		Set<FailureDomain> expected = new HashSet<>();
		configuration.inventory().failureDomains().forEach((entry) -> {
			if (configuration.isInService(entry.name())) {
				expected.add(entry.name());
			}
		});
		synchronized (this) {
			long now = this.clock.millis();
			if (this.freshness.servesKeyed(now, configuration.rules().isolation(), false)) {
				return true;
			}
		}
		return this.hears.test(expected);
	}

	private record Indexed(Configuration configuration, Map<KeyHash, WorkspaceId> workspaces) {

		private static Indexed of(Configuration configuration) {
			Map<KeyHash, WorkspaceId> workspaces = new HashMap<>();
			configuration.keys().granted().forEach((grant) -> workspaces.put(grant.key(), grant.workspace()));
			return new Indexed(configuration, workspaces);
		}

	}

}
