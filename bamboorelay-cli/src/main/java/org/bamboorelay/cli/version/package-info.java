/**
 * Changes of the configuration.
 */
@NullMarked
package org.bamboorelay.cli.version;

import org.jspecify.annotations.NullMarked;
