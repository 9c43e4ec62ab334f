/**
 * The operators' commands, each of which lives for one call.
 */
@NullMarked
package org.bamboorelay.cli.request;

import org.jspecify.annotations.NullMarked;
