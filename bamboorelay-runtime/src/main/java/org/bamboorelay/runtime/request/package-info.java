/**
 * JSON mapping of request and response bodies.
 */
@NullMarked
package org.bamboorelay.runtime.request;

import org.jspecify.annotations.NullMarked;
