package org.bamboorelay.entry.process;

import java.util.concurrent.ExecutorService;
import java.util.concurrent.ScheduledExecutorService;

import org.bamboorelay.core.store.ObjectStore;
import org.bamboorelay.core.time.Clock;
import org.bamboorelay.core.version.LiveConfiguration;
import org.bamboorelay.entry.connection.HttpEngineClient;
import org.bamboorelay.entry.connection.TcpPeerMesh;
import org.bamboorelay.runtime.connection.HttpConnectionPool;
import org.bamboorelay.runtime.process.Counters;

/**
 * Dependencies of the components that are created by {@link EntryPlugins}.
 * <p>
 * Immutable and thread-safe.
 *
 * @param configuration the configuration and keys
 * @param mesh the mesh of links to the other entry hosts
 * @param pool the pool of connections to endpoints
 * @param engines the client of the model engines
 * @param store the object API
 * @param usage counts served requests and tokens
 * @param counters the metrics registry of the process
 * @param clock a monotonic clock
 * @param threads runs blocking tasks; shut down with the process
 * @param timers runs short tasks that never block; shut down with the process
 * @param incarnation unique for each start of the process
 */
public record EntryDependencies(LiveConfiguration configuration, TcpPeerMesh mesh, HttpConnectionPool pool,
		HttpEngineClient engines, ObjectStore store, UsageMeter usage, Counters counters, Clock clock,
		ExecutorService threads, ScheduledExecutorService timers, String incarnation) {
}
