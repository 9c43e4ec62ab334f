/**
 * Operator commands; each instance serves one invocation.
 */
@NullMarked
package org.bamboorelay.cli.request;

import org.jspecify.annotations.NullMarked;
