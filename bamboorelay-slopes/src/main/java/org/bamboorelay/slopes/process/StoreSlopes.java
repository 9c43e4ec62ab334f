package org.bamboorelay.slopes.process;

import java.util.ArrayList;
import java.util.Collections;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.TreeMap;

import io.vavr.control.Option;
import org.bamboorelay.core.connection.PeerMessage;
import org.bamboorelay.core.process.LeaseContenders;
import org.bamboorelay.core.process.LeaseState;
import org.bamboorelay.core.process.OrderLog;
import org.bamboorelay.core.process.StoreOperation;
import org.bamboorelay.core.process.StoreStateMachine;
import org.bamboorelay.core.process.UsageParts;
import org.bamboorelay.core.process.UsageWindows;
import org.bamboorelay.core.request.BatchRecord;
import org.bamboorelay.core.request.DeliveryState;
import org.bamboorelay.core.request.SampleSlot;
import org.bamboorelay.core.request.StalenessBound;
import org.bamboorelay.core.request.StepPlan;
import org.bamboorelay.core.time.ManualClock;
import org.bamboorelay.core.version.ConfigurationRepository;
import org.bamboorelay.core.version.CoreJson;
import org.bamboorelay.core.version.FailureDomain;

/**
 * Object API calls per second by the number of hosts, each with an entry and a control
 * process. The state machines are those of the product; the intervals at which the
 * control process runs them are duplicated here, because its loops need a network.
 * <p>
 * Stateless.
 */
final class StoreSlopes {

	private static final int[] HOST_COUNTS = { 6, 24, 96, 360 };

	private static final int WARM_UP_MILLIS = 30_000;

	private static final int MEASURED_MILLIS = 60_000;

	private static final long WINDOW_MILLIS = 60_000;

	private static final long GRACE_MILLIS = 5_000;

	private static final int MAX_OPERATIONS = 128;

	private static final int[] DOMAIN_COUNTS = { 2, 3, 5, 8 };

	private static final int FEW_HOSTS = 40;

	/** Interval of 7,700 configuration changes per day. */
	private static final int CHANGE_INTERVAL_MILLIS = 11_221;

	private StoreSlopes() {
	}

	static List<Slope> measure() {
		Map<Integer, Map<String, double[]>> rates = new LinkedHashMap<>();
		for (int hosts : HOST_COUNTS) {
			rates.put(hosts, new Deployment(hosts, (hosts < 96) ? 3 : SampleData.DOMAINS).run());
		}
		Map<Integer, Map<String, double[]>> byDomains = new LinkedHashMap<>();
		for (int domains : DOMAIN_COUNTS) {
			byDomains.put(domains, new Deployment(FEW_HOSTS, domains).run());
		}
		List<Slope> slopes = new ArrayList<>();
		for (String writer : List.of("leases", "config", "orders", "weights", "usage")) {
			slopes.add(Slope.measure("store.reads/" + writer, "1/s", "hosts", HOST_COUNTS,
					(hosts) -> rates.get(hosts).getOrDefault(writer, new double[2])[0]));
			slopes.add(Slope.measure("store.writes/" + writer, "1/s", "domains", DOMAIN_COUNTS,
					(domains) -> byDomains.get(domains).getOrDefault(writer, new double[2])[1]));
		}
		for (int size : new int[] { 64, 1_024 }) {
			slopes.add(Slope.measure("store.writes-of-step/batch-" + size, "writes", "samples",
					new int[] { 2_048, 4_096, 8_192 }, (samples) -> batchWrites(samples, size)));
		}
		slopes.add(Slope.measure("store.batch-record", "B", "samples", new int[] { 64, 256, 1_024 },
				(samples) -> CoreJson.bytes(record(samples)).length));
		return slopes;
	}

	static void runOperations(StoreStateMachine decision, CountingStore store) {
		for (int i = 0; i < MAX_OPERATIONS; i++) {
			StoreOperation step = decision.next();
			if (step == null) {
				return;
			}
			decision.onResult(step, step.perform(store));
		}
	}

