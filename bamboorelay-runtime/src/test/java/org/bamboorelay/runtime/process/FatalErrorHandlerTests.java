package org.bamboorelay.runtime.process;

import java.util.ArrayList;
import java.util.List;

import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests of the log line and the exit code after an uncaught exception.
 */
class FatalErrorHandlerTests {

	private final List<String> lines = new ArrayList<>();

	private final List<Integer> exits = new ArrayList<>();

	private final FatalErrorHandler errors = new FatalErrorHandler(this.lines::add, this.exits::add);

	@Test
	void failedThreadIsLoggedAndProcessContinues() {
		this.errors.uncaughtException(new Thread("watch"), new IllegalStateException("no \"state\""));
		assertThat(this.lines).hasSize(1);
		assertThat(this.lines.get(0)).contains("\"thread\":\"watch\"").contains("no \\\"state\\\"");
		assertThat(this.exits).isEmpty();
	}

	@Test
	void outOfMemoryErrorIsLoggedAndProcessExits() {
		this.errors.uncaughtException(new Thread("item"), new OutOfMemoryError("Java heap space"));
		assertThat(this.lines.get(0)).contains("process-ending").contains("Java heap space");
		assertThat(this.exits).containsExactly(FatalErrorHandler.EXIT_CODE);
	}

}
