package org.bamboorelay.standins.process;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;

/**
 * A request inside the engine, and the events that its connection has not yet taken.
 * <p>
 * Changed under the lock of its {@link EngineState}; events are taken by one other
 * thread.
 */
public final class Generation {

	private final BlockingQueue<GenerationEvent> events = new LinkedBlockingQueue<>();

	private final EngineRequest request;

	private final long order;

	private final int length;

	private final boolean drawn;

	private double prefillLeft;

	private double budget;

	private int produced;

	private int index;

	Generation(EngineRequest request, long order, int length, boolean drawn) {
		this.request = request;
		this.order = order;
		this.length = length;
		this.drawn = drawn;
		this.produced = request.resumeTokens();
	}

	/**
	 * Waits for events.
	 * @return the events since the last call, at least one
	 * @throws InterruptedException where the waiting thread is interrupted
	 */
	public List<GenerationEvent> take() throws InterruptedException {
		List<GenerationEvent> taken = new ArrayList<>();
		taken.add(this.events.take());
		this.events.drainTo(taken);
		return taken;
	}

	/**
	 * Takes the events that are there.
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

	long order() {
		return this.order;
	}

	void prefill(double tokens) {
		this.prefillLeft = tokens;
	}

	/**
	 * Spends work on the request.
	 * @param work in tokens; a prompt token costs 1 / {@code prefillSpeed} of one
	 * @param prefillSpeed prompt tokens that are read in the time of one generated token
	 * @param version the weights
	 * @return whether the request is finished
	 */
	boolean work(double work, double prefillSpeed, String version) {
		double prefill = Math.min(this.prefillLeft, work * prefillSpeed);
		this.prefillLeft -= prefill;
		this.budget += work - prefill / prefillSpeed;
		while (this.budget >= 1 && this.produced < this.length) {
			this.budget--;
			add(" t" + this.produced++, 1, version, "");
		}
		if (this.produced >= this.length && this.prefillLeft <= 0) {
			finish(version, this.drawn ? "stop" : "length");
			return true;
		}
		return false;
	}

	void finish(String version, String reason) {
		add("", 0, version, reason);
	}

	private void add(String text, int tokens, String version, String finish) {
		this.events.add(new GenerationEvent(this.index++, text, tokens, version, finish));
	}

}
