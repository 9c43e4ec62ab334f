/**
 * Calls to endpoints and links to peers.
 */
@NullMarked
package org.bamboorelay.entry.connection;

import org.jspecify.annotations.NullMarked;
