/**
 * Request handling of an entry host: routes for callers and trainers, and the state of
 * requests, samples and steps.
 */
@NullMarked
package org.bamboorelay.entry.request;

import org.jspecify.annotations.NullMarked;
