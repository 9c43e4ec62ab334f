/**
 * Clocks.
 */
@NullMarked
package org.bamboorelay.core.time;

import org.jspecify.annotations.NullMarked;
