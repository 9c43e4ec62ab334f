package org.bamboorelay.runtime.process;

import java.nio.charset.StandardCharsets;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.function.Consumer;
import java.util.function.IntConsumer;

import org.bamboorelay.runtime.request.Json;

/**
 * Handler of uncaught exceptions. Logs the exception that terminated a thread, and
 * terminates the process if the JVM cannot continue, so that neither a thread nor a
 * process ends without a log line.
 * <p>
 * Thread-safe.
 */
public final class FatalErrorHandler implements Thread.UncaughtExceptionHandler {

	/**
	 * Exit code of a process that ran out of memory or encountered another
	 * {@link VirtualMachineError}.
	 */
	public static final int EXIT_CODE = 70;

	private final Consumer<String> out;

	private final IntConsumer exit;

	FatalErrorHandler(Consumer<String> out, IntConsumer exit) {
		this.out = out;
		this.exit = exit;
	}

	/**
	 * Installs the handler for all threads of this process. It writes to standard error
	 * directly, because queued log events are lost when the process halts.
	 */
	public static void install() {
		Thread.setDefaultUncaughtExceptionHandler(
				new FatalErrorHandler(System.err::println, (code) -> Runtime.getRuntime().halt(code)));
	}

	@Override
	public void uncaughtException(Thread thread, Throwable error) {
		boolean fatal = error instanceof VirtualMachineError;
		try {
			Map<String, Object> line = new LinkedHashMap<>();
			line.put("level", "ERROR");
			line.put("message", fatal ? "process-ending" : "thread-failed");
			line.put("thread", thread.getName());
			line.put("error", error.toString());
			StackTraceElement[] stack = error.getStackTrace();
			line.put("at", (stack.length > 0) ? stack[0].toString() : "");
			this.out.accept(new String(Json.bytes(line), StandardCharsets.UTF_8));
		}
		finally {
			if (fatal) {
				this.exit.accept(EXIT_CODE);
			}
		}
	}

}
