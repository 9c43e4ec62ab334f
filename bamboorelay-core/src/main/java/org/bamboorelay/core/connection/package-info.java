/**
 * Messages of the peer protocol and state machines of peer connections.
 */
@NullMarked
package org.bamboorelay.core.connection;

import org.jspecify.annotations.NullMarked;
