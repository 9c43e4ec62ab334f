/**
 * Process-wide infrastructure: metrics and handling of uncaught errors.
 */
@NullMarked
package org.bamboorelay.runtime.process;

import org.jspecify.annotations.NullMarked;
