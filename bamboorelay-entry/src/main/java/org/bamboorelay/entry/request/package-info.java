/**
 * What lives for one request, sample or step at an entry host.
 */
@NullMarked
package org.bamboorelay.entry.request;

import org.jspecify.annotations.NullMarked;
