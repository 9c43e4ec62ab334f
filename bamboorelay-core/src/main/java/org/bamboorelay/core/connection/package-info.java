/**
 * Values and decisions that live for one connection or link.
 */
@NullMarked
package org.bamboorelay.core.connection;

import org.jspecify.annotations.NullMarked;
