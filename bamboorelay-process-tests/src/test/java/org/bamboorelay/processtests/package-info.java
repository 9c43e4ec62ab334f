/**
 * Tests that start the real programs as separate processes and kill, freeze or cut them
 * off.
 */
@NullMarked
package org.bamboorelay.processtests;

import org.jspecify.annotations.NullMarked;
