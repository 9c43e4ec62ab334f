/**
 * Typed failures.
 */
@NullMarked
package org.bamboorelay.core.failure;

import org.jspecify.annotations.NullMarked;
