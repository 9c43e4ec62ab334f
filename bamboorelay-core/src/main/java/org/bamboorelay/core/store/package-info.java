/**
 * Interfaces and values for access to the platform's object API.
 */
@NullMarked
package org.bamboorelay.core.store;

import org.jspecify.annotations.NullMarked;
