/**
 * Infrastructure common to all stand-ins: HTTP server, requests, responses, faults and
 * request record.
 */
@NullMarked
package org.bamboorelay.standins.connection;

import org.jspecify.annotations.NullMarked;
