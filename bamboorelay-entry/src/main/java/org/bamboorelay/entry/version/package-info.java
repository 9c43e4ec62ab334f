/**
 * Settings of an entry process and access to the stored configuration.
 */
@NullMarked
package org.bamboorelay.entry.version;

import org.jspecify.annotations.NullMarked;
