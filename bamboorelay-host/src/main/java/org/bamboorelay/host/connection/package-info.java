/**
 * What the process speaks with callers, endpoints, the platform and its peers.
 */
@NullMarked
package org.bamboorelay.host.connection;

import org.jspecify.annotations.NullMarked;
