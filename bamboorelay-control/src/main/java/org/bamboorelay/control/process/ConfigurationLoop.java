package org.bamboorelay.control.process;

import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.UUID;
import java.util.concurrent.ConcurrentHashMap;

import io.vavr.control.Either;
import io.vavr.control.Option;
import org.bamboorelay.core.connection.PeerMessage;
import org.bamboorelay.core.connection.WithdrawalSync;
import org.bamboorelay.core.failure.Failure;
import org.bamboorelay.core.process.Backoff;
import org.bamboorelay.core.version.Configuration;
import org.bamboorelay.core.version.ConfigurationRepository;
import org.bamboorelay.core.version.KeyHash;
import org.bamboorelay.core.version.KeyTable;
import org.bamboorelay.core.version.WithdrawnKeys;
import org.bamboorelay.runtime.connection.PeerLink;
import org.jspecify.annotations.Nullable;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Reads the configuration from the store, offers it to the entry processes of the domain,
 * and writes keys that were withdrawn at the entry processes into the next version.
 * <p>
 * Used by one thread.
 */
final class ConfigurationLoop {

	static final long INTERVAL_MILLIS = 500;

	private static final Logger LOG = LoggerFactory.getLogger(ConfigurationLoop.class);

	private static final byte[] NO_BODY = {};

	private static final int WRITE_ATTEMPTS = 8;

	/**
	 * Maximum delay between read attempts during a store outage, in milliseconds, so that
	 * a configuration is in force within 5 s after the store has recovered.
	 */
	private static final long MAX_RETRY_DELAY_MILLIS = 2_000;

	/**
	 * Number of groups into which the hosts are divided; one group a second is asked for
	 * withdrawn keys. Hosts also exchange them with each other, so this matters only for
	 * a host that just the control process can reach.
	 */
	private static final int WITHDRAWAL_GROUPS = 3;

	private static final long FULL_REQUEST_TIMEOUT_MILLIS = 1_000;

	private final ControlContext context;

	private final ConfigurationRepository repository;

	private final Backoff backoff;

	private final Map<PeerLink, Long> heldVersions = new ConcurrentHashMap<>();

	private final WithdrawnKeys withdrawn = new WithdrawnKeys();

	private final WithdrawalSync sync = WithdrawalSync.over(this.withdrawn);

	private long withdrawnKeysVersion;

	private int withdrawalGroup;

	private byte[] body = NO_BODY;

	private long readAtMillis = -1;

	private long nextReadAtMillis;

	private long nextWithdrawalAtMillis;

	ConfigurationLoop(ControlContext context) {
		this.context = context;
		this.repository = ConfigurationRepository.over(context.store(), () -> UUID.randomUUID().toString());
		this.backoff = Backoff.of(INTERVAL_MILLIS, MAX_RETRY_DELAY_MILLIS, context::random);
	}

	void run() {
		// Every control process reads until it has a configuration, since its tasks need
		// the rules; afterwards only the readers of the domain read in each run.
		if (this.context.clock().millis() >= this.nextReadAtMillis) {
			read();
		}
		if (this.context.isReader()) {
			offerToEntries();
		}
		if (this.context.clock().millis() >= this.nextWithdrawalAtMillis) {
			this.nextWithdrawalAtMillis = this.context.clock().millis() + 2 * INTERVAL_MILLIS;
			collectWithdrawals();
		}
	}

	private void read() {
		long before = this.context.clock().millis();
		Either<Failure, Option<ConfigurationRepository.Snapshot>> reading = this.repository.read();
		if (reading.isLeft()) {
			this.context.counters().counter("config_read_failures_total").inc();
			this.nextReadAtMillis = this.context.clock().millis() + this.backoff.nextDelayMillis();
			return;
		}
		this.backoff.reset();
		this.nextReadAtMillis = this.context.isReader() ? 0 : before + 4 * INTERVAL_MILLIS;
		if (reading.get().isEmpty()) {
			return;
		}
		Configuration found = reading.get().get().configuration();
		long current = this.context.configuration().map(Configuration::version).getOrElse(0L);
		if (found.version() < current) {
			LOG.warn("config-went-back found={} present={}", found.version(), current);
			return;
		}
		this.readAtMillis = before;
		if (found.version() > current) {
			LOG.info("config-read version={}", found.version());
			this.body = ConfigurationRepository.bytes(found);
			this.context.activate(found);
		}
	}

