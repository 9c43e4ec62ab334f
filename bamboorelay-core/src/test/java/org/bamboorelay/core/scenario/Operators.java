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
import org.bamboorelay.core.version.ConfigurationAssembly;
import org.bamboorelay.core.version.FailureDomain;
import org.bamboorelay.core.version.KeyHash;
import org.bamboorelay.core.version.WorkspaceId;

/**
 * Operators who grant and withdraw keys and take domains out and back, two at once when
 * they race.
 */
final class Operators {

	private static final int ATTEMPTS = 3;

	private final World world;

	private final ConfigurationAssembly first;

	private final ConfigurationAssembly second;

	/** The highest version that was accepted, and since when. */
	long accepted = 1;

	long acceptedAt;

	/** Since when each failure domain that is out was out in all accepted versions. */
	final Map<FailureDomain, Long> domainsOutAt = new HashMap<>();

	Operators(World world, Configuration initial) {
		this.world = world;
		this.first = ConfigurationAssembly.over(world.network.store, () -> "operator-1/" + world.nextId());
		this.second = ConfigurationAssembly.over(world.network.store, () -> "operator-2/" + world.nextId());
		this.first.write(initial, Option.none());
		this.acceptedAt = world.loop.now();
	}

	/** Changes something now. */
	void act() {
		change(this.first, draw());
	}

	/** Two operators read the same version and both write. */
	void race() {
		UnaryOperator<Configuration> one = draw();
		UnaryOperator<Configuration> other = draw();
		boolean[] raced = new boolean[1];
		this.world.network.store.beforeWrite((key) -> {
			if (key.equals("config/head") && !raced[0]) {
				raced[0] = true;
				change(this.second, other);
			}
		});
		change(this.first, one);
		this.world.network.store.beforeWrite((key) -> {
		});
	}

	private UnaryOperator<Configuration> draw() {
		Random random = this.world.random;
		int kind = random.nextInt(10);
		if (kind < 3) {
			WorkspaceId workspace = World.WORKSPACES.get(random.nextInt(World.WORKSPACES.size()));
			KeyHash key = this.world.keys.grant(workspace);
			return (present) -> present.keys().withdrawn().contains(key) ? present
					: present.withKeys(present.keys().withGrant(key, workspace));
		}
		if (kind < 7) {
			withdraw();
			return (present) -> present;
		}
		FailureDomain domain = this.world.domains.get(random.nextInt(this.world.domains.size()));
		return (present) -> {
			boolean back = !present.isInService(domain);
			boolean lastOne = present.domainsOut().size() + 1 >= this.world.domains.size();
			return (back || !lastOne) ? present.withDomainInService(domain, back) : present;
		};
	}

	private void change(ConfigurationAssembly operator, UnaryOperator<Configuration> change) {
		Either<Failure, Configuration> written = operator.update(change, ATTEMPTS);
		this.world.journal.trace(() -> "operator changes configuration: " + written.map(Configuration::version));
		written.peek(this::onAccepted);
	}

	private void onAccepted(Configuration configuration) {
		if (configuration.version() > this.accepted) {
			this.accepted = configuration.version();
			this.acceptedAt = this.world.loop.now();
			this.domainsOutAt.keySet().retainAll(configuration.domainsOut());
			configuration.domainsOut()
				.forEach((domain) -> this.domainsOutAt.putIfAbsent(domain, this.world.loop.now()));
			this.world.domainsOutAccepted(configuration);
		}
	}

	/**
	 * Takes a version that was read from the store. It can be one whose operator lost the
	 * answer, which then counts although it was not accepted.
	 */
	void onRead(Configuration configuration) {
		if (configuration.version() > this.accepted) {
			this.domainsOutAt.keySet().retainAll(configuration.domainsOut());
		}
	}

	private void withdraw() {
		List<KeyHash> active = this.world.keys.all()
			.stream()
			.filter((key) -> !this.world.keys.withdrawn.containsKey(key))
			.toList();
		if (active.size() < 2) {
			return;
		}
		KeyHash key = active.get(this.world.random.nextInt(active.size()));
		Either<Failure, Configuration> written = this.first.withdraw(Set.of(key), ATTEMPTS);
		written.peek(this::onAccepted);
		boolean written2 = written.isRight();
		this.world.journal.trace(() -> "operator withdraws " + key + ", written: " + written2);
		if (written2) {
			this.world.keys.withdrawn.put(key, this.world.loop.now());
		}
		// The command tells every entry host; some do not get it.
		SimProcess told = this.world.anyHost();
		for (SimProcess process : this.world.processes) {
			if (process == told || this.world.random.nextInt(3) == 0) {
				this.world.loop.after(this.world.network.latency(), process, () -> {
					this.world.entries.get(process).onWithdraw(List.of(key));
					this.world.journal.trace(() -> process + " accepts the withdrawal of " + key);
					this.world.keys.withdrawn.putIfAbsent(key, this.world.loop.now());
				});
			}
		}
	}

}
