/**
 * Network I/O: HTTP listener and client, peer links and the object store client.
 */
@NullMarked
package org.bamboorelay.runtime.connection;

import org.jspecify.annotations.NullMarked;
