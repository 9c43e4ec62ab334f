/**
 * Measurements of how processor time, memory, message sizes and store calls scale with
 * the size of a deployment.
 */
@NullMarked
package org.bamboorelay.slopes.process;

import org.jspecify.annotations.NullMarked;
