/**
 * The operator command line.
 */
@NullMarked
package org.bamboorelay.cli.process;

import org.jspecify.annotations.NullMarked;
