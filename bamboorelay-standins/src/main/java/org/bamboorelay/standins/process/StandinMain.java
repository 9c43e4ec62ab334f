package org.bamboorelay.standins.process;

import java.io.IOException;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.concurrent.CountDownLatch;

import io.vavr.control.Either;
import org.bamboorelay.runtime.request.Json;

/**
 * Program that runs one kind of stand-in, or all platform stand-ins together. It prints a
 * line {@code {"event":"ready","kind":...,"port":...}} for each port that it listens on,
 * and runs until it is terminated.
 */
public final class StandinMain {

	private static final int EXIT_INVALID_OPTIONS = 2;

	private StandinMain() {
	}

	/**
	 * Starts the program.
	 * @param arguments the options
	 * @throws InterruptedException if the waiting thread is interrupted
	 */
	public static void main(String[] arguments) throws InterruptedException {
		Either<StandinOptions.OptionFailure, StandinOptions> options = StandinOptions.parse(arguments);
		if (options.isLeft()) {
			exit(options.getLeft().detail());
		}
		try {
			StandinProcess process = StandinProcess.start(options.get());
			process.ports().forEach(StandinMain::printReady);
			new CountDownLatch(1).await();
		}
		catch (IOException | IllegalArgumentException ex) {
			exit(String.valueOf(ex.getMessage()));
		}
	}

	private static void printReady(String kind, int port) {
		Map<String, Object> line = new LinkedHashMap<>();
		line.put("event", "ready");
		line.put("kind", kind);
		line.put("port", port);
		System.out.println(Json.text(line));
		System.out.flush();
	}

	private static void exit(String detail) {
		System.err.println("bamboorelay-standin: " + detail);
		System.exit(EXIT_INVALID_OPTIONS);
	}

}
