/**
 * Links to entry processes and to the platform.
 */
@NullMarked
package org.bamboorelay.control.connection;

import org.jspecify.annotations.NullMarked;
