/**
 * The entry process and the components that exist for its lifetime.
 */
@NullMarked
package org.bamboorelay.entry.process;

import org.jspecify.annotations.NullMarked;
