/**
 * Values and decision logic that are scoped to one request, submission, sample or step.
 */
@NullMarked
package org.bamboorelay.core.request;

import org.jspecify.annotations.NullMarked;
