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
 * The active configuration, the withdrawn keys and the age of the configuration view of
 * this host.
 * <p>
 * Thread-safe. State changes are made under one lock; the active configuration and the
 * withdrawn keys are read without it.
 */
public final class LiveConfiguration implements ConfigurationSource {

	/**
	 * Time between two ticks above which this process is considered to have been
	 * suspended, in milliseconds. Messages that were queued during the suspension are
	 * older than they state, and the membership state dates from before it.
	 */
	public static final long SUSPENSION_THRESHOLD_MILLIS = 1_500;

	private static final long RETRY_AFTER_MILLIS = 2_000;

	private final Clock clock;

	private final Predicate<Set<FailureDomain>> reachable;

	private final ConfigurationState state = new ConfigurationState();

	private final ViewFreshness freshness = new ViewFreshness();

	private final WithdrawnKeys withdrawn = new WithdrawnKeys();

	private final List<Consumer<Configuration>> listeners = new CopyOnWriteArrayList<>();

	private volatile Option<IndexedConfiguration> active = Option.none();

	private volatile boolean contacted;

	private volatile boolean peersQueried;

	private volatile long lastTickMillis;

	private boolean activationDeferred;

	private LiveConfiguration(Clock clock, Predicate<Set<FailureDomain>> reachable) {
		this.clock = Objects.requireNonNull(clock, "clock");
		this.reachable = Objects.requireNonNull(reachable, "reachable");
		this.lastTickMillis = clock.millis();
	}

	/**
	 * Creates the state of a starting process.
	 * @param clock a monotonic clock
	 * @param reachable returns whether heartbeats arrive from a host of each given
	 * failure domain
	 * @return an instance without a configuration
	 */
	public static LiveConfiguration of(Clock clock, Predicate<Set<FailureDomain>> reachable) {
		return new LiveConfiguration(clock, reachable);
	}

	@Override
	public Option<Configuration> current() {
		return this.active.map(IndexedConfiguration::configuration);
	}

	@Override
	public void onChange(Consumer<Configuration> listener) {
		this.listeners.add(listener);
	}

	/**
	 * Returns whether requests can be served: a configuration is active, the store or a
	 * peer has responded since the start, and every reachable peer has been queried for
	 * its withdrawn keys.
	 * @return true if this host is ready
	 */
	public boolean isReady() {
		return this.contacted && this.peersQueried && this.active.isDefined();
	}

	/**
	 * Returns the highest version that this host holds, active or not.
	 * @return the version, or 0 if there is none
	 */
	public synchronized long heldVersion() {
		return this.state.heldVersion();
	}

	/**
	 * Returns the configuration with the highest version that this host holds, active or
	 * not.
	 * @return the configuration, if any
	 */
	public synchronized Option<Configuration> held() {
		return this.state.held();
	}

	/**
	 * Returns the age of the configuration view.
	 * @return the age in milliseconds, or {@link ViewFreshness#UNKNOWN_AGE}
	 */
	public synchronized long viewAgeMillis() {
		return this.freshness.ageMillis(this.clock.millis());
	}

	/**
	 * Returns the withdrawn keys.
	 * @return the live set, which other threads may extend at any time
	 */
	public WithdrawnKeys withdrawn() {
		return this.withdrawn;
	}

	/**
	 * Defers the activation of versions until {@link #resumeActivation()}. A starting
	 * process calls this before it queries its peers, because the first response may
	 * contain an older version than the one that was active on this host before the
	 * restart.
	 */
	public synchronized void deferActivation() {
		this.activationDeferred = true;
	}

	/**
	 * Ends the deferral of {@link #deferActivation()}; the next tick activates a settled
	 * version.
	 */
	public synchronized void resumeActivation() {
		this.activationDeferred = false;
	}

	/**
	 * Records that the store or a peer has responded since the start.
	 */
	public void recordContact() {
		this.contacted = true;
	}

	/**
	 * Records that all reachable peers have been queried for their withdrawn keys.
	 */
	public void recordPeersQueried() {
		this.peersQueried = true;
	}

	/**
	 * Accepts a configuration from the store or a peer. Its withdrawn keys are refused
	 * immediately, before the version becomes active.
	 * @param configuration the configuration
	 * @param ageMillis age of the sender's view, in milliseconds; negative if unknown
	 */
	public void accept(Configuration configuration, long ageMillis) {
		this.withdrawn.add(configuration.keys().withdrawn());
		synchronized (this) {
			this.state.accept(configuration, this.clock.millis());
		}
		recordViewAge(configuration.version(), ageMillis);
		activateSettled();
	}

	/**
	 * Records the age of another process's view. It is used only if this host holds the
	 * version of that view, and is ignored between a suspension of this process and the
	 * next tick.
	 * @param version the version that the other process holds
	 * @param ageMillis age of its view, in milliseconds; negative if unknown
	 * @return true if this host holds the version
	 */
	public synchronized boolean recordViewAge(long version, long ageMillis) {
		if (version > this.state.heldVersion()) {
			return false;
		}
		if (wasSuspended()) {
			return true;
		}
		this.freshness.recordAge(ageMillis, this.clock.millis());
		return true;
	}

