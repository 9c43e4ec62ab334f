package org.bamboorelay.core.scenario;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

import org.bamboorelay.core.version.KeyHash;
import org.bamboorelay.core.version.WorkspaceId;
import org.jspecify.annotations.Nullable;

/**
 * The keys granted by operators, and the times at which their withdrawals were accepted.
 */
final class KeyRing {

	final Map<KeyHash, WorkspaceId> granted = new LinkedHashMap<>();

	/** The time in milliseconds at which the withdrawal of each key was accepted. */
	final Map<KeyHash, Long> withdrawn = new HashMap<>();

	private final Map<KeyHash, String> texts = new HashMap<>();

	private final List<KeyHash> keys = new ArrayList<>();

	KeyHash grant(WorkspaceId workspace) {
		String text = "key-" + this.keys.size() + "-of-" + workspace;
		KeyHash key = KeyHash.ofKey(text);
		this.texts.put(key, text);
		this.granted.put(key, workspace);
		this.keys.add(key);
		return key;
	}

	String text(KeyHash key) {
		return this.texts.get(key);
	}

	List<KeyHash> all() {
		return this.keys;
	}

	@Nullable WorkspaceId workspace(KeyHash key) {
		return this.granted.get(key);
	}

}