	/**
	 * Applies the usage counters of 45 hosts to the usage parts of a domain.
	 * @param parts the usage parts
	 * @param workspaces number of workspaces that each host served
	 */
	static void applyCounters(UsageParts parts, int workspaces) {
		for (int i = 0; i < 45; i++) {
			PeerMessage.UsageCounters counters = SampleData.usage(workspaces);
			parts.onCounters(SampleData.host(i),
					new PeerMessage.UsageCounters(counters.incarnation().substring(2) + i, false, counters.counts()));
		}
	}

	private static double batchWrites(int samples, int size) {
		DeliveryState delivery = DeliveryState.of(samples, 1);
		StepPlan plan = new StepPlan(new ArrayList<>(Collections.nCopies(samples / 8, 400L)), 8);
		plan.startOrder().forEach((slot) -> delivery.ready(entry(slot)));
		int writes = 0;
		while (!delivery.isComplete()) {
			for (DeliveryState.Action action : delivery.fetch(delivery.nextSequence(), false, size, 1,
					new StalenessBound(2), "t")) {
				if (action instanceof DeliveryState.Action.Propose propose) {
					delivery.applyRecord(propose.record());
					writes++;
				}
			}
		}
		return writes;
	}

	private static BatchRecord record(int samples) {
		List<BatchRecord.Entry> entries = new ArrayList<>();
		for (int i = 0; i < samples; i++) {
			entries.add(entry(new SampleSlot(i / 8, i % 8)));
		}
		return new BatchRecord(7, 1, "0b1c2d3e-4f50-6172-8394-a5b6c7d8e9f0", entries, false, false);
	}

	private static BatchRecord.Entry entry(SampleSlot slot) {
		return new BatchRecord.Entry("0b1c2d3e-4f50-6172-8394-" + slot.group() + "-" + slot.index(), slot, 1, 400,
				2_000, List.of(SampleData.host(0), SampleData.host(1)));
	}

	/**
	 * Simulation of the control processes of a deployment, with a manual clock.
	 */
	private static final class Deployment {

		private final ManualClock clock = ManualClock.of(10_000_000);

		private final CountingStore store = new CountingStore();

		private final Random random = new Random(1);

		private final List<FailureDomain> domains = new ArrayList<>();

		private final List<Control> controls = new ArrayList<>();

		private final Map<Integer, Integer> readers = new TreeMap<>();

		private Deployment(int hosts, int count) {
			for (int i = 0; i < count; i++) {
				this.domains.add(SampleData.domain(i));
			}
			for (int i = 0; i < hosts; i++) {
				int rank = this.readers.merge(i % count, 1, Integer::sum);
				// Readers and lease contenders are chosen by different hash functions.
				boolean reader = rank >= hosts / count - 1;
				this.controls.add(new Control(i, SampleData.domain(i % count), reader,
						rank <= LeaseContenders.CONTENDERS_PER_DOMAIN));
			}
			ConfigurationRepository writer = ConfigurationRepository.over(this.store,
					() -> "t" + this.random.nextLong());
			writer.write(SampleData.configuration(1, hosts, 8, 8), Option.none());
		}

		private Map<String, double[]> run() {
			ConfigurationRepository operator = ConfigurationRepository.over(this.store,
					() -> "t" + this.random.nextLong());
			for (int at = 0; at < WARM_UP_MILLIS + MEASURED_MILLIS; at += 100) {
				if (at == WARM_UP_MILLIS) {
					this.store.clearCalls();
				}
				if (at % CHANGE_INTERVAL_MILLIS < 100) {
					boolean out = at % (2 * CHANGE_INTERVAL_MILLIS) < 100;
					operator.update((present) -> present.withDomainInService(SampleData.domain(0), out), 2);
				}
				int now = at;
				this.controls.forEach((control) -> control.run(now));
				this.clock.advance(100);
			}
			Map<String, double[]> rates = new TreeMap<>();
			double seconds = MEASURED_MILLIS / 1_000.0;
			this.store.calls()
				.forEach((key, calls) -> rates.put(key,
						new double[] { calls.reads() / seconds, calls.writes() / seconds }));
			return rates;
		}

