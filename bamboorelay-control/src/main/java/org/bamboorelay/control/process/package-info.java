/**
 * Loops and duties that live as long as the process.
 */
@NullMarked
package org.bamboorelay.control.process;

import org.jspecify.annotations.NullMarked;
