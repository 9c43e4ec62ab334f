/**
 * Periodic tasks of the control process: configuration, scaling, weights and usage.
 */
@NullMarked
package org.bamboorelay.control.process;

import org.jspecify.annotations.NullMarked;
