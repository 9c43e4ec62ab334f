/**
 * Handling of callers' requests, of submissions and of their items.
 */
@NullMarked
package org.bamboorelay.host.request;

import org.jspecify.annotations.NullMarked;
