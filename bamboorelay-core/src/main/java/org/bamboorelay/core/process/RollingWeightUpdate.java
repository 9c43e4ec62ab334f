package org.bamboorelay.core.process;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Set;
import java.util.TreeMap;
import java.util.function.DoubleSupplier;

import org.bamboorelay.core.version.EndpointId;
import org.bamboorelay.core.version.LineId;
import org.bamboorelay.core.version.ServiceId;
import org.bamboorelay.core.version.WeightVersion;

/**
 * Updates the weights of the endpoints of a failure domain in waves. Whether a swap has
 * succeeded is determined from the version that the endpoint reports, not from the
 * response to the order.
 * <p>
 * Not thread-safe; used by one loop.
 */
public final class RollingWeightUpdate {

	/**
	 * Time after which a swap has failed if the endpoint does not report the version, in
	 * milliseconds.
	 */
	private static final long SWAP_TIMEOUT_MILLIS = 10_000;

	private static final long RETRY_BASE_MILLIS = 1_000;

	private static final long RETRY_CAP_MILLIS = 30_000;

	/**
	 * Duration of the turns in which the domains use the remainder of the allowed swaps,
	 * in milliseconds. Swaps of a turn begin only in its first half, so that most of them
	 * have finished when the turn of the next domain begins. With turns of 20 s an update
	 * of a small deployment took 18 to 28 s, of the 30 s available for new weights.
	 */
	private static final long TURN_MILLIS = 6_000;

	private static final int SWAP_SHARE_DIVISOR = 3;

	private final DoubleSupplier random;

	private final Map<SwapTarget, SwapInProgress> inProgress = new HashMap<>();

	private final Map<SwapTarget, Retry> retries = new HashMap<>();

	private double tokens;

	private long refilledAtMillis;

	private boolean initialized;

	private RollingWeightUpdate(DoubleSupplier random) {
		this.random = Objects.requireNonNull(random, "random");
	}

	/**
	 * Creates the update of a domain.
	 * @param random returns numbers from 0 (inclusive) to 1 (exclusive), for jitter
	 * @return the update
	 */
	public static RollingWeightUpdate of(DoubleSupplier random) {
		return new RollingWeightUpdate(random);
	}

	/**
	 * Returns how many endpoints of a service may swap concurrently in a domain. A third
	 * of the endpoints of the service, at least one, is divided among the domains, which
	 * take turns in using the remainder.
	 * @param total the number of endpoints of the service in all domains
	 * @param domains the number of failure domains
	 * @param index the zero-based index of this domain
	 * @param wallMillis the wall clock, in milliseconds since the epoch
	 * @return the number of endpoints
	 */
	public static int allowedSwaps(int total, int domains, int index, long wallMillis) {
		int allowedInAllDomains = Math.max(1, total / SWAP_SHARE_DIVISOR);
		int remainder = allowedInAllDomains % domains;
		long turn = Math.floorDiv(wallMillis, TURN_MILLIS);
		boolean inFirstHalf = Math.floorMod(wallMillis, TURN_MILLIS) < TURN_MILLIS / 2;
		boolean ownTurn = Math.floorMod(index + turn, (long) domains) < remainder;
		return allowedInAllDomains / domains + ((ownTurn && inFirstHalf) ? 1 : 0);
	}

	/**
	 * Decides which swaps to order now.
	 * @param view the domain
	 * @param nowMillis the monotonic clock, in milliseconds
	 * @return the orders to send
	 */
	public List<Swap> decide(DomainView view, long nowMillis) {
		refillTokens(view, nowMillis);
		removeFinished(view, nowMillis);
		Map<ServiceId, Integer> swappingByService = new HashMap<>();
		Set<EndpointId> swappingEndpoints = new HashSet<>();
		view.endpoints().forEach((endpoint) -> {
			if (this.inProgress.keySet().stream().anyMatch((target) -> target.endpoint().equals(endpoint.endpoint()))) {
				swappingByService.merge(endpoint.service(), 1, Integer::sum);
				swappingEndpoints.add(endpoint.endpoint());
			}
		});
		List<Swap> swaps = new ArrayList<>();
		for (EndpointView endpoint : view.endpoints()) {
			Map<LineId, Long> latestVersions = new TreeMap<>(
					view.latestVersions().getOrDefault(endpoint.service(), Map.of()));
			for (Map.Entry<LineId, Long> latestVersion : latestVersions.entrySet()) {
				SwapTarget target = new SwapTarget(endpoint.endpoint(), latestVersion.getKey());
				boolean outdated = endpoint.versions().getOrDefault(latestVersion.getKey(), 0L) < latestVersion
					.getValue();
				Retry retry = this.retries.getOrDefault(target, new Retry(0, Long.MIN_VALUE));
				if (!outdated || this.inProgress.containsKey(target) || nowMillis < retry.notBeforeMillis()) {
					continue;
				}
				if (!view.allAtOnce()) {
					int allowedSwaps = view.allowedSwaps().getOrDefault(endpoint.service(), 0);
					if (swappingEndpoints.contains(endpoint.endpoint())
							|| swappingByService.getOrDefault(endpoint.service(), 0) >= allowedSwaps
							|| this.tokens < 1) {
						continue;
					}
					this.tokens -= 1;
				}
				if (swappingEndpoints.add(endpoint.endpoint())) {
					swappingByService.merge(endpoint.service(), 1, Integer::sum);
				}
				this.inProgress.put(target, new SwapInProgress(latestVersion.getValue(), nowMillis));
				swaps.add(new Swap(endpoint.endpoint(),
						WeightVersion.of(latestVersion.getKey(), latestVersion.getValue()), retry.failures()));
			}
		}
		return swaps;
	}