	/**
	 * Records that another node of this host's failure domain holds a version.
	 * @param version the version
	 */
	public void recordPeerVersion(long version) {
		synchronized (this) {
			this.state.recordPeerVersion(version);
		}
		activateSettled();
	}

	/**
	 * Returns whether this process was suspended and has not completed a tick since.
	 * @return true if the last tick was more than {@value #SUSPENSION_THRESHOLD_MILLIS}
	 * ms ago
	 */
	public boolean wasSuspended() {
		return this.clock.millis() - this.lastTickMillis > SUSPENSION_THRESHOLD_MILLIS;
	}

	/**
	 * Activates the highest settled version and notifies the listeners. Must be called
	 * several times a second, after the membership was updated and, if
	 * {@link #wasSuspended()}, after all peer links were closed.
	 */
	public void tick() {
		this.lastTickMillis = this.clock.millis();
		activateSettled();
	}

	private synchronized void activateSettled() {
		if (this.activationDeferred) {
			return;
		}
		Option<Configuration> settled = this.state.activateSettled(this.clock.millis());
		if (settled.isDefined()) {
			Configuration configuration = settled.get();
			this.active = Option.some(IndexedConfiguration.of(configuration));
			this.listeners.forEach((listener) -> listener.accept(configuration));
		}
	}

	/**
	 * Resolves an API key to its workspace.
	 * @param key the hash of the key
	 * @return the workspace, or the reason for which the key is refused
	 */
	public Either<Refusal, WorkspaceId> authenticate(KeyHash key) {
		Option<IndexedConfiguration> snapshot = this.active;
		if (snapshot.isEmpty() || !isReady()) {
			return Either.left(Refusal.notExecuted(RefusalReason.NOT_READY, "this host has no configuration yet")
				.withRetryAfter(RETRY_AFTER_MILLIS));
		}
		if (this.withdrawn.contains(key)) {
			return Either.left(Refusal.notExecuted(RefusalReason.WITHDRAWN_KEY, "the key was withdrawn"));
		}
		Configuration configuration = snapshot.get().configuration();
		if (wasSuspended() || !acceptsKeys(configuration)) {
			return Either.left(Refusal
				.notExecuted(RefusalReason.STALE_VIEW, "this host cannot check keys: it is cut off from its peers")
				.withRetryAfter(RETRY_AFTER_MILLIS));
		}
		WorkspaceId workspace = snapshot.get().workspaces().get(key);
		if (workspace == null) {
			return Either.left(Refusal.notExecuted(RefusalReason.UNKNOWN_KEY, "the key is not known"));
		}
		return Either.right(workspace);
	}

	/**
	 * Returns whether a key still belongs to a workspace. The age of the view is not
	 * checked, so that running requests can finish while this host is isolated.
	 * @param key the hash of the key
	 * @param workspace the workspace
	 * @return true if the key is granted for the workspace and not withdrawn
	 */
	public boolean isGranted(KeyHash key, WorkspaceId workspace) {
		Option<IndexedConfiguration> snapshot = this.active;
		return !this.withdrawn.contains(key) && snapshot.isDefined()
				&& workspace.equals(snapshot.get().workspaces().get(key));
	}

	/**
	 * Checks that a workspace may use a service.
	 * @param workspace the workspace
	 * @param service the service
	 * @return the service, or a refusal if the workspace may not use it or it does not
	 * exist
	 */
	public Either<Refusal, Inventory.ServiceEntry> authorize(WorkspaceId workspace, ServiceId service) {
		Optional<Inventory.WorkspaceEntry> entry = current().toJavaOptional()
			.flatMap((configuration) -> configuration.inventory().workspace(workspace));
		if (entry.isEmpty() || !entry.get().services().contains(service)) {
			return Either.left(Refusal.notExecuted(RefusalReason.FORBIDDEN_SERVICE,
					"workspace " + workspace + " may not use service " + service));
		}
		return service(service);
	}

	/**
	 * Returns the inventory entry of a service.
	 * @param service the service
	 * @return the service, or a refusal if it does not exist
	 */
	public Either<Refusal, Inventory.ServiceEntry> service(ServiceId service) {
		return current().flatMap((configuration) -> Option.ofOptional(configuration.inventory().service(service)))
			.toEither(() -> Refusal.notExecuted(RefusalReason.NO_SUCH_ROUTE, "service " + service + " does not exist"));
	}

	private boolean acceptsKeys(Configuration configuration) {
		Set<FailureDomain> expected = new HashSet<>();
		configuration.inventory().failureDomains().forEach((entry) -> {
			if (configuration.isInService(entry.name())) {
				expected.add(entry.name());
			}
		});
		synchronized (this) {
			long nowMillis = this.clock.millis();
			if (this.freshness.acceptsKeys(nowMillis, configuration.rules().isolation(), false)) {
				return true;
			}
		}
		return this.reachable.test(expected);
	}

	private record IndexedConfiguration(Configuration configuration, Map<KeyHash, WorkspaceId> workspaces) {

		private static IndexedConfiguration of(Configuration configuration) {
			Map<KeyHash, WorkspaceId> workspaces = new HashMap<>();
			configuration.keys().granted().forEach((grant) -> workspaces.put(grant.key(), grant.workspace()));
			return new IndexedConfiguration(configuration, workspaces);
		}

	}

}
