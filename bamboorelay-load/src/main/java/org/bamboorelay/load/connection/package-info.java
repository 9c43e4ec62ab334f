/**
 * HTTP clients of the load generator, and the bare relay and endpoint used in benchmarks.
 */
@NullMarked
package org.bamboorelay.load.connection;

import org.jspecify.annotations.NullMarked;
