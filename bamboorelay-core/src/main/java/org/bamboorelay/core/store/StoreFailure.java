package org.bamboorelay.core.store;

import org.bamboorelay.core.failure.Failure;

/**
 * A failure of a call on the object API.
 */
public sealed interface StoreFailure extends Failure {

	/**
	 * The call had no effect: the store could not be reached, or it rejected the call
	 * because of load.
	 *
	 * @param detail a human-readable description
	 */
	record Unavailable(String detail) implements StoreFailure {
		@Override
		public String code() {
			return "store-unavailable";
		}
	}

	/**
	 * The call was sent but no response arrived; it may have taken effect or may still do
	 * so.
	 *
	 * @param detail a human-readable description
	 */
	record OutcomeUnknown(String detail) implements StoreFailure {
		@Override
		public String code() {
			return "store-outcome-unknown";
		}
	}

	/**
	 * The condition of a write was not met.
	 *
	 * @param key the object's key
	 */
	record ConditionFailed(String key) implements StoreFailure {
		@Override
		public String code() {
			return "store-condition-failed";
		}

		@Override
		public String detail() {
			return "object \"" + this.key + "\" was changed by another writer";
		}
	}

	/**
	 * The value exceeds the maximum size.
	 *
	 * @param key the object's key
	 * @param bytes the size of the value, in bytes
	 */
	record ValueTooLarge(String key, long bytes) implements StoreFailure {
		@Override
		public String code() {
			return "store-value-too-large";
		}

		@Override
		public String detail() {
			return "object \"" + this.key + "\" has " + this.bytes + " bytes, the limit is "
					+ ObjectStore.MAX_VALUE_BYTES;
		}
	}

	/**
	 * The store no longer has the change history since the requested revision.
	 *
	 * @param kind the kind of objects
	 */
	record HistoryGone(String kind) implements StoreFailure {
		@Override
		public String code() {
			return "store-history-gone";
		}

		@Override
		public String detail() {
			return "change history is no longer available for \"" + this.kind + "\"";
		}
	}

}
