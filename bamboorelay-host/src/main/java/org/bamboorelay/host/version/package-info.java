/**
 * Versioned values that are read from the platform's store and change at run time.
 */
@NullMarked
package org.bamboorelay.host.version;

import org.jspecify.annotations.NullMarked;
