/**
 * Failure types, refusals and retry reasons.
 */
@NullMarked
package org.bamboorelay.core.failure;

import org.jspecify.annotations.NullMarked;
