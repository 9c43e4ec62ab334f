/**
 * The process: settings, duties and life span.
 */
@NullMarked
package org.bamboorelay.host.process;

import org.jspecify.annotations.NullMarked;
