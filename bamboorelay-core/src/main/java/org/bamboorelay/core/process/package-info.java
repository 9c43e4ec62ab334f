/**
 * Decisions that live as long as a process: leases, membership, limits, usage.
 */
@NullMarked
package org.bamboorelay.core.process;

import org.jspecify.annotations.NullMarked;
