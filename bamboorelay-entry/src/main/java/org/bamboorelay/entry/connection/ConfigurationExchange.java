package org.bamboorelay.entry.connection;

import java.util.concurrent.Executor;
import java.util.concurrent.Semaphore;
import java.util.concurrent.TimeUnit;

import io.vavr.control.Either;
import org.bamboorelay.core.connection.PeerMessage;
import org.bamboorelay.core.version.Configuration;
import org.bamboorelay.core.version.FailureDomain;
import org.bamboorelay.core.version.LiveConfiguration;
import org.bamboorelay.runtime.connection.PeerFailure;
import org.bamboorelay.runtime.connection.PeerLink;
import org.bamboorelay.runtime.process.Counters;
import org.bamboorelay.runtime.request.Json;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Fetches configurations from peers, and handles the fetches of peers and the offers of
 * control processes.
 * <p>
 * Thread-safe.
 */
final class ConfigurationExchange {

	private static final Logger LOG = LoggerFactory.getLogger(ConfigurationExchange.class);

	private static final long CALL_TIMEOUT_MILLIS = 2_000;

	/**
	 * Maximum number of concurrent fetches. With two, a peer that does not reply does not
	 * block the fetch from another one. Without a limit, 48 hosts that learned of a
	 * change from all peers at the same time sent 1,519 bodies.
	 */
	private static final int MAX_CONCURRENT_FETCHES = 2;

	/**
	 * Maximum wait for a fetch permit, so that a peer that does not reply delays the
	 * initial exchange with the others no longer than this.
	 */
	private static final long FETCH_PERMIT_WAIT_MILLIS = 500;

	private final FailureDomain domain;

	private final LiveConfiguration configuration;

	private final Counters counters;

	private final Executor threads;

	/** Limits the bodies in transit; see {@link #MAX_CONCURRENT_FETCHES}. */
	private final Semaphore fetches = new Semaphore(MAX_CONCURRENT_FETCHES);

	ConfigurationExchange(FailureDomain domain, LiveConfiguration configuration, Counters counters, Executor threads) {
		this.domain = domain;
		this.configuration = configuration;
		this.counters = counters;
		this.threads = threads;
	}

	PeerMessage onFetch(PeerMessage.ConfigFetch fetch) {
		return this.configuration.held()
			.filter((held) -> held.version() > fetch.heldVersion())
			.peek((held) -> this.counters.counter("config_bodies_sent_total").inc())
			.map((held) -> new PeerMessage.ConfigBody(held.version(), Json.bytes(held),
					this.configuration.viewAgeMillis()))
			.getOrElse(() -> new PeerMessage.ConfigBody(0, new byte[0], this.configuration.viewAgeMillis()));
	}

	PeerMessage onOffer(PeerMessage.ConfigOffer offer) {
		if (offer.body().length > 0 && offer.version() > this.configuration.heldVersion()) {
			Either<PeerMessage, Configuration> parsed = Json.read(offer.body(), Configuration.class)
				.mapLeft((failure) -> new PeerMessage.Rejected(failure.code(), failure.detail()));
			if (parsed.isLeft()) {
				this.counters.counter("config_offers_malformed_total").inc();
				return parsed.getLeft();
			}
			acceptConfiguration(parsed.get(), offer.ageMillis(), "offer");
		}
		if (!this.configuration.recordViewAge(offer.version(), offer.ageMillis())) {
			return new PeerMessage.Rejected("need-body",
					"configuration version " + offer.version() + " is not held by this host");
		}
		this.configuration.recordContact();
		return new PeerMessage.Ack(true);
	}

	void fetch(PeerLink link) {
		// The next heartbeat of a peer with a newer version triggers another fetch.
		if (!this.fetches.tryAcquire()) {
			return;
		}
		this.threads.execute(() -> {
			try {
				call(link);
			}
			finally {
				this.fetches.release();
			}
		});
	}

	/**
	 * Fetches the configuration from a peer if it holds a newer version, and returns once
	 * it has been accepted.
	 * @param link the link to the peer
	 */
	void fetchBlocking(PeerLink link) {
		boolean acquired = false;
		try {
			acquired = this.fetches.tryAcquire(FETCH_PERMIT_WAIT_MILLIS, TimeUnit.MILLISECONDS);
			call(link);
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
		}
		finally {
			if (acquired) {
				this.fetches.release();
			}
		}
	}

	private void call(PeerLink link) {
		Either<PeerFailure, PeerMessage> answer = link
			.call(new PeerMessage.ConfigFetch(this.configuration.heldVersion()), CALL_TIMEOUT_MILLIS);
		if (answer.isRight() && answer.get() instanceof PeerMessage.ConfigBody body) {
			onBody(link, body);
		}
	}

	private void onBody(PeerLink link, PeerMessage.ConfigBody body) {
		if (body.body().length > 0) {
			Json.read(body.body(), Configuration.class)
				.peek((received) -> acceptConfiguration(received, body.viewAgeMillis(), "peer"))
				.peekLeft((failure) -> this.counters.counter("config_bodies_malformed_total").inc());
			if (link.remote().domain().equals(this.domain)) {
				this.configuration.recordPeerVersion(body.version());
			}
		}
		this.configuration.recordContact();
	}

	private void acceptConfiguration(Configuration received, long ageMillis, String source) {
		LOG.atInfo()
			.addKeyValue("event", "config.held")
			.addKeyValue("version", received.version())
			.addKeyValue("source", source)
			.log("config.held");
		this.configuration.accept(received, ageMillis);
	}

}
