package org.bamboorelay.core.request;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * Copies of the texts that other hosts generate. A host that takes over a submission
 * continues from these copies instead of generating the texts again. The oldest
 * submissions are evicted first, if there are too many or their texts occupy too much
 * memory.
 * <p>
 * Thread-safe; guarded by its own lock.
 */
public final class ReplicatedTexts {

	/** Maximum number of submissions whose texts are kept. */
	private static final int MAX_SUBMISSIONS = 8;

	private final long maxBytes;

	private final Map<String, Map<String, ItemText>> submissions = new LinkedHashMap<>();

	private ReplicatedTexts(long maxBytes) {
		this.maxBytes = maxBytes;
	}

	/**
	 * Creates an empty store.
	 * @param maxBytes the maximum heap memory for the texts, in bytes
	 * @return the store
	 */
	public static ReplicatedTexts of(long maxBytes) {
		if (maxBytes < 0) {
			throw new IllegalArgumentException("maxBytes must not be negative: " + maxBytes);
		}
		return new ReplicatedTexts(maxBytes);
	}

	/**
	 * Merges parts of texts into the copies.
	 * @param submission the id of the submission
	 * @param parts the parts
	 */
	public synchronized void add(String submission, List<TextPart> parts) {
		Map<String, ItemText> texts = this.submissions.computeIfAbsent(submission, (unused) -> new HashMap<>());
		parts.forEach((part) -> texts.computeIfAbsent(part.item(), (unused) -> new ItemText()).merge(part));
		while (this.submissions.size() > MAX_SUBMISSIONS || sizeBytes() > this.maxBytes) {
			this.submissions.remove(this.submissions.keySet().iterator().next());
		}
	}

	/**
	 * Returns texts of a submission, the longest first.
	 * @param submission the id of the submission
	 * @param maxBytes the maximum heap memory of the result, exceeded only by a single
	 * text
	 * @return the known texts that fit, each from its first event
	 */
	public synchronized List<TextPart> textsOf(String submission, long maxBytes) {
		List<TextPart> parts = new ArrayList<>();
		long bytes = 0;
		List<Map.Entry<String, ItemText>> longestFirst = this.submissions.getOrDefault(submission, Map.of())
			.entrySet()
			.stream()
			.filter((entry) -> entry.getValue().lastEvent() > 0)
			.sorted(Comparator.comparingLong((Map.Entry<String, ItemText> entry) -> -entry.getValue().lastEvent()))
			.toList();
		for (Map.Entry<String, ItemText> entry : longestFirst) {
			bytes += entry.getValue().sizeBytes();
			if (!parts.isEmpty() && bytes > maxBytes) {
				break;
			}
			parts.add(entry.getValue().partAfter(entry.getKey(), 0));
		}
		return parts;
	}

	private long sizeBytes() {
		return this.submissions.values()
			.stream()
			.flatMap((texts) -> texts.values().stream())
			.mapToLong(ItemText::sizeBytes)
			.sum();
	}

	/**
	 * Discards the texts of a submission.
	 * @param submission the id of the submission
	 */
	public synchronized void remove(String submission) {
		this.submissions.remove(submission);
	}

}
