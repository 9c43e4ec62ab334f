package org.bamboorelay.core.request;

import java.util.List;
import java.util.Objects;

import org.bamboorelay.core.version.JsonSize;
import org.jspecify.annotations.Nullable;

/**
 * The result of one item of a submission, in the form in which it is listed.
 * <p>
 * Immutable and thread-safe.
 *
 * @param id the id of the item
 * @param completed whether the text is complete; false if the item was given up
 * @param output the data of all events, separated by line feeds
 * @param versions the weight versions that generated the text, oldest first
 * @param score the score of the text; null if it has none
 */
public record ItemResult(String id, boolean completed, String output, List<Long> versions, @Nullable String score) {

	/** Size of the names of all properties and of the characters between them. */
	private static final int PROPERTY_BYTES = 80;

	/** Maximum size of a version and the comma after it. */
	private static final int VERSION_BYTES = 21;

	public ItemResult {
		Objects.requireNonNull(id, "id");
		Objects.requireNonNull(output, "output");
		versions = List.copyOf(versions);
	}

	/**
	 * Returns the result of an item that was given up.
	 * @param id the id of the item
	 * @return the result
	 */
	public static ItemResult givenUp(String id) {
		return new ItemResult(id, false, "", List.of(), null);
	}

	/**
	 * Returns the size of the result as it is stored and sent.
	 * @return an upper bound in bytes of JSON
	 */
	public long storedBytes() {
		return PROPERTY_BYTES + JsonSize.ofText(this.id) + JsonSize.ofText(this.output)
				+ ((this.score != null) ? JsonSize.ofText(this.score) : 0)
				+ (long) VERSION_BYTES * this.versions.size();
	}

}
