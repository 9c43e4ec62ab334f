package org.bamboorelay.cli.connection;

import org.bamboorelay.core.failure.Failure;

/**
 * Failure of an operator command.
 */
public sealed interface OperatorFailure extends Failure {

	/**
	 * An entry host refused the request.
	 *
	 * @param address {@code ip:port} of the entry host
	 * @param status the HTTP status code
	 */
	record Refused(String address, int status) implements OperatorFailure {
		@Override
		public String code() {
			return "refused";
		}

		@Override
		public String detail() {
			return this.address + " responded with status " + this.status;
		}
	}

	/**
	 * The version that the change is based on is no longer active.
	 *
	 * @param expected the version that the change is based on
	 * @param found the active version
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
	 * An item named in the command does not exist in the active configuration.
	 *
	 * @param kind the kind of item, such as a workspace
	 * @param name the name of the item
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
	 * No configuration has been accepted yet.
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