		/**
		 * Simulated control process with the loops of {@code ControlProcess}.
		 */
		private final class Control {

			private final int index;

			private final FailureDomain domain;

			private final boolean reader;

			private final LeaseState domainLease;

			private final LeaseState usageLease;

			private final ConfigurationRepository assembly;

			private final OrderLog orders;

			private final UsageParts parts;

			private final UsageWindows windows;

			private final boolean contender;

			private Control(int index, FailureDomain domain, boolean reader, boolean contender) {
				this.contender = contender;
				Deployment deployment = Deployment.this;
				this.index = index;
				this.domain = domain;
				this.reader = reader;
				this.domainLease = lease("leases/" + domain, true);
				this.usageLease = lease("leases/usage", false);
				this.assembly = ConfigurationRepository.over(deployment.store, () -> "t" + index);
				this.orders = OrderLog.of(domain, "holder-" + index, deployment.clock, this.domainLease::isHeld,
						deployment.random::nextDouble);
				this.parts = UsageParts.of(domain, "holder-" + index, deployment.clock, this.domainLease::isHeld,
						deployment.random::nextDouble);
				this.windows = UsageWindows.of("holder-" + index, deployment.clock, this.usageLease::isHeld,
						deployment.random::nextDouble);
			}

			private LeaseState lease(String key, boolean fenced) {
				return LeaseState
					.of(key, "holder-" + this.index, Deployment.this.clock, () -> LeaseState.Timing.standard(fenced),
							Deployment.this.random::nextDouble)
					.contendingWhen(() -> this.contender);
			}

			private void run(int at) {
				CountingStore api = Deployment.this.store;
				runOperations(this.domainLease, api);
				runOperations(this.usageLease, api);
				int staggeredAt = at + 100 * (this.index % 5);
				if (staggeredAt % (this.reader ? 500 : 2_000) == 0) {
					this.assembly.read();
				}
				boolean polls = this.reader || this.domainLease.isHeld();
				if (staggeredAt % 1_000 == 0) {
					if (polls) {
						api.list("weights/");
					}
					usage(api);
				}
				if (polls && staggeredAt % 2_000 == 0) {
					api.read(OrderLog.key(this.domain));
				}
				if (this.domainLease.isHeld()) {
					orders(api, staggeredAt);
				}
			}

			private void usage(CountingStore api) {
				long wall = Deployment.this.clock.millis();
				if (this.domainLease.isHeld()) {
					this.parts.beginTerm(this.domainLease.fencing());
					this.parts.onTick(wall, WINDOW_MILLIS, GRACE_MILLIS);
					// Without new counters a usage part is never dirty and writes no
					// checkpoint.
					StoreSlopes.applyCounters(this.parts, 1 + (int) (wall / 1_000 % 7));
					runOperations(this.parts, api);
				}
				if (this.usageLease.isHeld()) {
					this.windows.beginTerm(this.usageLease.fencing());
					this.windows.onTick(wall, Deployment.this.domains, WINDOW_MILLIS, GRACE_MILLIS);
					runOperations(this.windows, api);
					this.windows.sendable().forEach((record) -> this.windows.sent(record.window()));
					runOperations(this.windows, api);
				}
			}

			private void orders(CountingStore api, int staggeredAt) {
				this.orders.beginTerm(this.domainLease.fencing());
				runOperations(this.orders, api);
				if (staggeredAt % 5_000 == 0) {
					Deployment.this.domains.stream()
						.filter((other) -> !other.equals(this.domain))
						.forEach((other) -> api.read(OrderLog.key(other)));
				}
				// Two orders per minute, each a start or stop that is recorded and
				// completed.
				if (staggeredAt % 30_000 == 0) {
					String id = this.orders.add("start", SampleData.service(0), "steady", null).orderId();
					runOperations(this.orders, api);
					this.orders.complete(id);
					runOperations(this.orders, api);
				}
			}

		}

	}

}
