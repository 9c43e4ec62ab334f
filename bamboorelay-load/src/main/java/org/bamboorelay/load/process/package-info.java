/**
 * The load program.
 */
@NullMarked
package org.bamboorelay.load.process;

import org.jspecify.annotations.NullMarked;
