package org.bamboorelay.core.scenario;

import java.util.HashSet;
import java.util.Set;

import io.vavr.control.Either;
import io.vavr.control.Option;
import org.bamboorelay.core.failure.Failure;
import org.bamboorelay.core.process.StoreOperation;
import org.bamboorelay.core.version.Configuration;
import org.bamboorelay.core.version.ConfigurationHead;
import org.bamboorelay.core.version.ConfigurationRepository;
import org.bamboorelay.core.version.KeyHash;

/**
 * Distributes configurations from a control process: reads them from the store, offers
 * them to the entry hosts of its domain, and writes withdrawn keys to the next version.
 */
final class ConfigurationDistributor {

	private static final long INTERVAL_MILLIS = 500;

	private static final int WRITE_ATTEMPTS = 3;

	private final Simulation simulation;

	private final SimulatedProcess process;

	private final ConfigurationRepository assembly;

	private Configuration read;

	private long storeVersion;

	private long readAtMillis;

	private boolean readInProgress;

	ConfigurationDistributor(Simulation simulation, SimulatedProcess process) {
		this.simulation = simulation;
		this.process = process;
		this.assembly = ConfigurationRepository.over(simulation.network.store,
				() -> process.name() + simulation.nextId());
		simulation.loop.every(INTERVAL_MILLIS, process, this::read);
		simulation.loop.every(INTERVAL_MILLIS, process, this::offer);
		simulation.loop.every(2 * INTERVAL_MILLIS, process, this::collectWithdrawnKeys);
	}

	private void read() {
		if (this.readInProgress) {
			return;
		}
		this.readInProgress = true;
		long startMillis = this.simulation.loop.now();
		this.simulation.network.store(this.process, new StoreOperation.Read(ConfigurationHead.KEY), (result) -> {
			this.readInProgress = false;
			if (result.isLeft() || result.get().isEmpty()) {
				return;
			}
			if (result.get().get().version() != this.storeVersion) {
				Either<Failure, Option<ConfigurationRepository.Snapshot>> loaded = this.assembly.read();
				if (loaded.isLeft()) {
					return;
				}
				this.storeVersion = loaded.get().get().storeVersion();
				this.read = loaded.get().get().configuration();
				this.simulation.operators.onRead(this.read);
			}
			this.readAtMillis = startMillis;
		});
	}

	private void offer() {
		Configuration current = this.read;
		if (current == null) {
			return;
		}
		for (EntryNode entry : this.simulation.entries.values()) {
			if (entry.process().domain.equals(this.process.domain)) {
				long ageMillis = this.simulation.loop.now() - this.readAtMillis;
				int linkGeneration = entry.linkGeneration();
				this.simulation.network.send(this.process, entry.process(), () -> {
					if (entry.linkGeneration() == linkGeneration) {
						entry.onOffer(current, ageMillis);
					}
				});
			}
		}
	}

	private void collectWithdrawnKeys() {
		Set<KeyHash> found = new HashSet<>();
		for (EntryNode entry : this.simulation.entries.values()) {
			if (entry.process().domain.equals(this.process.domain)) {
				this.simulation.network.send(this.process, entry.process(), () -> {
					Set<KeyHash> keys = new HashSet<>(entry.withdrawn());
					this.simulation.network.send(entry.process(), this.process, () -> writeWithdrawnKeys(keys));
				});
			}
		}
	}

	private void writeWithdrawnKeys(Set<KeyHash> keys) {
		if (this.read == null || !this.simulation.network.reachesPlatform(this.process)
				|| this.read.keys().withdrawn().containsAll(keys)) {
			return;
		}
		this.assembly.withdraw(keys, WRITE_ATTEMPTS);
	}

}
