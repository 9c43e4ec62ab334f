package org.bamboorelay.cli.request;

import org.apache.commons.cli.CommandLine;

/**
 * One command of the operators' program.
 */
@FunctionalInterface
public interface Command {

	/**
	 * Carries out the command.
	 * @param line the command line; its first argument is the command's name
	 * @return the answer
	 */
	CommandResult run(CommandLine line);

}
