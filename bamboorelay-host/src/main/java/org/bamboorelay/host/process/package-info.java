/**
 * The host process: settings, lifecycle and duties.
 */
@NullMarked
package org.bamboorelay.host.process;

import org.jspecify.annotations.NullMarked;
