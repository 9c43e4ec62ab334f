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
import org.bamboorelay.core.version.ConfigurationAssembly;
import org.bamboorelay.core.version.CoreJson;
import org.bamboorelay.core.version.LiveConfiguration;
import org.bamboorelay.runtime.connection.PeerCodec;
import org.bamboorelay.runtime.request.Json;

/**
 * Costs of a configuration version by hosts, workspaces and keys. Endpoints are not part
 * of the configuration; they travel as endpoint sets.
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
		by(slopes, "hosts", new int[] { 6, 24, 96, 360 }, (hosts) -> Samples.configuration(1, hosts, WORKSPACES, KEYS));
		by(slopes, "workspaces", new int[] { 8, 64, 200, 800 },
				(workspaces) -> Samples.configuration(1, HOSTS, workspaces, KEYS));
		by(slopes, "keys", new int[] { 16, 500, 2_000, 8_000 },
				(keys) -> Samples.configuration(1, HOSTS, WORKSPACES, keys));
		return slopes;
	}

	private static void by(List<Slope> slopes, String variable, int[] sizes, IntFunction<Configuration> make) {
		add(slopes, "config.body", "B", variable, sizes, make, (made) -> ConfigurationAssembly.bytes(made).length);
		add(slopes, "config.inventory-part", "B", variable, sizes, make,
				(made) -> CoreJson.bytes(made.inventory()).length);
		add(slopes, "config.rules-part", "B", variable, sizes, make, (made) -> CoreJson.bytes(made.rules()).length);
		add(slopes, "config.keys-part", "B", variable, sizes, make,
				(made) -> CoreJson.bytes(Map.of("granted", made.keys().granted(), "withdrawn", List.of())).length);
		add(slopes, "config.build", "us", variable, sizes, make,
				(made) -> Meter.micros(() -> ConfigurationAssembly.bytes(made)));
		add(slopes, "config.pass-on", "us", variable, sizes, make, (made) -> {
			byte[] body = ConfigurationAssembly.bytes(made);
			return Meter.micros(() -> PeerCodec.encode(1, new PeerMessage.ConfigOffer(1, body, 100)));
		});
		add(slopes, "config.take", "us", variable, sizes, make, ConfigurationSlopes::take);
		add(slopes, "config.read-unchanged", "us", variable, sizes, make, ConfigurationSlopes::readUnchanged);
	}

	private static void add(List<Slope> slopes, String name, String unit, String variable, int[] sizes,
			IntFunction<Configuration> make, ToDoubleFunction<Configuration> cost) {
		slopes.add(Slope.measure(name + "/" + variable, unit, variable, sizes,
				(size) -> cost.applyAsDouble(make.apply(size))));
	}

	private static double take(Configuration made) {
		byte[] body = ConfigurationAssembly.bytes(made);
		byte[] frame = PeerCodec.encode(1, new PeerMessage.ConfigOffer(1, body, 100));
		ManualClock clock = ManualClock.of(0);
		LiveConfiguration live = LiveConfiguration.of(clock, (domains) -> true);
		AtomicLong version = new AtomicLong();
		return Meter.micros(() -> {
			PeerSlopes.decode(frame);
			Configuration read = Json.read(body, Configuration.class)
				.getOrElseThrow((failure) -> new IllegalStateException(failure.detail()));
			live.accept(new Configuration(version.incrementAndGet(), read.inventory(), read.rules(), read.keys(),
					read.domainsOut()), 0);
			live.peerHolds(version.get());
		});
	}

	private static double readUnchanged(Configuration made) {
		ConfigurationAssembly assembly = ConfigurationAssembly.over(new CountingStore(),
				() -> UUID.randomUUID().toString());
		if (assembly.write(made, Option.none()).isLeft()) {
			return Double.NaN;
		}
		return Meter.micros(() -> assembly.read().getOrElseThrow((failure) -> new IllegalStateException("unread")));
	}

}
