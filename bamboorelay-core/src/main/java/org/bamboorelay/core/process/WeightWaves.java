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
 * Rolls new weights out over the endpoints of a failure domain in waves. Whether a swap
 * succeeded is read from the endpoint's own version, never from the answer to the order.
 * <p>
 * Not thread-safe; used by one loop.
 */
public final class WeightWaves {

	/** A swap not seen in the endpoint's version after this long has failed. */
	private static final long SWAP_TIMEOUT_MILLIS = 10_000;

	private static final long RETRY_BASE_MILLIS = 1_000;

	private static final long RETRY_CAP_MILLIS = 30_000;

	/**
	 * Length of the slots in which the domains take turns for the remainder of the
	 * allowed swaps, in milliseconds; swaps begin in the first half only, so that they
	 * are mostly over when the next domain's turn begins. With 20 s a small deployment
	 * needed 18 to 28 s of the 30 s that it has for new weights.
	 */
	private static final long TURN_MILLIS = 6_000;

	private static final int SHARE = 3;

	private final DoubleSupplier random;

	private final Map<Target, Running> running = new HashMap<>();

	private final Map<Target, Retry> retries = new HashMap<>();

	private double credit;

	private long creditAt;

	private boolean started;

	private WeightWaves(DoubleSupplier random) {
		this.random = Objects.requireNonNull(random, "random");
	}

	/**
	 * Creates the waves of a domain.
	 * @param random returns numbers from 0 to below 1, for jitter
	 * @return the waves
	 */
	public static WeightWaves of(DoubleSupplier random) {
		return new WeightWaves(random);
	}

	/**
	 * Returns how many endpoints of a service may swap at once in a domain: a third of
	 * the service, at least one, divided over the domains, which take turns for the
	 * remainder.
	 * @param total the endpoints of the service in all domains
	 * @param domains the number of failure domains
	 * @param index the place of this domain among them, counted from 0
	 * @param wall the wall clock, in milliseconds since the epoch
	 * @return the number of endpoints
	 */
	public static int allowed(int total, int domains, int index, long wall) {
		int all = Math.max(1, total / SHARE);
		int remainder = all % domains;
		long turn = Math.floorDiv(wall, TURN_MILLIS);
		boolean early = Math.floorMod(wall, TURN_MILLIS) < TURN_MILLIS / 2;
		boolean own = Math.floorMod(index + turn, (long) domains) < remainder;
		return all / domains + ((own && early) ? 1 : 0);
	}

	/**
	 * Decides which swaps to order now.
	 * @param view the domain
	 * @param now the monotonic clock, in milliseconds
	 * @return the orders to give
	 */
	public List<Swap> decide(View view, long now) {
		refill(view, now);
		settle(view, now);
		Map<ServiceId, Integer> swapping = new HashMap<>();
		Set<EndpointId> busy = new HashSet<>();
		view.endpoints().forEach((endpoint) -> {
			if (this.running.keySet().stream().anyMatch((target) -> target.endpoint().equals(endpoint.endpoint()))) {
				swapping.merge(endpoint.service(), 1, Integer::sum);
				busy.add(endpoint.endpoint());
			}
		});
		List<Swap> swaps = new ArrayList<>();
		for (EndpointView endpoint : view.endpoints()) {
			Map<LineId, Long> heads = new TreeMap<>(view.heads().getOrDefault(endpoint.service(), Map.of()));
			for (Map.Entry<LineId, Long> head : heads.entrySet()) {
				Target target = new Target(endpoint.endpoint(), head.getKey());
				boolean behind = endpoint.versions().getOrDefault(head.getKey(), 0L) < head.getValue();
				Retry retry = this.retries.getOrDefault(target, new Retry(0, Long.MIN_VALUE));
				if (!behind || this.running.containsKey(target) || now < retry.notBefore()) {
					continue;
				}
				if (!view.allAtOnce()) {
					int allowed = view.allowed().getOrDefault(endpoint.service(), 0);
					if (busy.contains(endpoint.endpoint()) || swapping.getOrDefault(endpoint.service(), 0) >= allowed
							|| this.credit < 1) {
						continue;
					}
					this.credit -= 1;
				}
				if (busy.add(endpoint.endpoint())) {
					swapping.merge(endpoint.service(), 1, Integer::sum);
				}
				this.running.put(target, new Running(head.getValue(), now));
				swaps.add(new Swap(endpoint.endpoint(), WeightVersion.of(head.getKey(), head.getValue()),
						retry.failures()));
			}
		}
		return swaps;
	}

	/**
	 * Notes that an endpoint refused a swap or could not be reached.
	 * @param swap the order
	 * @param now the monotonic clock, in milliseconds
	 */
	public void onFailed(Swap swap, long now) {
		fail(new Target(swap.endpoint(), swap.version().line()), now);
	}

	private void settle(View view, long now) {
		Map<EndpointId, EndpointView> present = new HashMap<>();
		view.endpoints().forEach((endpoint) -> present.put(endpoint.endpoint(), endpoint));
		this.retries.keySet().removeIf((target) -> !present.containsKey(target.endpoint()));
		for (Map.Entry<Target, Running> entry : List.copyOf(this.running.entrySet())) {
			Target target = entry.getKey();
			EndpointView endpoint = present.get(target.endpoint());
			if (endpoint == null) {
				this.running.remove(target);
			}
			else if (endpoint.versions().getOrDefault(target.line(), 0L) >= entry.getValue().number()) {
				this.running.remove(target);
				this.retries.remove(target);
			}
			else if (now - entry.getValue().since() >= SWAP_TIMEOUT_MILLIS) {
				fail(target, now);
			}
		}
	}

	private void fail(Target target, long now) {
		this.running.remove(target);
		int failures = this.retries.getOrDefault(target, new Retry(0, 0)).failures();
		long full = Math.min(RETRY_CAP_MILLIS, RETRY_BASE_MILLIS << Math.min(failures, SHARE + 2));
		long wait = full / 2 + (long) (this.random.getAsDouble() * (full - full / 2));
		this.retries.put(target, new Retry(failures + 1, now + wait));
	}

	private void refill(View view, long now) {
		double burst = Math.max(1, view.loadsPerSecond());
		double earned = this.started ? (now - this.creditAt) / 1000.0 * view.loadsPerSecond() : burst;
		this.credit = Math.min(burst, this.credit + earned);
		this.creditAt = now;
		this.started = true;
	}

	/**
	 * The endpoints and weights of a domain.
	 *
	 * @param endpoints the live endpoints of model services
	 * @param heads the newest version of each line, by service
	 * @param allowed how many endpoints of each service may swap at once
	 * @param loadsPerSecond this domain's share of the weight store's rate
	 * @param allAtOnce whether the baseline policy is in force
	 */
	public record View(List<EndpointView> endpoints, Map<ServiceId, Map<LineId, Long>> heads,
			Map<ServiceId, Integer> allowed, double loadsPerSecond, boolean allAtOnce) {

		public View {
			endpoints = List.copyOf(endpoints);
			heads = Map.copyOf(heads);
			allowed = Map.copyOf(allowed);
		}

	}

	/**
	 * An endpoint with the versions it reports.
	 *
	 * @param endpoint the name
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
	 * @param failures how often it failed before
	 */
	public record Swap(EndpointId endpoint, WeightVersion version, int failures) {
	}

	private record Target(EndpointId endpoint, LineId line) {
	}

	private record Running(long number, long since) {
	}

	private record Retry(int failures, long notBefore) {
	}

}
