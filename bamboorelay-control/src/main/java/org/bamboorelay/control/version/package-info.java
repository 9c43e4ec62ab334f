/**
 * Settings of the control process.
 */
@NullMarked
package org.bamboorelay.control.version;

import org.jspecify.annotations.NullMarked;
