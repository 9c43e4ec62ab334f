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
import org.bamboorelay.core.version.ConfigurationAssembly;
import org.bamboorelay.core.version.KeyHash;
import org.bamboorelay.core.version.KeyTable;
import org.bamboorelay.core.version.WithdrawnKeys;
import org.bamboorelay.runtime.connection.PeerLink;
import org.jspecify.annotations.Nullable;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Reads the configuration from the store, passes it on to the entry processes of the
 * domain, and writes keys that were withdrawn at them into the next version.
 * <p>
 * Used by one thread.
 */
final class ConfigurationLoop {

	static final long INTERVAL_MILLIS = 500;

	private static final Logger LOG = LoggerFactory.getLogger(ConfigurationLoop.class);

	private static final byte[] NO_BODY = {};

	private static final int WRITE_ATTEMPTS = 8;

	/**
	 * Each attempt of a store outage waits at most this long, in milliseconds, so that a
	 * configuration is in force within 5 s of the store's return.
	 */
	private static final long RETRY_CAP_MILLIS = 2_000;

	/**
	 * Each host is asked for withdrawn keys once in so many seconds. Hosts pass them on
	 * among themselves, so one that only a control process reaches is what this is for.
	 */
	private static final int WITHDRAWAL_SHARES = 3;

	private static final long PULL_TIMEOUT_MILLIS = 1_000;

	private final ControlContext context;

	private final ConfigurationAssembly assembly;

	private final Backoff backoff;

	private final Map<PeerLink, Long> held = new ConcurrentHashMap<>();

	private final WithdrawnKeys withdrawn = new WithdrawnKeys();

	private final WithdrawalSync sync = WithdrawalSync.over(this.withdrawn);

	private long withdrawnOf;

	private int share;

	private byte[] body = NO_BODY;

	private long readAt = -1;

	private long nextReadAt;

	private long nextWithdrawalAt;

	ConfigurationLoop(ControlContext context) {
		this.context = context;
		this.assembly = ConfigurationAssembly.over(context.store(), () -> UUID.randomUUID().toString());
		this.backoff = Backoff.of(INTERVAL_MILLIS, RETRY_CAP_MILLIS, context::random);
	}

	void run() {
		// Every control process reads while it knows nothing, since its duties need the
		// rules; afterwards only the readers of the domain read each time.
		if (this.context.clock().millis() >= this.nextReadAt) {
			read();
		}
		if (this.context.isReader()) {
			passOn();
		}
		if (this.context.clock().millis() >= this.nextWithdrawalAt) {
			this.nextWithdrawalAt = this.context.clock().millis() + 2 * INTERVAL_MILLIS;
			collectWithdrawals();
		}
	}

	private void read() {
		long before = this.context.clock().millis();
		Either<Failure, Option<ConfigurationAssembly.Reading>> reading = this.assembly.read();
		if (reading.isLeft()) {
			this.context.counters().counter("config_read_failures_total").inc();
			this.nextReadAt = this.context.clock().millis() + this.backoff.failed();
			return;
		}
		this.backoff.reset();
		this.nextReadAt = this.context.isReader() ? 0 : before + 4 * INTERVAL_MILLIS;
		if (reading.get().isEmpty()) {
			return;
		}
		Configuration found = reading.get().get().configuration();
		long present = this.context.configuration().map(Configuration::version).getOrElse(0L);
		if (found.version() < present) {
			LOG.warn("config-went-back found={} present={}", found.version(), present);
			return;
		}
		this.readAt = before;
		if (found.version() > present) {
			LOG.info("config-read version={}", found.version());
			this.body = ConfigurationAssembly.bytes(found);
			this.context.accept(found);
		}
	}

	private void passOn() {
		Option<Configuration> present = this.context.configuration();
		if (present.isEmpty()) {
			return;
		}
		long version = present.get().version();
		this.held.keySet().removeIf((link) -> !link.isOpen());
		this.context.links()
			.callAll((link) -> new PeerMessage.ConfigOffer(version,
					(this.held.getOrDefault(link, 0L) == version) ? NO_BODY : this.body,
					this.context.clock().millis() - this.readAt))
			.forEach((answer) -> {
				if (answer.link() != null && answer.result().isRight()) {
					this.held.put(answer.link(), version);
				}
				else if (answer.link() != null) {
					this.held.remove(answer.link());
					this.context.counters().counter("config_offer_failures_total").inc();
				}
			});
	}

	private void collectWithdrawals() {
		Option<Configuration> present = this.context.configuration();
		if (present.isEmpty() || !this.context.isReader()) {
			return;
		}
		KeyTable table = present.get().keys();
		if (this.withdrawnOf != present.get().version()) {
			this.withdrawnOf = present.get().version();
			this.withdrawn.add(table.withdrawn());
		}
		this.share = (this.share + 1) % WITHDRAWAL_SHARES;
		Map<PeerLink, WithdrawalSync.Ask> asks = new ConcurrentHashMap<>();
		this.context.links().callShare(this.share, WITHDRAWAL_SHARES, (link) -> {
			if (!link.remote().knows(PeerMessage.WithdrawnDelta.class)) {
				return new PeerMessage.Withdraw(List.of());
			}
			WithdrawalSync.Ask ask = this.sync.request(link.remote(), List.of());
			asks.put(link, ask);
			return ask.message();
		}).forEach((answer) -> {
			if (answer.link() != null && answer.result().isRight()) {
				take(answer.link(), asks.get(answer.link()), answer.result().get());
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
		Either<Failure, Configuration> written = this.assembly.withdraw(found, WRITE_ATTEMPTS);
		written.peek((next) -> LOG.info("withdrawals-written version={} count={}", next.version(), found.size()))
			.peekLeft((failure) -> LOG.warn("withdrawals-not-written code={}", failure.code()));
	}

	private void take(PeerLink link, WithdrawalSync.@Nullable Ask ask, PeerMessage answer) {
		if (answer instanceof PeerMessage.Withdraw whole) {
			this.withdrawn.add(whole.keys());
		}
		else if (ask != null && answer instanceof PeerMessage.WithdrawnDelta delta
				&& this.sync.onAnswer(link.remote(), ask, delta) == WithdrawalSync.Next.PULL) {
			WithdrawalSync.Ask pull = this.sync.pull();
			link.call(pull.message(), PULL_TIMEOUT_MILLIS)
				.filter((whole) -> whole instanceof PeerMessage.WithdrawnDelta)
				.forEach((whole) -> whole
					.forEach((taken) -> this.sync.onAnswer(link.remote(), pull, (PeerMessage.WithdrawnDelta) taken)));
		}
	}

}
