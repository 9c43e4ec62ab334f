/**
 * Calls on entry hosts and the object API.
 */
@NullMarked
package org.bamboorelay.cli.connection;

import org.jspecify.annotations.NullMarked;
