/**
 * Requests of callers, and submissions and their items.
 */
@NullMarked
package org.bamboorelay.host.request;

import org.jspecify.annotations.NullMarked;
