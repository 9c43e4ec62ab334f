/**
 * Protocols and connections to callers, endpoints, the platform and peers.
 */
@NullMarked
package org.bamboorelay.host.connection;

import org.jspecify.annotations.NullMarked;
