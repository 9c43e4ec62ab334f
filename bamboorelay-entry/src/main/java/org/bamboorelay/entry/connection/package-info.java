/**
 * Connections to endpoints and peers.
 */
@NullMarked
package org.bamboorelay.entry.connection;

import org.jspecify.annotations.NullMarked;
