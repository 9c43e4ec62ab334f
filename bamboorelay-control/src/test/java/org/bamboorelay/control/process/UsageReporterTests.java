package org.bamboorelay.control.process;

import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Set;

import io.vavr.control.Either;
import io.vavr.control.Option;
import org.bamboorelay.control.connection.EntryLinks;
import org.bamboorelay.control.connection.PlatformClient;
import org.bamboorelay.control.version.ControlSettings;
import org.bamboorelay.core.connection.PeerMessage;
import org.bamboorelay.core.process.LeaseState;
import org.bamboorelay.core.store.ObjectStore;
import org.bamboorelay.core.store.StoreFailure;
import org.bamboorelay.core.store.StoredObject;
import org.bamboorelay.core.time.ManualClock;
import org.bamboorelay.core.version.Configuration;
import org.bamboorelay.core.version.FailureDomain;
import org.bamboorelay.core.version.HostId;
import org.bamboorelay.core.version.Inventory;
import org.bamboorelay.core.version.KeyTable;
import org.bamboorelay.core.version.Rules;
import org.bamboorelay.runtime.connection.HttpConnectionPool;
import org.bamboorelay.runtime.process.Counters;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Guards against a new lease holder that scales by request rates that it has not read
 * yet, and against usage counters that no process reads while the store is down.
 */
class UsageReporterTests {

	private static final FailureDomain DOMAIN = FailureDomain.of("gt-centro-a");

	private final LeaseStore store = new LeaseStore();

	private final ManualClock clock = ManualClock.of(10_000);

	private final LeaseState lease = LeaseState.of("leases/" + DOMAIN, "here", this.clock,
			() -> LeaseState.Timing.standard(true), () -> 0.5);

	@Test
	void rateIsKnownOnlyAfterTwoReadingsByHolder() {
		ControlSettings settings = new ControlSettings("huerto", HostId.of("control-1"), DOMAIN, "", "", "", "", 1,
				List.of(), "");
		EntryLinks links = new EntryLinks(
				PeerMessage.Hello.of("huerto", settings.host(), DOMAIN, "control", "incarnation"), Runnable::run);
		try (HttpConnectionPool pool = new HttpConnectionPool()) {
			ControlContext context = new ControlContext(settings, "incarnation", this.store, PlatformClient.of(pool),
					links, Counters.create(), Runnable::run);
			context.activate(new Configuration(1, new Inventory("huerto", List.of(), List.of(), List.of(), List.of()),
					new Rules(List.of(), List.of(), List.of(), new Rules.AdmissionRule(100, 60_000, 60_000),
							new Rules.UsageRule(1_000, 1_000),
							new Rules.IsolationRule(Rules.WhenIsolated.REFUSE, 4_000),
							new Rules.PolicyRule("fair", "affinity", "ramp", "demand", "waves", "resume")),
					KeyTable.empty(), Set.of()));
			UsageReporter reporter = new UsageReporter(context, this.lease, this.lease);
			reporter.pullCounters();
			reporter.pullCounters();
			assertThat(reporter.isRateKnown()).isFalse();

			context.runOperations(this.lease);
			assertThat(this.lease.isHeld()).isTrue();
			reporter.pullCounters();
			assertThat(reporter.isRateKnown()).isFalse();
			reporter.pullCounters();
			assertThat(reporter.isRateKnown()).isTrue();

			this.store.down = true;
			this.clock.advance(60_000);
			context.runOperations(this.lease);
			reporter.pullCounters();
			assertThat(this.lease.isHeld()).isFalse();
			assertThat(reporter.isRateKnown()).as("reads on while the store is down").isTrue();

			this.store.down = false;
			this.store.version++;
			this.store.body = "{\"holder\":\"other\",\"token\":\"t\",\"fencing\":2,\"released\":false}";
			this.clock.advance(2_000);
			context.runOperations(this.lease);
			reporter.pullCounters();
			assertThat(reporter.isRateKnown()).as("another holder was seen").isFalse();
		}
	}

	/** Object store that contains one lease. */
	private static final class LeaseStore implements ObjectStore {

		private String body = "";

		private long version;

		private boolean down;

		@Override
		public Either<StoreFailure, Option<StoredObject>> read(String key) {
			if (this.down) {
				return Either.left(new StoreFailure.Unavailable("down"));
			}
			return Either.right((this.version == 0) ? Option.none()
					: Option.some(new StoredObject(key, this.version, this.body.getBytes(StandardCharsets.UTF_8))));
		}

		@Override
		public Either<StoreFailure, Long> create(String key, byte[] value) {
			return replace(key, value, this.version);
		}

		@Override
		public Either<StoreFailure, Long> replace(String key, byte[] value, long expectedVersion) {
			if (this.down) {
				return Either.left(new StoreFailure.Unavailable("down"));
			}
			this.body = new String(value, StandardCharsets.UTF_8);
			return Either.right(++this.version);
		}

		@Override
		public Either<StoreFailure, Long> delete(String key, long expectedVersion) {
			throw new UnsupportedOperationException("a lease is never deleted");
		}

		@Override
		public Either<StoreFailure, List<Entry>> list(String prefix) {
			return Either.right(List.of());
		}

	}

}
