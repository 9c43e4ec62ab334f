/**
 * Benchmark load of the entry process and the checks of the quick start.
 */
@NullMarked
package org.bamboorelay.load.request;

import org.jspecify.annotations.NullMarked;
