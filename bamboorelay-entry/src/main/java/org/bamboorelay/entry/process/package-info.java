/**
 * The entry program and what lives as long as it.
 */
@NullMarked
package org.bamboorelay.entry.process;

import org.jspecify.annotations.NullMarked;
