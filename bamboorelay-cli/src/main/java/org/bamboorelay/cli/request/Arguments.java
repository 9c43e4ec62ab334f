package org.bamboorelay.cli.request;

import org.apache.commons.cli.CommandLine;

/**
 * Access to the positional arguments of a command line.
 * <p>
 * Stateless and thread-safe.
 */
final class Arguments {

	private Arguments() {
	}

	/**
	 * Returns a required argument.
	 * @param line the command line
	 * @param index the position; 0 is the name of the command
	 * @param description the description of the argument for the error message
	 * @return the argument
	 * @throws IllegalArgumentException if the argument is missing
	 */
	static String required(CommandLine line, int index, String description) {
		if (line.getArgList().size() <= index) {
			throw new IllegalArgumentException(line.getArgList().get(0) + ": found nothing, allowed: " + description);
		}
		return line.getArgList().get(index);
	}

}
