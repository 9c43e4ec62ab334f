/**
 * Measurements of how costs grow with the size of a deployment.
 */
@NullMarked
package org.bamboorelay.slopes.process;

import org.jspecify.annotations.NullMarked;
