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
 * The keys that operators granted, and when their withdrawal was accepted.
 */
final class KeyRing {

	final Map<KeyHash, WorkspaceId> granted = new LinkedHashMap<>();

	/** The time at which each withdrawal was accepted, in milliseconds. */
	final Map<KeyHash, Long> withdrawn = new HashMap<>();

	private final Map<KeyHash, String> texts = new HashMap<>();

	private final List<KeyHash> order = new ArrayList<>();

	KeyHash grant(WorkspaceId workspace) {
		String text = "key-" + this.order.size() + "-of-" + workspace;
		KeyHash key = KeyHash.ofKey(text);
		this.texts.put(key, text);
		this.granted.put(key, workspace);
		this.order.add(key);
		return key;
	}

	String text(KeyHash key) {
		return this.texts.get(key);
	}

	List<KeyHash> all() {
		return this.order;
	}

	@Nullable WorkspaceId workspace(KeyHash key) {
		return this.granted.get(key);
	}

}
