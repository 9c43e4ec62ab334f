package org.bamboorelay.core.scenario;

import java.util.HashMap;
import java.util.List;
import java.util.Map;

import org.bamboorelay.core.version.EndpointId;
import org.bamboorelay.core.version.FailureDomain;

/**
 * The checkers of the invariants about which endpoint gets a request. They judge by what
 * the endpoints took.
 */
final class CreditCheckers {

	private CreditCheckers() {
	}

	static List<Checker> all(World world) {
		return List.of(new ColdLoad(world), new DomainOut(world), new Leaving(world));
	}

	/**
	 * A cold endpoint takes no request above what it bears, once its owner can know that
	 * it is cold. The next poll tells of a start. Three slow answers after five fast ones
	 * tell an owner of an endpoint that turned cold while it ran.
	 */
	private static final class ColdLoad extends Checker {

		/** A poll, or the age at which a grant is no longer used, and the way there. */
		private static final long KNOWN_MILLIS = 1_200;

		/** More than half of the nine answers of which an owner takes the median. */
		private static final int FAST_ANSWERS = 5;

		private static final int SLOW_ANSWERS = 3;

		private final Map<EndpointId, Seen> seen = new HashMap<>();

		ColdLoad(World world) {
			super(world, Invariant.COLD_ENDPOINT_LOAD);
		}

		@Override
		void on(Fact fact) {
			long now = this.world.loop.now();
			if (fact instanceof Fact.Returned returned) {
				Seen seen = this.seen.get(returned.endpoint());
				if (seen != null && seen.owner.equals(returned.owner()) && returned.firstByte() > 0) {
					seen.answered(returned.firstByte() >= FakeEndpoints.COLD_MILLIS, now);
				}
			}
			else if (fact instanceof Fact.Admitted admitted) {
				FakeEndpoints.Engine endpoint = admitted.endpoint();
				Seen seen = this.seen.get(endpoint.id);
				boolean told = endpoint.isCold() && !endpoint.coldUnseen;
				if (seen == null || told || !seen.owner.equals(admitted.lender()) || seen.start != endpoint.starts) {
					seen = new Seen(admitted.lender(), endpoint.starts);
					this.seen.put(endpoint.id, seen);
				}
				seen.coldSince(endpoint.coldSince);
				long known = told ? endpoint.coldSince : seen.slowAt;
				if (endpoint.isCold() && known < now - KNOWN_MILLIS) {
					occurred();
					require(admitted.running() < FakeEndpoints.COLD_BEARS,
							() -> admitted.host() + " sends " + endpoint.id + ", cold for " + (now - endpoint.coldSince)
									+ " ms" + (told ? "" : " unseen") + ", a request beside " + admitted.running()
									+ " with a credit of " + admitted.lender());
				}
			}
		}

		/** Answers of an endpoint that came back to one owner. */
		private static final class Seen {

			private final String owner;

			private final int start;

			private long coldSince;

			private int fast;

			private int slow;

			private long slowAt = Long.MAX_VALUE;

			private Seen(String owner, int start) {
				this.owner = owner;
				this.start = start;
			}

			private void coldSince(long since) {
				if (this.coldSince != since) {
					this.coldSince = since;
					this.slow = 0;
					this.slowAt = Long.MAX_VALUE;
				}
			}

			private void answered(boolean isSlow, long now) {
				if (!isSlow) {
					this.fast++;
				}
				else if (this.fast < FAST_ANSWERS) {
					this.fast = 0;
				}
				else if (++this.slow == SLOW_ANSWERS) {
					this.slowAt = now;
				}
			}

		}

	}

	private static final class DomainOut extends Checker {

		DomainOut(World world) {
			super(world, Invariant.DOMAIN_OUT);
		}

		@Override
		void on(Fact fact) {
			if (!(fact instanceof Fact.Admitted admitted)) {
				return;
			}
			long latest = this.world.loop.now() - Invariant.LIMIT_MILLIS;
			if (this.world.operators.domainsOutAt.values().stream().anyMatch((since) -> since < latest)) {
				occurred();
			}
			FailureDomain domain = admitted.endpoint().domain;
			Long since = this.world.operators.domainsOutAt.get(domain);
			// Section 10 of the design page, row 10: a host that is cut off does not
			// know.
			long connected = admitted.host().connectedSince;
			require(since == null || since >= latest || connected < 0 || connected >= latest,
					() -> admitted.host() + " sends a request to " + admitted.endpoint().id + " of " + domain
							+ ", out for " + (this.world.loop.now() - since) + " ms");
		}

	}

	private static final class Leaving extends Checker {

		Leaving(World world) {
			super(world, Invariant.LEAVING_ENDPOINT);
		}

		@Override
		void on(Fact fact) {
			if (fact instanceof Fact.Left) {
				occurred();
			}
			else if (fact instanceof Fact.Admitted admitted) {
				FakeEndpoints.Engine endpoint = admitted.endpoint();
				long latest = this.world.loop.now() - Invariant.LIMIT_MILLIS;
				// Section 10, row 14: the platform's sign waits until the link returns.
				boolean told = !endpoint.listedLeaving || this.world.endpoints.listedSince(endpoint.domain) < latest;
				require(endpoint.signAt < 0 || endpoint.signAt >= latest || !told,
						() -> admitted.host() + " sends a request to " + endpoint.id + ", leaving for "
								+ (this.world.loop.now() - endpoint.signAt) + " ms");
			}
		}

	}

}
