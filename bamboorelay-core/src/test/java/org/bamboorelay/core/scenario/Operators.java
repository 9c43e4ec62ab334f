package org.bamboorelay.core.scenario;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import java.util.function.UnaryOperator;

import io.vavr.control.Either;
import io.vavr.control.Option;
import org.bamboorelay.core.failure.Failure;
import org.bamboorelay.core.version.Configuration;
import org.bamboorelay.core.version.ConfigurationRepository;
import org.bamboorelay.core.version.FailureDomain;
import org.bamboorelay.core.version.KeyHash;
import org.bamboorelay.core.version.WorkspaceId;

/**
 * Operators, who grant and withdraw keys and take domains out of service and back. Two of
 * them can change the configuration concurrently.
 */
final class Operators {

	private static final int WRITE_ATTEMPTS = 3;

	private final Simulation simulation;

	private final ConfigurationRepository first;

	private final ConfigurationRepository second;

	/** The highest version that was accepted. */
	long accepted = 1;

	/** The time at which that version was accepted. */
	long acceptedAt;

	/**
	 * The time since which each failure domain has been out of service in all accepted
	 * versions; only domains that are out.
	 */
	final Map<FailureDomain, Long> domainsOutAt = new HashMap<>();

	Operators(Simulation simulation, Configuration initial) {
		this.simulation = simulation;
		this.first = ConfigurationRepository.over(simulation.network.store, () -> "operator-1/" + simulation.nextId());
		this.second = ConfigurationRepository.over(simulation.network.store, () -> "operator-2/" + simulation.nextId());
		this.first.write(initial, Option.none());
		this.acceptedAt = simulation.loop.now();
	}

	/** Makes a random change. */
	void changeRandomly() {
		change(this.first, drawChange());
	}

	/**
	 * Lets two operators read the same version and then both write a change.
	 */
	void race() {
		UnaryOperator<Configuration> one = drawChange();
		UnaryOperator<Configuration> other = drawChange();
		boolean[] raced = new boolean[1];
		this.simulation.network.store.beforeWrite((key) -> {
			if (key.equals("config/head") && !raced[0]) {
				raced[0] = true;
				change(this.second, other);
			}
		});
		change(this.first, one);
		this.simulation.network.store.beforeWrite((key) -> {
		});
	}

	private UnaryOperator<Configuration> drawChange() {
		Random random = this.simulation.random;
		int kind = random.nextInt(10);
		if (kind < 3) {
			WorkspaceId workspace = Simulation.WORKSPACES.get(random.nextInt(Simulation.WORKSPACES.size()));
			KeyHash key = this.simulation.keys.grant(workspace);
			return (current) -> current.keys().withdrawn().contains(key) ? current
					: current.withKeys(current.keys().withGrant(key, workspace));
		}
		if (kind < 7) {
			withdraw();
			return (current) -> current;
		}
		FailureDomain domain = this.simulation.domains.get(random.nextInt(this.simulation.domains.size()));
		return (current) -> {
			boolean toService = !current.isInService(domain);
			boolean isLastInService = current.domainsOut().size() + 1 >= this.simulation.domains.size();
			return (toService || !isLastInService) ? current.withDomainInService(domain, toService) : current;
		};
	}

	private void change(ConfigurationRepository operator, UnaryOperator<Configuration> change) {
		Either<Failure, Configuration> written = operator.update(change, WRITE_ATTEMPTS);
		this.simulation.journal.trace(() -> "operator changes configuration: " + written.map(Configuration::version));
		written.peek(this::onAccepted);
	}

	private void onAccepted(Configuration configuration) {
		if (configuration.version() > this.accepted) {
			this.accepted = configuration.version();
			this.acceptedAt = this.simulation.loop.now();
			this.domainsOutAt.keySet().retainAll(configuration.domainsOut());
			configuration.domainsOut()
				.forEach((domain) -> this.domainsOutAt.putIfAbsent(domain, this.simulation.loop.now()));
			this.simulation.traceDomainsOut(configuration);
		}
	}

	/**
	 * Handles a version that was read from the store. Its write can have taken effect
	 * although the operator did not get the response; it can then return a domain to
	 * service without having been accepted.
	 */
	void onRead(Configuration configuration) {
		if (configuration.version() > this.accepted) {
			this.domainsOutAt.keySet().retainAll(configuration.domainsOut());
		}
	}

	private void withdraw() {
		List<KeyHash> active = this.simulation.keys.all()
			.stream()
			.filter((key) -> !this.simulation.keys.withdrawn.containsKey(key))
			.toList();
		if (active.size() < 2) {
			return;
		}
		KeyHash key = active.get(this.simulation.random.nextInt(active.size()));
		Either<Failure, Configuration> written = this.first.withdraw(Set.of(key), WRITE_ATTEMPTS);
		written.peek(this::onAccepted);
		boolean isWritten = written.isRight();
		this.simulation.journal.trace(() -> "operator withdraws " + key + ", written to the store: " + isWritten);
		if (isWritten) {
			this.simulation.keys.withdrawn.put(key, this.simulation.loop.now());
		}
		// The command notifies all entry hosts, but not all of them receive it.
		SimulatedProcess notified = this.simulation.randomHost();
		for (SimulatedProcess process : this.simulation.processes) {
			if (process == notified || this.simulation.random.nextInt(3) == 0) {
				this.simulation.loop.after(this.simulation.network.latency(), process, () -> {
					this.simulation.entries.get(process).onWithdraw(List.of(key));
					this.simulation.journal.trace(() -> process + " accepts the withdrawal of " + key);
					this.simulation.keys.withdrawn.putIfAbsent(key, this.simulation.loop.now());
				});
			}
		}
	}

}
