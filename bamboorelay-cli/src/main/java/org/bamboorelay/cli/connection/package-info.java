/**
 * Calls to entry hosts, and settings for the connections to these and the object API.
 */
@NullMarked
package org.bamboorelay.cli.connection;

import org.jspecify.annotations.NullMarked;
