package org.bamboorelay.cli.request;

import org.apache.commons.cli.CommandLine;

/**
 * Arguments of a command line.
 * <p>
 * Stateless and thread-safe.
 */
final class Arguments {

	private Arguments() {
	}

	/**
	 * Returns an argument that must be present.
	 * @param line the command line
	 * @param index the place, 0 for the command's name
	 * @param what what the argument is, for the message
	 * @return the argument
	 */
	static String required(CommandLine line, int index, String what) {
		if (line.getArgList().size() <= index) {
			throw new IllegalArgumentException(line.getArgList().get(0) + ": found nothing, allowed: " + what);
		}
		return line.getArgList().get(index);
	}

}
