package org.bamboorelay.standins.process;

/**
 * Settings of a trainer.
 * <p>
 * Immutable and thread-safe.
 *
 * @param entry {@code ip:port} of an entry host
 * @param key the key of the trainer's workspace
 * @param trainer the trainer
 * @param service the service
 * @param line the line of weights
 * @param prompts prompts in a step
 * @param samplesPerPrompt samples of each prompt
 * @param maxTokens the most tokens of a sample
 * @param steps how many steps, 0 for no end
 * @param firstVersion the version that is announced first
 * @param firstSeq number of the first batch of a step
 * @param batchMax the most samples in a batch
 * @param trainMillis how long the trainer trains after a step, in milliseconds
 */
public record TrainerSettings(String entry, String key, String trainer, String service, String line, int prompts,
		int samplesPerPrompt, int maxTokens, long steps, long firstVersion, long firstSeq, int batchMax,
		long trainMillis) {
}
