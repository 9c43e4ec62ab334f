package org.bamboorelay.slopes.process;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.Random;
import java.util.Set;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.Consumer;

import io.vavr.control.Option;
import org.bamboorelay.core.connection.PeerMessage;
import org.bamboorelay.core.process.CreditLedger;
import org.bamboorelay.core.process.EndpointSelection;
import org.bamboorelay.core.time.ManualClock;
import org.bamboorelay.core.version.Configuration;
import org.bamboorelay.core.version.ConfigurationSource;
import org.bamboorelay.core.version.EndpointId;
import org.bamboorelay.entry.process.CreditService;
import org.bamboorelay.entry.request.Credit;
import org.bamboorelay.entry.request.RouteRequest;
import org.bamboorelay.runtime.connection.HttpConnectionPool;
import org.bamboorelay.runtime.connection.PeerCodec;
import org.bamboorelay.runtime.process.Counters;

/**
 * Costs of credits and endpoint sets by the number of endpoints and of hosts that own
 * them.
 * <p>
 * Stateless.
 */
final class EndpointSlopes {

	private static final int[] ENDPOINT_COUNTS = { 8, 64, 825, 6_600 };

	private static final int[] OWNER_COUNTS = { 2, 12, 24, 45 };

	private static final int DOMAIN_ENDPOINTS = 825;

	private static final int DOMAIN_HOSTS = 45;

	private EndpointSlopes() {
	}

	static List<Slope> measure() {
		List<Slope> slopes = new ArrayList<>();
		slopes.add(Slope.measure("credit.lend-return", "us", "endpoints", ENDPOINT_COUNTS,
				EndpointSlopes::grantAndRelease));
		slopes.add(Slope.measure("credit.acquire-end", "us", "endpoints", ENDPOINT_COUNTS, (endpoints) -> {
			try (CreditServiceFixture world = new CreditServiceFixture(endpoints, 1)) {
				return CostMeter.cpuMicros(world::acquireAndEnd);
			}
		}));
		slopes.add(Slope.measure("credit.digest", "us", "endpoints", ENDPOINT_COUNTS, (endpoints) -> {
			try (CreditServiceFixture world = new CreditServiceFixture(endpoints, 1)) {
				return CostMeter.cpuMicros(world.service::digests);
			}
		}));
		slopes.add(Slope.measure("endpoint-set.bytes", "B", "endpoints", ENDPOINT_COUNTS,
				(endpoints) -> PeerCodec.encode(1, SampleData.endpointSet(endpoints, 1)).length));
		slopes.add(Slope.measure("endpoint-set.encode", "us", "endpoints", ENDPOINT_COUNTS, (endpoints) -> {
			PeerMessage set = SampleData.endpointSet(endpoints, 1);
			return CostMeter.cpuMicros(() -> PeerCodec.encode(1, set));
		}));
		slopes.add(Slope.measure("endpoint-set.decode", "us", "endpoints", ENDPOINT_COUNTS, (endpoints) -> {
			byte[] frame = PeerCodec.encode(1, SampleData.endpointSet(endpoints, 1));
			return CostMeter.cpuMicros(() -> PeerSlopes.decode(frame));
		}));
		slopes.add(Slope.measure("endpoint-set.take", "us", "endpoints", ENDPOINT_COUNTS, (endpoints) -> {
			try (CreditServiceFixture world = new CreditServiceFixture(endpoints, DOMAIN_HOSTS)) {
				return CostMeter.cpuMicros(world::acceptSameSet);
			}
		}));
		slopes.add(Slope.measure("endpoint-set.offer-bytes", "B", "endpoints", ENDPOINT_COUNTS,
				(endpoints) -> PeerCodec.encode(1, new PeerMessage.EndpointSetOffer(SampleData.domain(0),
						System.currentTimeMillis(), SampleData.endpointSet(endpoints, 1).contentHash())).length));
		slopes.add(Slope.measure("endpoint-set.hash", "us", "endpoints", ENDPOINT_COUNTS, (endpoints) -> {
			PeerMessage.EndpointSet set = SampleData.endpointSet(endpoints, 1);
			return CostMeter.cpuMicros(set::contentHash);
		}));
		slopes.add(Slope.measure("endpoint-set.take-offer", "us", "endpoints", ENDPOINT_COUNTS, (endpoints) -> {
			try (CreditServiceFixture world = new CreditServiceFixture(endpoints, DOMAIN_HOSTS)) {
				return CostMeter.cpuMicros(world::acceptOffer);
			}
		}));
		slopes.add(Slope.measure("endpoint-set.take-by-owners", "us", "owners", OWNER_COUNTS, (owners) -> {
			try (CreditServiceFixture world = new CreditServiceFixture(DOMAIN_ENDPOINTS, owners)) {
				return CostMeter.cpuMicros(world::acceptSameSet);
			}
		}));
		slopes.add(Slope.measure("credit.acquire-by-owners", "us", "owners", OWNER_COUNTS, (owners) -> {
			try (CreditServiceFixture world = new CreditServiceFixture(DOMAIN_ENDPOINTS, owners)) {
				return CostMeter.cpuMicros(world::acquireAndEnd);
			}
		}));
		return slopes;
	}

