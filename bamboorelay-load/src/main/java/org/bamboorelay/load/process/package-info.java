/**
 * The load program: scenarios, their measurements and the checks of a run.
 */
@NullMarked
package org.bamboorelay.load.process;

import org.jspecify.annotations.NullMarked;
