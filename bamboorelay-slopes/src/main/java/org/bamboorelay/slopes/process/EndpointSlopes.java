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
 * Costs by the number of endpoints, and by the number of hosts that own them.
 * <p>
 * Stateless.
 */
final class EndpointSlopes {

	private static final int[] ENDPOINTS = { 8, 64, 825, 6_600 };

	private static final int[] OWNERS = { 2, 12, 24, 45 };

	private static final int DOMAIN_ENDPOINTS = 825;

	private static final int DOMAIN_HOSTS = 45;

	private EndpointSlopes() {
	}

	static List<Slope> measure() {
		List<Slope> slopes = new ArrayList<>();
		slopes.add(Slope.measure("credit.lend-return", "us", "endpoints", ENDPOINTS, EndpointSlopes::lendAndReturn));
		slopes.add(Slope.measure("credit.acquire-end", "us", "endpoints", ENDPOINTS, (endpoints) -> {
			try (World world = new World(endpoints, 1)) {
				return Meter.micros(world::acquireAndEnd);
			}
		}));
		slopes.add(Slope.measure("credit.digest", "us", "endpoints", ENDPOINTS, (endpoints) -> {
			try (World world = new World(endpoints, 1)) {
				return Meter.micros(world.service::digests);
			}
		}));
		slopes.add(Slope.measure("endpoint-set.bytes", "B", "endpoints", ENDPOINTS,
				(endpoints) -> PeerCodec.encode(1, Samples.endpointSet(endpoints, 1)).length));
		slopes.add(Slope.measure("endpoint-set.encode", "us", "endpoints", ENDPOINTS, (endpoints) -> {
			PeerMessage set = Samples.endpointSet(endpoints, 1);
			return Meter.micros(() -> PeerCodec.encode(1, set));
		}));
		slopes.add(Slope.measure("endpoint-set.decode", "us", "endpoints", ENDPOINTS, (endpoints) -> {
			byte[] frame = PeerCodec.encode(1, Samples.endpointSet(endpoints, 1));
			return Meter.micros(() -> PeerSlopes.decode(frame));
		}));
		slopes.add(Slope.measure("endpoint-set.take", "us", "endpoints", ENDPOINTS, (endpoints) -> {
			try (World world = new World(endpoints, DOMAIN_HOSTS)) {
				return Meter.micros(world::takeSameSet);
			}
		}));
		slopes.add(Slope.measure("endpoint-set.offer-bytes", "B", "endpoints", ENDPOINTS,
				(endpoints) -> PeerCodec.encode(1, new PeerMessage.EndpointSetOffer(Samples.domain(0),
						System.currentTimeMillis(), Samples.endpointSet(endpoints, 1).contentHash())).length));
		slopes.add(Slope.measure("endpoint-set.hash", "us", "endpoints", ENDPOINTS, (endpoints) -> {
			PeerMessage.EndpointSet set = Samples.endpointSet(endpoints, 1);
			return Meter.micros(set::contentHash);
		}));
		slopes.add(Slope.measure("endpoint-set.take-offer", "us", "endpoints", ENDPOINTS, (endpoints) -> {
			try (World world = new World(endpoints, DOMAIN_HOSTS)) {
				return Meter.micros(world::takeOffer);
			}
		}));
		slopes.add(Slope.measure("endpoint-set.take-by-owners", "us", "owners", OWNERS, (owners) -> {
			try (World world = new World(DOMAIN_ENDPOINTS, owners)) {
				return Meter.micros(world::takeSameSet);
			}
		}));
		slopes.add(Slope.measure("credit.acquire-by-owners", "us", "owners", OWNERS, (owners) -> {
			try (World world = new World(DOMAIN_ENDPOINTS, owners)) {
				return Meter.micros(world::acquireAndEnd);
			}
		}));
		return slopes;
	}

	private static double lendAndReturn(int endpoints) {
		Random random = new Random(endpoints);
		AtomicLong ids = new AtomicLong();
		CreditLedger ledger = CreditLedger.of(EndpointSelection.of(random), ids::incrementAndGet);
		ledger.policies(false, true);
		for (int i = 0; i < endpoints; i++) {
			ledger.own(EndpointId.of("endpoint-" + i), false, 16, 0);
		}
		Deque<Long> credits = new ArrayDeque<>();
		return Meter.micros(() -> {
			// Half of the capacity stays lent.
			if (credits.size() > endpoints * 8) {
				ledger.giveBack(credits.removeFirst(), CreditLedger.Outcome.OK, 20, CreditLedger.CREDIT_MILLIS);
			}
			ledger
				.lend(new EndpointSelection.Query(random.nextBoolean(), true, random.nextInt(10_000), 100, Set.of()),
						CreditLedger.CREDIT_MILLIS)
				.forEach((loan) -> credits.add(loan.credit()));
		});
	}

	/**
	 * The credit service of one host, with a network that answers nothing.
	 */
	static final class World implements AutoCloseable {

		private final ManualClock clock = ManualClock.of(1_000_000);

		private final ExecutorService executor = Executors.newCachedThreadPool();

		private final HttpConnectionPool pool = new HttpConnectionPool();

		private final PeerMessage.EndpointSet set;

		private final CreditService service;

		private final long hash;

		private long sequence = 1;

		World(int endpoints, int owners) {
			Configuration configuration = Samples.configuration(1, 6, 8, 8);
			this.set = Samples.endpointSet(endpoints, 1);
			this.service = CreditService.builder()
				.mesh(new MemoryMesh(owners))
				.configuration(new Fixed(configuration))
				.pool(this.pool)
				.counters(Counters.create())
				.clock(this.clock)
				.random(new Random(endpoints))
				.executor(this.executor)
				.build();
			this.service.accept(this.set);
			this.hash = this.set.contentHash();
			// A new owner lends nothing for one credit length.
			this.clock.advance(2 * CreditLedger.CREDIT_MILLIS);
			this.service.digests();
		}

		Credit acquire() {
			return this.service
				.acquire(new RouteRequest(Samples.service(0), Samples.workspace(0), true, true, this.sequence++, 100,
						null, List.of()))
				.getOrElseThrow((refusal) -> new IllegalStateException("no credit: " + refusal));
		}

		private void acquireAndEnd() {
			acquire().end(Credit.Outcome.OK, 20, 100);
		}

		private void takeSameSet() {
			this.service.accept(new PeerMessage.EndpointSet(this.set.domain(), ++this.sequence, this.set.endpoints(),
					this.set.weightHeads()));
		}

		private void takeOffer() {
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

	private static final class Fixed implements ConfigurationSource {

		private final Configuration configuration;

		private Fixed(Configuration configuration) {
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