	private void offerToEntries() {
		Option<Configuration> current = this.context.configuration();
		if (current.isEmpty()) {
			return;
		}
		long version = current.get().version();
		this.heldVersions.keySet().removeIf((link) -> !link.isOpen());
		this.context.links()
			.callAll((link) -> new PeerMessage.ConfigOffer(version,
					(this.heldVersions.getOrDefault(link, 0L) == version) ? NO_BODY : this.body,
					this.context.clock().millis() - this.readAtMillis))
			.forEach((response) -> {
				if (response.link() != null && response.result().isRight()) {
					this.heldVersions.put(response.link(), version);
				}
				else if (response.link() != null) {
					this.heldVersions.remove(response.link());
					this.context.counters().counter("config_offer_failures_total").inc();
				}
			});
	}

	private void collectWithdrawals() {
		Option<Configuration> current = this.context.configuration();
		if (current.isEmpty() || !this.context.isReader()) {
			return;
		}
		KeyTable table = current.get().keys();
		if (this.withdrawnKeysVersion != current.get().version()) {
			this.withdrawnKeysVersion = current.get().version();
			this.withdrawn.add(table.withdrawn());
		}
		this.withdrawalGroup = (this.withdrawalGroup + 1) % WITHDRAWAL_GROUPS;
		Map<PeerLink, WithdrawalSync.SyncRequest> requests = new ConcurrentHashMap<>();
		this.context.links().callGroup(this.withdrawalGroup, WITHDRAWAL_GROUPS, (link) -> {
			if (!link.remote().supports(PeerMessage.WithdrawnDelta.class)) {
				return new PeerMessage.Withdraw(List.of());
			}
			WithdrawalSync.SyncRequest syncRequest = this.sync.request(link.remote(), List.of());
			requests.put(link, syncRequest);
			return syncRequest.message();
		}).forEach((response) -> {
			if (response.link() != null && response.result().isRight()) {
				applyWithdrawals(response.link(), requests.get(response.link()), response.result().get());
			}
		});
		if (this.withdrawn.size() == table.withdrawn().size()) {
			return;
		}
		Set<KeyHash> found = new HashSet<>(this.withdrawn.all());
		found.removeAll(table.withdrawn());
		if (found.isEmpty()) {
			return;
		}
		Either<Failure, Configuration> written = this.repository.withdraw(found, WRITE_ATTEMPTS);
		written.peek((next) -> LOG.info("withdrawals-written version={} count={}", next.version(), found.size()))
			.peekLeft((failure) -> LOG.warn("withdrawals-not-written code={}", failure.code()));
	}

	private void applyWithdrawals(PeerLink link, WithdrawalSync.@Nullable SyncRequest syncRequest,
			PeerMessage response) {
		if (response instanceof PeerMessage.Withdraw fullResponse) {
			this.withdrawn.add(fullResponse.keys());
		}
		else if (syncRequest != null && response instanceof PeerMessage.WithdrawnDelta delta
				&& this.sync.onResponse(link.remote(), syncRequest, delta) == WithdrawalSync.NextStep.FULL_REQUEST) {
			WithdrawalSync.SyncRequest fullRequest = this.sync.fullRequest();
			link.call(fullRequest.message(), FULL_REQUEST_TIMEOUT_MILLIS)
				.filter((fullResponse) -> fullResponse instanceof PeerMessage.WithdrawnDelta)
				.forEach((fullResponse) -> fullResponse.forEach((taken) -> this.sync.onResponse(link.remote(),
						fullRequest, (PeerMessage.WithdrawnDelta) taken)));
		}
	}

}
