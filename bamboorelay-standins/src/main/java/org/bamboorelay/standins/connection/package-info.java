/**
 * Plumbing that every stand-in shares: faults, record, request, answer and server.
 */
@NullMarked
package org.bamboorelay.standins.connection;

import org.jspecify.annotations.NullMarked;
