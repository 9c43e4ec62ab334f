package org.bamboorelay.core.version;

import java.util.ArrayList;
import java.util.List;
import java.util.Objects;

/**
 * A route: the requests that match it, the services that serve them, and their limits.
 * <p>
 * Immutable and thread-safe.
 *
 * @param name name of the route
 * @param host host name of the requests
 * @param pathPrefix prefix of the request paths, which begins and ends with a slash
 * @param kind execution semantics of the requests
 * @param timeoutMillis maximum time until a caller receives a response, in milliseconds
 * @param goalMillis latency objective of a response, in milliseconds
 * @param priority the priority; 0 is the highest
 * @param shares the services that serve the route, with their weights
 * @param maxAttempts maximum number of endpoints to which a request is sent
 * @param open whether callers need no API key
 * @param resumable whether another endpoint may continue an interrupted stream
 * @param singleVersion whether all tokens of a sample must come from one weight version
 * @param resultDueMillis time from a submission until all its results are due, in
 * milliseconds
 * @param maxAgeMillis time after which an item of a submission may be abandoned, in
 * milliseconds
 */
public record RouteRule(String name, String host, String pathPrefix, RouteKind kind, long timeoutMillis,
		long goalMillis, int priority, List<ServiceShare> shares, int maxAttempts, boolean open, boolean resumable,
		boolean singleVersion, long resultDueMillis, long maxAgeMillis) {

	public RouteRule {
		Objects.requireNonNull(name, "name");
		Objects.requireNonNull(host, "host");
		Objects.requireNonNull(pathPrefix, "pathPrefix");
		Objects.requireNonNull(kind, "kind");
		shares = List.copyOf(shares);
		if (maxAttempts < 1) {
			throw new IllegalArgumentException("maxAttempts must be positive: " + maxAttempts);
		}
	}

	/**
	 * Creates a builder.
	 * @param name name of the route
	 * @param host host name of the requests
	 * @param pathPrefix prefix of the request paths
	 * @return the builder
	 */
	public static Builder builder(String name, String host, String pathPrefix) {
		return new Builder(name, host, pathPrefix);
	}

	/**
	 * Selects the service for a request, in proportion to the weights of the shares.
	 * @param random a uniformly distributed random number from 0 (inclusive) to 1
	 * (exclusive)
	 * @return name of the service, or the empty string if the route has none
	 */
	public String service(double random) {
		int totalWeight = this.shares.stream().mapToInt(ServiceShare::weight).sum();
		double remaining = random * totalWeight;
		String selected = "";
		for (ServiceShare share : this.shares) {
			if (share.weight() > 0) {
				selected = share.service();
				remaining -= share.weight();
				if (remaining < 0) {
					break;
				}
			}
		}
		return selected;
	}

	/**
	 * Builder of route rules. By default a route is executed at most once, in a single
	 * attempt, without time limits.
	 * <p>
	 * Not thread-safe.
	 */
	public static final class Builder {

		private final String name;

		private final String host;

		private final String pathPrefix;

		private RouteKind kind = RouteKind.AT_MOST_ONCE;

		private long timeoutMillis = Long.MAX_VALUE;

		private long goalMillis = Long.MAX_VALUE;

		private int priority;

		private final List<ServiceShare> shares = new ArrayList<>();

		private int maxAttempts = 1;

		private boolean open;

		private boolean resumable;

		private boolean singleVersion;

		private long resultDueMillis = Long.MAX_VALUE;

		private long maxAgeMillis = Long.MAX_VALUE;

		private Builder(String name, String host, String pathPrefix) {
			this.name = name;
			this.host = host;
			this.pathPrefix = pathPrefix;
		}

		/**
		 * Sets the execution semantics of the requests.
		 * @param kind the kind
		 * @param resumable whether another endpoint may continue an interrupted stream
		 * @return this builder
		 */
		public Builder kind(RouteKind kind, boolean resumable) {
			this.kind = kind;
			this.resumable = resumable;
			return this;
		}

		/**
		 * Sets the time limits of a response.
		 * @param timeoutMillis maximum time until a caller receives a response, in
		 * milliseconds
		 * @param goalMillis latency objective, in milliseconds
		 * @return this builder
		 */
		public Builder times(long timeoutMillis, long goalMillis) {
			this.timeoutMillis = timeoutMillis;
			this.goalMillis = goalMillis;
			return this;
		}

		/**
		 * Sets the time limits of a submission.
		 * @param resultDueMillis time until all results are due, in milliseconds
		 * @param maxAgeMillis time after which an item may be abandoned, in milliseconds
		 * @return this builder
		 */
		public Builder submissionTimes(long resultDueMillis, long maxAgeMillis) {
			this.resultDueMillis = resultDueMillis;
			this.maxAgeMillis = maxAgeMillis;
			return this;
		}

		/**
		 * Sets the priority.
		 * @param priority the priority; 0 is the highest
		 * @return this builder
		 */
		public Builder priority(int priority) {
			this.priority = priority;
			return this;
		}

		/**
		 * Adds a service.
		 * @param service the service
		 * @param weight weight of the service, relative to the other services of the
		 * route
		 * @return this builder
		 */
		public Builder share(String service, int weight) {
			this.shares.add(new ServiceShare(service, weight));
			return this;
		}

		/**
		 * Sets the maximum number of endpoints to which a request is sent.
		 * @param maxAttempts the number, at least 1
		 * @return this builder
		 */
		public Builder maxAttempts(int maxAttempts) {
			this.maxAttempts = maxAttempts;
			return this;
		}

		/**
		 * Sets whether callers need no API key.
		 * @param open whether requests without an API key are accepted
		 * @return this builder
		 */
		public Builder open(boolean open) {
			this.open = open;
			return this;
		}

		/**
		 * Sets whether all tokens of a sample must come from one weight version.
		 * @param singleVersion whether to require a single version
		 * @return this builder
		 */
		public Builder singleVersion(boolean singleVersion) {
			this.singleVersion = singleVersion;
			return this;
		}

		/**
		 * Builds the rule.
		 * @return the rule
		 */
		public RouteRule build() {
			return new RouteRule(this.name, this.host, this.pathPrefix, this.kind, this.timeoutMillis, this.goalMillis,
					this.priority, this.shares, this.maxAttempts, this.open, this.resumable, this.singleVersion,
					this.resultDueMillis, this.maxAgeMillis);
		}

	}

}
