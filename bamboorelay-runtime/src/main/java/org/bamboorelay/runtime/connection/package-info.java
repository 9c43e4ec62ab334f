/**
 * Plumbing that lives for one connection: HTTP listener and client, peer links, the
 * object API client.
 */
@NullMarked
package org.bamboorelay.runtime.connection;

import org.jspecify.annotations.NullMarked;
