/**
 * Configuration, keys and weights: values that live for one version.
 */
@NullMarked
package org.bamboorelay.core.version;

import org.jspecify.annotations.NullMarked;
