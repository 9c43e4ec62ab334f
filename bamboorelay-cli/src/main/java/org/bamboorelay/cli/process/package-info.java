/**
 * The operators' program.
 */
@NullMarked
package org.bamboorelay.cli.process;

import org.jspecify.annotations.NullMarked;
