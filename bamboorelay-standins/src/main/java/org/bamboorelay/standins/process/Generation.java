package org.bamboorelay.standins.process;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;

/**
 * A request in the simulated engine, with the events that its connection has not consumed
 * yet.
 * <p>
 * Modified only under the lock of its {@link SimulatedEngine}; the events are consumed by
 * one other thread.
 */
public final class Generation {

	private final BlockingQueue<GenerationEvent> events = new LinkedBlockingQueue<>();

	private final EngineRequest request;

	private final long submissionOrder;

	private final int totalTokens;

	private final boolean randomLength;

	private double remainingPrefillTokens;

	private double tokenBudget;

	private int generatedTokens;

	private int nextIndex;

	Generation(EngineRequest request, long submissionOrder, int totalTokens, boolean randomLength) {
		this.request = request;
		this.submissionOrder = submissionOrder;
		this.totalTokens = totalTokens;
		this.randomLength = randomLength;
		this.generatedTokens = request.resumeTokens();
	}

	/**
	 * Waits for events.
	 * @return the events since the last call, at least one
	 * @throws InterruptedException if the waiting thread is interrupted
	 */
	public List<GenerationEvent> take() throws InterruptedException {
		List<GenerationEvent> taken = new ArrayList<>();
		taken.add(this.events.take());
		this.events.drainTo(taken);
		return taken;
	}

	/**
	 * Returns the available events without waiting.
	 * @return the events since the last call
	 */
	public List<GenerationEvent> poll() {
		List<GenerationEvent> taken = new ArrayList<>();
		this.events.drainTo(taken);
		return taken;
	}

	EngineRequest request() {
		return this.request;
	}

	long submissionOrder() {
		return this.submissionOrder;
	}

	void startPrefill(double tokens) {
		this.remainingPrefillTokens = tokens;
	}

	/**
	 * Advances the request by an amount of work, first on the prompt, then on generation.
	 * @param work the amount of work in generated tokens; a prompt token costs 1 /
	 * {@code prefillTokensPerToken} of a generated token
	 * @param prefillTokensPerToken number of prompt tokens processed in the time of one
	 * generated token
	 * @param version the loaded weights, as {@code line@number}
	 * @return whether the request is finished
	 */
	boolean process(double work, double prefillTokensPerToken, String version) {
		double prefill = Math.min(this.remainingPrefillTokens, work * prefillTokensPerToken);
		this.remainingPrefillTokens -= prefill;
		this.tokenBudget += work - prefill / prefillTokensPerToken;
		while (this.tokenBudget >= 1 && this.generatedTokens < this.totalTokens) {
			this.tokenBudget--;
			add(" t" + this.generatedTokens++, 1, version, "");
		}
		if (this.generatedTokens >= this.totalTokens && this.remainingPrefillTokens <= 0) {
			finish(version, this.randomLength ? "stop" : "length");
			return true;
		}
		return false;
	}

	void finish(String version, String reason) {
		add("", 0, version, reason);
	}

	private void add(String text, int tokens, String version, String finish) {
		this.events.add(new GenerationEvent(this.nextIndex++, text, tokens, version, finish));
	}

}
