/**
 * Plumbing that lives for one request: bodies, problem details, JSON.
 */
@NullMarked
package org.bamboorelay.runtime.request;

import org.jspecify.annotations.NullMarked;
