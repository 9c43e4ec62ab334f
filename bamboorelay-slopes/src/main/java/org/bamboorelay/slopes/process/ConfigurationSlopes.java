package org.bamboorelay.slopes.process;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.UUID;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.IntFunction;
import java.util.function.ToDoubleFunction;

import io.vavr.control.Option;
import org.bamboorelay.core.connection.PeerMessage;
import org.bamboorelay.core.time.ManualClock;
import org.bamboorelay.core.version.Configuration;
import org.bamboorelay.core.version.ConfigurationRepository;
import org.bamboorelay.core.version.CoreJson;
import org.bamboorelay.core.version.LiveConfiguration;
import org.bamboorelay.runtime.connection.PeerCodec;
import org.bamboorelay.runtime.request.Json;

/**
 * Costs of a configuration version by the number of hosts, workspaces and keys. Endpoints
 * are not part of the configuration; they are distributed in endpoint sets.
 * <p>
 * Stateless.
 */
final class ConfigurationSlopes {

	private static final int HOSTS = 360;

	private static final int WORKSPACES = 200;

	private static final int KEYS = 2_000;

	private ConfigurationSlopes() {
	}

	static List<Slope> measure() {
		List<Slope> slopes = new ArrayList<>();
		addAll(slopes, "hosts", new int[] { 6, 24, 96, 360 },
				(hosts) -> SampleData.configuration(1, hosts, WORKSPACES, KEYS));
		addAll(slopes, "workspaces", new int[] { 8, 64, 200, 800 },
				(workspaces) -> SampleData.configuration(1, HOSTS, workspaces, KEYS));
		addAll(slopes, "keys", new int[] { 16, 500, 2_000, 8_000 },
				(keys) -> SampleData.configuration(1, HOSTS, WORKSPACES, keys));
		return slopes;
	}

	private static void addAll(List<Slope> slopes, String variable, int[] sizes, IntFunction<Configuration> factory) {
		add(slopes, "config.body", "B", variable, sizes, factory,
				(config) -> ConfigurationRepository.bytes(config).length);
		add(slopes, "config.inventory-part", "B", variable, sizes, factory,
				(config) -> CoreJson.bytes(config.inventory()).length);
		add(slopes, "config.rules-part", "B", variable, sizes, factory,
				(config) -> CoreJson.bytes(config.rules()).length);
		add(slopes, "config.keys-part", "B", variable, sizes, factory,
				(config) -> CoreJson.bytes(Map.of("granted", config.keys().granted(), "withdrawn", List.of())).length);
		add(slopes, "config.build", "us", variable, sizes, factory,
				(config) -> CostMeter.cpuMicros(() -> ConfigurationRepository.bytes(config)));
		add(slopes, "config.pass-on", "us", variable, sizes, factory, (config) -> {
			byte[] body = ConfigurationRepository.bytes(config);
			return CostMeter.cpuMicros(() -> PeerCodec.encode(1, new PeerMessage.ConfigOffer(1, body, 100)));
		});
		add(slopes, "config.take", "us", variable, sizes, factory, ConfigurationSlopes::receive);
		add(slopes, "config.read-unchanged", "us", variable, sizes, factory, ConfigurationSlopes::readUnchanged);
	}

	private static void add(List<Slope> slopes, String name, String unit, String variable, int[] sizes,
			IntFunction<Configuration> factory, ToDoubleFunction<Configuration> cost) {
		slopes.add(Slope.measure(name + "/" + variable, unit, variable, sizes,
				(size) -> cost.applyAsDouble(factory.apply(size))));
	}

	private static double receive(Configuration config) {
		byte[] body = ConfigurationRepository.bytes(config);
		byte[] frame = PeerCodec.encode(1, new PeerMessage.ConfigOffer(1, body, 100));
		ManualClock clock = ManualClock.of(0);
		LiveConfiguration live = LiveConfiguration.of(clock, (domains) -> true);
		AtomicLong version = new AtomicLong();
		return CostMeter.cpuMicros(() -> {
			PeerSlopes.decode(frame);
			Configuration read = Json.read(body, Configuration.class)
				.getOrElseThrow((failure) -> new IllegalStateException(failure.detail()));
			live.accept(new Configuration(version.incrementAndGet(), read.inventory(), read.rules(), read.keys(),
					read.domainsOut()), 0);
			live.recordPeerVersion(version.get());
		});
	}

	private static double readUnchanged(Configuration config) {
		ConfigurationRepository assembly = ConfigurationRepository.over(new CountingStore(),
				() -> UUID.randomUUID().toString());
		if (assembly.write(config, Option.none()).isLeft()) {
			return Double.NaN;
		}
		return CostMeter.cpuMicros(() -> assembly.read()
			.getOrElseThrow((failure) -> new IllegalStateException("cannot read the configuration written before")));
	}

}
