/**
 * Values and decisions that live for one request, sample or step.
 */
@NullMarked
package org.bamboorelay.core.request;

import org.jspecify.annotations.NullMarked;
