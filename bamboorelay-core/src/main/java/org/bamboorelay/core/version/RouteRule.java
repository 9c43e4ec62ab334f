package org.bamboorelay.core.version;

import java.util.ArrayList;
import java.util.List;
import java.util.Objects;

/**
 * One route: which requests it takes, which service serves them, and within which bounds.
 * <p>
 * Immutable and thread-safe.
 *
 * @param name the route's name
 * @param host the host name of the requests
 * @param pathPrefix the prefix of their paths, which begins and ends with a slash
 * @param kind what may be done with them
 * @param timeoutMillis the longest time to keep a caller waiting, in milliseconds
 * @param goalMillis the time in which an answer is on time, in milliseconds
 * @param priority the rank; 0 is the most urgent
 * @param shares the services that serve the route
 * @param maxAttempts the most endpoints that one request may be sent to
 * @param open whether callers need no key
 * @param resumable whether a stream may go on at another endpoint
 * @param singleVersion whether a sample must come from one weight version
 * @param resultDueMillis time from a submission to its last due result, in milliseconds
 * @param maxAgeMillis time after which an item may be given up, in milliseconds
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
	 * @param name the route's name
	 * @param host the host name
	 * @param pathPrefix the prefix of the paths
	 * @return the builder
	 */
	public static Builder builder(String name, String host, String pathPrefix) {
		return new Builder(name, host, pathPrefix);
	}

	/**
	 * Picks the service of one request.
	 * @param draw a number from 0 to below 1
	 * @return the service; empty where the route names none
	 */
	public String service(double draw) {
		int total = this.shares.stream().mapToInt(ServiceShare::weight).sum();
		double left = draw * total;
		String last = "";
		for (ServiceShare share : this.shares) {
			if (share.weight() > 0) {
				last = share.service();
				left -= share.weight();
				if (left < 0) {
					break;
				}
			}
		}
		return last;
	}

	/**
	 * Builds a rule.
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
		 * Sets what may be done with the requests.
		 * @param kind the kind
		 * @param resumable whether a stream may go on at another endpoint
		 * @return this builder
		 */
		public Builder kind(RouteKind kind, boolean resumable) {
			this.kind = kind;
			this.resumable = resumable;
			return this;
		}

		/**
		 * Sets the times of an answer.
		 * @param timeoutMillis the longest wait, in milliseconds
		 * @param goalMillis the time in which an answer is on time, in milliseconds
		 * @return this builder
		 */
		public Builder times(long timeoutMillis, long goalMillis) {
			this.timeoutMillis = timeoutMillis;
			this.goalMillis = goalMillis;
			return this;
		}

		/**
		 * Sets the times of a submission.
		 * @param resultDueMillis when its results are due, in milliseconds
		 * @param maxAgeMillis when its items may be given up, in milliseconds
		 * @return this builder
		 */
		public Builder submissionTimes(long resultDueMillis, long maxAgeMillis) {
			this.resultDueMillis = resultDueMillis;
			this.maxAgeMillis = maxAgeMillis;
			return this;
		}

		/**
		 * Sets the rank.
		 * @param priority the rank; 0 is the most urgent
		 * @return this builder
		 */
		public Builder priority(int priority) {
			this.priority = priority;
			return this;
		}

		/**
		 * Adds a service.
		 * @param service the service
		 * @param weight its share
		 * @return this builder
		 */
		public Builder share(String service, int weight) {
			this.shares.add(new ServiceShare(service, weight));
			return this;
		}

		/**
		 * Sets the most endpoints that one request may be sent to.
		 * @param maxAttempts the number, at least 1
		 * @return this builder
		 */
		public Builder maxAttempts(int maxAttempts) {
			this.maxAttempts = maxAttempts;
			return this;
		}

		/**
		 * Sets whether callers need no key.
		 * @param open whether the route is open to all
		 * @return this builder
		 */
		public Builder open(boolean open) {
			this.open = open;
			return this;
		}

		/**
		 * Sets whether a sample must come from one weight version.
		 * @param singleVersion whether it must
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