	private static double grantAndRelease(int endpoints) {
		Random random = new Random(endpoints);
		AtomicLong ids = new AtomicLong();
		CreditLedger ledger = CreditLedger.of(EndpointSelection.of(random), ids::incrementAndGet);
		ledger.policies(false, true);
		for (int i = 0; i < endpoints; i++) {
			ledger.addEndpoint(EndpointId.of("endpoint-" + i), false, 16, 0);
		}
		Deque<Long> credits = new ArrayDeque<>();
		return CostMeter.cpuMicros(() -> {
			// Keeps half of the capacity granted.
			if (credits.size() > endpoints * 8) {
				ledger.release(credits.removeFirst(), CreditLedger.Outcome.OK, 20, CreditLedger.CREDIT_LIFETIME_MILLIS);
			}
			ledger
				.grant(new EndpointSelection.Query(random.nextBoolean(), true, random.nextInt(10_000), 100, Set.of()),
						CreditLedger.CREDIT_LIFETIME_MILLIS)
				.forEach((loan) -> credits.add(loan.credit()));
		});
	}

	/**
	 * Credit service of one host whose peers do not respond.
	 */
	static final class CreditServiceFixture implements AutoCloseable {

		private final ManualClock clock = ManualClock.of(1_000_000);

		private final ExecutorService executor = Executors.newCachedThreadPool();

		private final HttpConnectionPool pool = new HttpConnectionPool();

		private final PeerMessage.EndpointSet set;

		private final CreditService service;

		private final long hash;

		private long sequence = 1;

		CreditServiceFixture(int endpoints, int owners) {
			Configuration configuration = SampleData.configuration(1, 6, 8, 8);
			this.set = SampleData.endpointSet(endpoints, 1);
			this.service = CreditService.builder()
				.mesh(new UnresponsiveMesh(owners))
				.configuration(new FixedConfiguration(configuration))
				.pool(this.pool)
				.counters(Counters.create())
				.clock(this.clock)
				.random(new Random(endpoints))
				.executor(this.executor)
				.build();
			this.service.accept(this.set);
			this.hash = this.set.contentHash();
			// A new owner grants no credits for one credit lifetime.
			this.clock.advance(2 * CreditLedger.CREDIT_LIFETIME_MILLIS);
			this.service.digests();
		}

		Credit acquire() {
			return this.service
				.acquire(new RouteRequest(SampleData.service(0), SampleData.workspace(0), true, true, this.sequence++,
						100, null, List.of()))
				.getOrElseThrow((refusal) -> new IllegalStateException("no credit: " + refusal));
		}

		private void acquireAndEnd() {
			acquire().end(Credit.Outcome.OK, 20, 100);
		}

		private void acceptSameSet() {
			this.service.accept(new PeerMessage.EndpointSet(this.set.domain(), ++this.sequence, this.set.endpoints(),
					this.set.weightHeads()));
		}

		private void acceptOffer() {
			PeerMessage offer = new PeerMessage.EndpointSetOffer(this.set.domain(), ++this.sequence, this.hash);
			PeerSlopes.decode(PeerCodec.encode(1, offer));
			this.service.accept((PeerMessage.EndpointSetOffer) offer);
		}

		@Override
		public void close() {
			this.service.close();
			this.executor.shutdownNow();
			this.pool.close();
		}

	}

	private static final class FixedConfiguration implements ConfigurationSource {

		private final Configuration configuration;

		private FixedConfiguration(Configuration configuration) {
			this.configuration = configuration;
		}

		@Override
		public Option<Configuration> current() {
			return Option.some(this.configuration);
		}

		@Override
		public void onChange(Consumer<Configuration> listener) {
			// The configuration never changes.
		}

	}

}
