package org.bamboorelay.core.scenario;

import java.util.HashMap;
import java.util.List;
import java.util.Map;

import org.bamboorelay.core.version.EndpointId;
import org.bamboorelay.core.version.FailureDomain;

/**
 * The checkers of the invariants on endpoint selection. They evaluate the requests that
 * endpoints accepted.
 */
final class CreditCheckers {

	private CreditCheckers() {
	}

	static List<Checker> all(Simulation simulation) {
		return List.of(new ColdEndpointLoad(simulation), new DomainOutOfService(simulation),
				new LeavingEndpoint(simulation));
	}

	/**
	 * Checks that a cold endpoint accepts no request beyond its cold capacity once its
	 * owner can know that it is cold. The owner learns of a start from the next poll, and
	 * of a running endpoint that turned cold from three slow responses after five fast
	 * ones.
	 */
	private static final class ColdEndpointLoad extends Checker {

		/**
		 * Time after which an owner must know: one poll interval, or the maximum age of a
		 * grant, plus the network latency.
		 */
		private static final long DETECTION_MILLIS = 1_200;

		/**
		 * More than half of the nine responses of which an owner computes the median.
		 */
		private static final int FAST_RESPONSES = 5;

		private static final int SLOW_RESPONSES = 3;

		private final Map<EndpointId, ResponseHistory> history = new HashMap<>();

		ColdEndpointLoad(Simulation simulation) {
			super(simulation, Invariant.COLD_ENDPOINT_LOAD);
		}

		@Override
		void onObservation(Observation observation) {
			long now = this.simulation.loop.now();
			if (observation instanceof Observation.CreditReleased released) {
				ResponseHistory history = this.history.get(released.endpoint());
				if (history != null && history.owner.equals(released.owner()) && released.firstByteMillis() > 0) {
					history.onResponse(released.firstByteMillis() >= FakeEndpoints.COLD_FIRST_BYTE_MILLIS, now);
				}
			}
			else if (observation instanceof Observation.RequestAdmitted admitted) {
				FakeEndpoints.Engine endpoint = admitted.endpoint();
				ResponseHistory history = this.history.get(endpoint.id);
				boolean announced = endpoint.isCold() && !endpoint.coldUnreported;
				if (history == null || announced || !history.owner.equals(admitted.grantor())
						|| history.start != endpoint.starts) {
					history = new ResponseHistory(admitted.grantor(), endpoint.starts);
					this.history.put(endpoint.id, history);
				}
				history.coldSince(endpoint.coldSince);
				long knownSince = announced ? endpoint.coldSince : history.slowSince;
				if (endpoint.isCold() && knownSince < now - DETECTION_MILLIS) {
					recordCoverage();
					require(admitted.running() < FakeEndpoints.COLD_CAPACITY,
							() -> admitted.host() + " sends a request to " + endpoint.id + ", which has been cold for "
									+ (now - endpoint.coldSince) + " ms" + (announced ? "" : " without reporting it")
									+ " and runs " + admitted.running() + " requests, with a credit granted by "
									+ admitted.grantor());
				}
			}
		}

		/** The responses of an endpoint that were reported to one owner. */
		private static final class ResponseHistory {

			private final String owner;

			private final int start;

			private long coldSince;

			private int fastCount;

			private int slowCount;

			private long slowSince = Long.MAX_VALUE;

			private ResponseHistory(String owner, int start) {
				this.owner = owner;
				this.start = start;
			}

			private void coldSince(long since) {
				if (this.coldSince != since) {
					this.coldSince = since;
					this.slowCount = 0;
					this.slowSince = Long.MAX_VALUE;
				}
			}

			private void onResponse(boolean isSlow, long now) {
				if (!isSlow) {
					this.fastCount++;
				}
				else if (this.fastCount < FAST_RESPONSES) {
					this.fastCount = 0;
				}
				else if (++this.slowCount == SLOW_RESPONSES) {
					this.slowSince = now;
				}
			}

		}

	}

	private static final class DomainOutOfService extends Checker {

		DomainOutOfService(Simulation simulation) {
			super(simulation, Invariant.DOMAIN_OUT_OF_SERVICE);
		}

		@Override
		void onObservation(Observation observation) {
			if (!(observation instanceof Observation.RequestAdmitted admitted)) {
				return;
			}
			long cutoff = this.simulation.loop.now() - Invariant.LIMIT_MILLIS;
			if (this.simulation.operators.domainsOutAt.values().stream().anyMatch((since) -> since < cutoff)) {
				recordCoverage();
			}
			FailureDomain domain = admitted.endpoint().domain;
			Long since = this.simulation.operators.domainsOutAt.get(domain);
			// An isolated host cannot know that the domain is out of service
			// (section 10 of the design document, row 10).
			long connected = admitted.host().connectedSince;
			require(since == null || since >= cutoff || connected < 0 || connected >= cutoff,
					() -> admitted.host() + " sends a request to " + admitted.endpoint().id + " of " + domain
							+ ", which has been out of service for " + (this.simulation.loop.now() - since) + " ms");
		}

	}

	private static final class LeavingEndpoint extends Checker {

		LeavingEndpoint(Simulation simulation) {
			super(simulation, Invariant.LEAVING_ENDPOINT);
		}

		@Override
		void onObservation(Observation observation) {
			if (observation instanceof Observation.EndpointStopped) {
				recordCoverage();
			}
			else if (observation instanceof Observation.RequestAdmitted admitted) {
				FakeEndpoints.Engine endpoint = admitted.endpoint();
				long cutoff = this.simulation.loop.now() - Invariant.LIMIT_MILLIS;
				// The platform's announcement arrives only after the link is restored
				// (section 10 of the design document, row 14).
				boolean announced = !endpoint.listedLeaving
						|| this.simulation.endpoints.listedSince(endpoint.domain) < cutoff;
				require(endpoint.leavingSince < 0 || endpoint.leavingSince >= cutoff || !announced,
						() -> admitted.host() + " sends a request to " + endpoint.id + ", which has been leaving for "
								+ (this.simulation.loop.now() - endpoint.leavingSince) + " ms");
			}
		}

	}

}
