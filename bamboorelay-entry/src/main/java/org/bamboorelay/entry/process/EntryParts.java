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
 * What admission and further routes of an entry process are built from.
 * <p>
 * Immutable and thread-safe.
 *
 * @param configuration the configuration and keys
 * @param mesh links to the other entry hosts
 * @param pool connections to endpoints
 * @param engines the model engines
 * @param store the object API
 * @param usage counts what was served
 * @param counters the process's metrics
 * @param clock a monotonic clock
 * @param threads runs work that waits; closed with the process
 * @param timers runs short tasks that never wait; closed with the process
 * @param incarnation unique for each start of the process
 */
public record EntryParts(LiveConfiguration configuration, TcpPeerMesh mesh, HttpConnectionPool pool,
		HttpEngineClient engines, ObjectStore store, UsageMeter usage, Counters counters, Clock clock,
		ExecutorService threads, ScheduledExecutorService timers, String incarnation) {
}
