/**
 * Tests that run the programs as separate processes, which they kill, freeze or
 * disconnect from the network.
 */
@NullMarked
package org.bamboorelay.processtests;

import org.jspecify.annotations.NullMarked;
