package org.bamboorelay.cli.connection;

import org.bamboorelay.core.failure.Failure;

/**
 * A failure of an operator's command.
 */
public sealed interface OperatorFailure extends Failure {

	/**
	 * An entry host refused.
	 *
	 * @param address {@code ip:port} of the entry host
	 * @param status the HTTP status
	 */
	record Refused(String address, int status) implements OperatorFailure {
		@Override
		public String code() {
			return "refused";
		}

		@Override
		public String detail() {
			return this.address + " answered " + this.status;
		}
	}

	/**
	 * The version that the change was made from is no longer in force.
	 *
	 * @param expected the version that the change was made from
	 * @param found the version in force
	 */
	record VersionChanged(long expected, long found) implements OperatorFailure {
		@Override
		public String code() {
			return "version-changed";
		}

		@Override
		public String detail() {
			return "version " + this.found + " is in force, the change was made from version " + this.expected
					+ "; nothing was changed";
		}
	}

	/**
	 * Something that the command names does not exist.
	 *
	 * @param kind what kind of thing
	 * @param name its name
	 */
	record Unknown(String kind, String name) implements OperatorFailure {
		@Override
		public String code() {
			return "unknown";
		}

		@Override
		public String detail() {
			return this.kind + " \"" + this.name + "\" does not exist in the configuration in force";
		}
	}

	/**
	 * No configuration was accepted yet.
	 */
	record NoConfiguration() implements OperatorFailure {
		@Override
		public String code() {
			return "no-configuration";
		}

		@Override
		public String detail() {
			return "no configuration was accepted yet; use bamboorelay apply first";
		}
	}

}
