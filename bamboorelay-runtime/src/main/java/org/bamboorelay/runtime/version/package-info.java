/**
 * Parsing and validation of settings, inventory and rules.
 */
@NullMarked
package org.bamboorelay.runtime.version;

import org.jspecify.annotations.NullMarked;
