/**
 * Stand-ins for the external systems, and the program that starts them.
 */
@NullMarked
package org.bamboorelay.standins.process;

import org.jspecify.annotations.NullMarked;
