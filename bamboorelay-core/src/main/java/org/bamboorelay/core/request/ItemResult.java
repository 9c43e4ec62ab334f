package org.bamboorelay.core.request;

import java.util.List;
import java.util.Objects;

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

}
