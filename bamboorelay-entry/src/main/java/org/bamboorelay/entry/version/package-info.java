/**
 * Configuration, keys and endpoint lists as an entry host holds them.
 */
@NullMarked
package org.bamboorelay.entry.version;

import org.jspecify.annotations.NullMarked;
