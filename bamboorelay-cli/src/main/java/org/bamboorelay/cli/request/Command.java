package org.bamboorelay.cli.request;

import org.apache.commons.cli.CommandLine;

/**
 * A command of the operator command line.
 */
@FunctionalInterface
public interface Command {

	/**
	 * Runs the command.
	 * @param line the command line; its first argument is the name of the command
	 * @return the result
	 */
	CommandResult run(CommandLine line);

}
