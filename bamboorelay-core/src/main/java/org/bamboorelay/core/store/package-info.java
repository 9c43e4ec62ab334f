/**
 * Access to the platform's object API, as seen by decisions.
 */
@NullMarked
package org.bamboorelay.core.store;

import org.jspecify.annotations.NullMarked;
