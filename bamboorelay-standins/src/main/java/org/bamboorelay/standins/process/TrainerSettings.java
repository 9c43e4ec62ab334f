package org.bamboorelay.standins.process;

/**
 * Settings of a trainer.
 * <p>
 * Immutable and thread-safe.
 *
 * @param entryAddress {@code ip:port} of an entry host
 * @param key the API key of the trainer's workspace
 * @param trainer the name of the trainer
 * @param service the service
 * @param line the weight line
 * @param promptsPerStep number of prompts in a step
 * @param samplesPerPrompt number of samples for each prompt
 * @param maxTokens the maximum number of tokens in a sample
 * @param steps the number of steps, 0 for no limit
 * @param firstVersion the version that is announced first
 * @param firstSeq the sequence number of the first batch of a step
 * @param maxBatchSamples the maximum number of samples in a batch
 * @param trainMillis duration of the training after each step, in milliseconds
 */
public record TrainerSettings(String entryAddress, String key, String trainer, String service, String line,
		int promptsPerStep, int samplesPerPrompt, int maxTokens, long steps, long firstVersion, long firstSeq,
		int maxBatchSamples, long trainMillis) {
}
