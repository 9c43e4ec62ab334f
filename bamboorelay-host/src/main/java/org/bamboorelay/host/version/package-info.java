/**
 * Values that are read from the platform's store and change while the process runs.
 */
@NullMarked
package org.bamboorelay.host.version;

import org.jspecify.annotations.NullMarked;
