/**
 * The clock type.
 */
@NullMarked
package org.bamboorelay.core.time;

import org.jspecify.annotations.NullMarked;
