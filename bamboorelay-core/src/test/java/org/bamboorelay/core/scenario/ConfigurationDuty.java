package org.bamboorelay.core.scenario;

import java.util.HashSet;
import java.util.Set;

import io.vavr.control.Either;
import io.vavr.control.Option;
import org.bamboorelay.core.failure.Failure;
import org.bamboorelay.core.process.StoreStep;
import org.bamboorelay.core.version.Configuration;
import org.bamboorelay.core.version.ConfigurationAssembly;
import org.bamboorelay.core.version.ConfigurationHead;
import org.bamboorelay.core.version.KeyHash;

/**
 * The control process's part in configurations: it reads the store, offers what it read
 * to the entry hosts of its domain, and writes withdrawn keys into the next version.
 */
final class ConfigurationDuty {

	private static final long INTERVAL_MILLIS = 500;

	private static final int WRITE_ATTEMPTS = 3;

	private final World world;

	private final SimProcess process;

	private final ConfigurationAssembly assembly;

	private Configuration read;

	private long storeVersion;

	private long readAt;

	private boolean reading;

	ConfigurationDuty(World world, SimProcess process) {
		this.world = world;
		this.process = process;
		this.assembly = ConfigurationAssembly.over(world.network.store, () -> process.name() + world.nextId());
		world.loop.every(INTERVAL_MILLIS, process, this::read);
		world.loop.every(INTERVAL_MILLIS, process, this::offer);
		world.loop.every(2 * INTERVAL_MILLIS, process, this::collect);
	}

	private void read() {
		if (this.reading) {
			return;
		}
		this.reading = true;
		long before = this.world.loop.now();
		this.world.network.store(this.process, new StoreStep.Read(ConfigurationHead.KEY), (result) -> {
			this.reading = false;
			if (result.isLeft() || result.get().isEmpty()) {
				return;
			}
			if (result.get().get().version() != this.storeVersion) {
				Either<Failure, Option<ConfigurationAssembly.Reading>> whole = this.assembly.read();
				if (whole.isLeft()) {
					return;
				}
				this.storeVersion = whole.get().get().storeVersion();
				this.read = whole.get().get().configuration();
				this.world.operators.onRead(this.read);
			}
			this.readAt = before;
		});
	}

	private void offer() {
		Configuration present = this.read;
		if (present == null) {
			return;
		}
		for (EntryNode entry : this.world.entries.values()) {
			if (entry.process().domain.equals(this.process.domain)) {
				long age = this.world.loop.now() - this.readAt;
				int links = entry.links();
				this.world.network.send(this.process, entry.process(), () -> {
					if (entry.links() == links) {
						entry.onOffer(present, age);
					}
				});
			}
		}
	}

	private void collect() {
		Set<KeyHash> found = new HashSet<>();
		for (EntryNode entry : this.world.entries.values()) {
			if (entry.process().domain.equals(this.process.domain)) {
				this.world.network.send(this.process, entry.process(), () -> {
					Set<KeyHash> keys = new HashSet<>(entry.withdrawn());
					this.world.network.send(entry.process(), this.process, () -> write(keys));
				});
			}
		}
	}

	private void write(Set<KeyHash> keys) {
		if (this.read == null || !this.world.network.reachesPlatform(this.process)
				|| this.read.keys().withdrawn().containsAll(keys)) {
			return;
		}
		this.assembly.withdraw(keys, WRITE_ATTEMPTS);
	}

}
