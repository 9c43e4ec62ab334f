package org.bamboorelay.core.process;

/**
 * The expected time until an engine has completed an item.
 *
 * @param waitMillis the wait for a slot, in milliseconds
 * @param runMillis the prefill of the prompt and the events, in milliseconds
 * @param loadMillis the allowance for items of other hosts, in milliseconds
 */
record CompletionTime(double waitMillis, double runMillis, double loadMillis) {

	/** Prompt tokens that an engine prefills in a millisecond at its usual pace. */
	static final double PREFILL_TOKENS_PER_MILLI = 300;

	/** Time per event that is assumed until one is measured, in milliseconds. */
	private static final double DEFAULT_UNIT_TIME = 40;

	/**
	 * Time for which a deviation of the pace from the usual one lasts, in milliseconds.
	 */
	private static final double PACE_DEVIATION_MILLIS = 600;

	/**
	 * Share of the time of a run by which a fully loaded engine counts as slower. Hosts
	 * that place items at the same time do not see each other's items yet; without this
	 * share, all of them would first fill the fastest engines.
	 */
	private static final double LOAD_SHARE = 1.0;

	/**
	 * Estimates the completion of an item at an engine.
	 * @param candidate the engine
	 * @param work the item
	 * @param typicalUnitTime the time per event of an engine whose own is not known, in
	 * milliseconds; 0 if not known either
	 * @param isSharedPartCached whether the engine has prefilled the shared part of the
	 * prompt
	 * @param nowMillis the time, in milliseconds
	 * @return the expected times
	 */
	static CompletionTime of(PlacementCandidate candidate, ItemWork work, double typicalUnitTime,
			boolean isSharedPartCached, long nowMillis) {
		double usual = usualRunMillis(candidate, work, typicalUnitTime, isSharedPartCached);
		double loadPerSlot = candidate.expectedLoad(nowMillis) / candidate.slots();
		double wait = Math.max(0, loadPerSlot + 1.0 / candidate.slots() - 1) * usual;
		double pace = candidate.currentPace(nowMillis) / candidate.usualPace();
		double deviation = (usual * pace <= PACE_DEVIATION_MILLIS) ? usual * (pace - 1)
				: PACE_DEVIATION_MILLIS * (1 - 1 / pace);
		return new CompletionTime(wait, usual + deviation, usual * LOAD_SHARE * Math.min(1, loadPerSlot));
	}

	/**
	 * Estimates the run of an item at the usual pace of an engine.
	 * @param candidate the engine
	 * @param work the item
	 * @param typicalUnitTime the time per event of an engine whose own is not known, in
	 * milliseconds; 0 if not known either
	 * @param isSharedPartCached whether the engine has prefilled the shared part of the
	 * prompt
	 * @return the time, in milliseconds
	 */
	static double usualRunMillis(PlacementCandidate candidate, ItemWork work, double typicalUnitTime,
			boolean isSharedPartCached) {
		double unitTime = (candidate.unitTime() > 0) ? candidate.unitTime()
				: (typicalUnitTime > 0) ? typicalUnitTime : DEFAULT_UNIT_TIME;
		long unread = work.promptTokens() - (isSharedPartCached ? work.sharedTokens() : 0);
		return (unread / PREFILL_TOKENS_PER_MILLI + work.expectedEvents() * unitTime) * candidate.usualPace();
	}

	double totalMillis() {
		return this.waitMillis + this.runMillis + this.loadMillis;
	}

}
