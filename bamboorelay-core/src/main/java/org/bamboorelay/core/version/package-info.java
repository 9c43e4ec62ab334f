/**
 * Configuration, routing table, API keys and weight versions: versioned, mostly immutable
 * values.
 */
@NullMarked
package org.bamboorelay.core.version;

import org.jspecify.annotations.NullMarked;
