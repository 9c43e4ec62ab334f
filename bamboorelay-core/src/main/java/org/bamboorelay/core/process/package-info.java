/**
 * Process-wide state and decisions: leases, membership, endpoint selection, scaling,
 * weight updates, usage.
 */
@NullMarked
package org.bamboorelay.core.process;

import org.jspecify.annotations.NullMarked;
