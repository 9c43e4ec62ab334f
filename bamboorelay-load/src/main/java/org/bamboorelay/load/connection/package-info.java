/**
 * Clients of entry hosts and of the stand-ins.
 */
@NullMarked
package org.bamboorelay.load.connection;

import org.jspecify.annotations.NullMarked;
