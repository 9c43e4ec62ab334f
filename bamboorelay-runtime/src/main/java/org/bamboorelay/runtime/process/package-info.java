/**
 * Plumbing that lives as long as a process: logs, metrics, shutdown.
 */
@NullMarked
package org.bamboorelay.runtime.process;

import org.jspecify.annotations.NullMarked;
