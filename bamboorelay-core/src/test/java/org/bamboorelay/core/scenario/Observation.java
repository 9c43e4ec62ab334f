package org.bamboorelay.core.scenario;

import java.util.List;

import org.bamboorelay.core.process.UsageWindows.WindowRecord;
import org.bamboorelay.core.request.SampleSlot;
import org.bamboorelay.core.version.EndpointId;
import org.bamboorelay.core.version.KeyHash;
import org.bamboorelay.core.version.WorkspaceId;

/**
 * An event that a caller, a trainer, an endpoint or the platform can observe. Checkers
 * evaluate the invariants on these.
 */
sealed interface Observation {

	/** A trainer received a sample. */
	record SampleDelivered(int step, long seq, String id, SampleSlot slot, List<Long> labelledVersions,
			List<Long> actualVersions, long trainerVersion, long maxVersionLag) implements Observation {
	}

	/**
	 * Samples were withheld because they exceeded the staleness bound after their batch
	 * had been recorded.
	 */
	record SamplesWithheld(int step, List<SampleSlot> slots) implements Observation {
	}

	/** A trainer was told that a step is complete. */
	record StepCompleted(int step, int slots) implements Observation {
	}

	/** The platform accepted an order. */
	record OrderAccepted(String domain, String sender, String orderId, long fencing,
			boolean fromFormerHolder) implements Observation {
	}

	/** The platform accepted a usage report. */
	record UsageReported(String sender, WindowRecord window) implements Observation {
	}

	/** A caller sent a request with a key over a connection that is shared by callers. */
	record RequestSent(SimulatedProcess host, int connection, KeyHash key, boolean started) implements Observation {
	}

	/**
	 * A request was forwarded to an endpoint, or refused, in which case the endpoint sees
	 * no text of it.
	 */
	record RequestForwarded(SimulatedRequest request, List<String> visibleTexts) implements Observation {
	}

	/** A request was authenticated and started for a workspace. */
	record RequestStarted(SimulatedProcess host, KeyHash key, WorkspaceId effectiveWorkspace) implements Observation {
	}

	/** A response stream of a request with a key forwarded tokens to its caller. */
	record TokensStreamed(SimulatedProcess host, KeyHash key) implements Observation {
	}

	/**
	 * An endpoint accepted a request from a host while it was running a number of others.
	 */
	record RequestAdmitted(SimulatedProcess host, String grantor, FakeEndpoints.Engine endpoint,
			int running) implements Observation {
	}

	/**
	 * A credit was released to its owner, with the time to first byte of the request.
	 */
	record CreditReleased(String owner, EndpointId endpoint, long firstByteMillis) implements Observation {
	}

	/** An endpoint stopped after it had been announced as leaving. */
	record EndpointStopped(FakeEndpoints.Engine endpoint) implements Observation {
	}

	/** A configuration version came into force on a host. */
	record ConfigurationInForce(SimulatedProcess host, long version) implements Observation {
	}

}