	/**
	 * Records that an endpoint refused a swap or could not be reached.
	 * @param swap the order
	 * @param nowMillis the monotonic clock, in milliseconds
	 */
	public void onFailed(Swap swap, long nowMillis) {
		scheduleRetry(new SwapTarget(swap.endpoint(), swap.version().line()), nowMillis);
	}

	private void removeFinished(DomainView view, long nowMillis) {
		Map<EndpointId, EndpointView> present = new HashMap<>();
		view.endpoints().forEach((endpoint) -> present.put(endpoint.endpoint(), endpoint));
		this.retries.keySet().removeIf((target) -> !present.containsKey(target.endpoint()));
		for (Map.Entry<SwapTarget, SwapInProgress> entry : List.copyOf(this.inProgress.entrySet())) {
			SwapTarget target = entry.getKey();
			EndpointView endpoint = present.get(target.endpoint());
			if (endpoint == null) {
				this.inProgress.remove(target);
			}
			else if (endpoint.versions().getOrDefault(target.line(), 0L) >= entry.getValue().number()) {
				this.inProgress.remove(target);
				this.retries.remove(target);
			}
			else if (nowMillis - entry.getValue().startedAtMillis() >= SWAP_TIMEOUT_MILLIS) {
				scheduleRetry(target, nowMillis);
			}
		}
	}

	private void scheduleRetry(SwapTarget target, long nowMillis) {
		this.inProgress.remove(target);
		int failures = this.retries.getOrDefault(target, new Retry(0, 0)).failures();
		long fullDelayMillis = Math.min(RETRY_CAP_MILLIS,
				RETRY_BASE_MILLIS << Math.min(failures, SWAP_SHARE_DIVISOR + 2));
		long delayMillis = fullDelayMillis / 2
				+ (long) (this.random.getAsDouble() * (fullDelayMillis - fullDelayMillis / 2));
		this.retries.put(target, new Retry(failures + 1, nowMillis + delayMillis));
	}

	private void refillTokens(DomainView view, long nowMillis) {
		double burst = Math.max(1, view.loadsPerSecond());
		double newTokens = this.initialized ? (nowMillis - this.refilledAtMillis) / 1000.0 * view.loadsPerSecond()
				: burst;
		this.tokens = Math.min(burst, this.tokens + newTokens);
		this.refilledAtMillis = nowMillis;
		this.initialized = true;
	}

	/**
	 * The endpoints and weights of a failure domain.
	 *
	 * @param endpoints the live endpoints of model services
	 * @param latestVersions the latest version of each line, by service
	 * @param allowedSwaps the number of endpoints that may swap concurrently, by service
	 * @param loadsPerSecond this domain's share of the weight store's rate
	 * @param allAtOnce whether the baseline policy, which swaps all endpoints at once, is
	 * in force
	 */
	public record DomainView(List<EndpointView> endpoints, Map<ServiceId, Map<LineId, Long>> latestVersions,
			Map<ServiceId, Integer> allowedSwaps, double loadsPerSecond, boolean allAtOnce) {

		public DomainView {
			endpoints = List.copyOf(endpoints);
			latestVersions = Map.copyOf(latestVersions);
			allowedSwaps = Map.copyOf(allowedSwaps);
		}

	}

	/**
	 * An endpoint with its reported versions.
	 *
	 * @param endpoint the id of the endpoint
	 * @param service the service
	 * @param versions the version of each line
	 */
	public record EndpointView(EndpointId endpoint, ServiceId service, Map<LineId, Long> versions) {

		public EndpointView {
			versions = Map.copyOf(versions);
		}

	}

	/**
	 * An order to load weights.
	 *
	 * @param endpoint the endpoint
	 * @param version the version to load
	 * @param failures the number of previous failures of this swap
	 */
	public record Swap(EndpointId endpoint, WeightVersion version, int failures) {
	}

	private record SwapTarget(EndpointId endpoint, LineId line) {
	}

	private record SwapInProgress(long number, long startedAtMillis) {
	}

	private record Retry(int failures, long notBeforeMillis) {
	}

}
