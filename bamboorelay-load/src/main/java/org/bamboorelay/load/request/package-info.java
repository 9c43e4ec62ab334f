/**
 * What is sent and checked: requests, steps and the points of the quick start.
 */
@NullMarked
package org.bamboorelay.load.request;

import org.jspecify.annotations.NullMarked;
