package org.bamboorelay.core.request;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * Copies of texts that other hosts generate, kept so that a host that takes a submission
 * over goes on where the other one ended. The oldest submissions are dropped first.
 * <p>
 * Thread-safe; guarded by its own lock.
 */
public final class TextCopies {

	/** Submissions whose texts are kept. */
	private static final int MAX_SUBMISSIONS = 8;

	private final Map<String, Map<String, ItemText>> submissions = new LinkedHashMap<>();

	/**
	 * Takes parts of texts.
	 * @param submission the submission
	 * @param parts the parts
	 */
	public synchronized void add(String submission, List<TextPart> parts) {
		Map<String, ItemText> texts = this.submissions.computeIfAbsent(submission, (unused) -> new HashMap<>());
		parts.forEach((part) -> texts.computeIfAbsent(part.item(), (unused) -> new ItemText()).merge(part));
		while (this.submissions.size() > MAX_SUBMISSIONS) {
			this.submissions.remove(this.submissions.keySet().iterator().next());
		}
	}

	/**
	 * Returns the texts of a submission.
	 * @param submission the submission
	 * @return the texts as far as they are known, one an item
	 */
	public synchronized List<TextPart> of(String submission) {
		List<TextPart> parts = new ArrayList<>();
		this.submissions.getOrDefault(submission, Map.of()).forEach((item, text) -> {
			if (text.lastEvent() > 0) {
				parts.add(text.from(item, 0));
			}
		});
		return parts;
	}

	/**
	 * Drops the texts of a submission.
	 * @param submission the submission
	 */
	public synchronized void remove(String submission) {
		this.submissions.remove(submission);
	}

}
