package org.bamboorelay.core.scenario;

import java.util.List;

import org.bamboorelay.core.process.UsageWindows.WindowRecord;
import org.bamboorelay.core.request.SampleSlot;
import org.bamboorelay.core.version.EndpointId;
import org.bamboorelay.core.version.KeyHash;
import org.bamboorelay.core.version.WorkspaceId;

/**
 * Something that the world outside the hosts saw; the checkers judge these.
 */
sealed interface Fact {

	/** A sample reached its trainer. */
	record Sample(int step, long seq, String id, SampleSlot slot, List<Long> labelled, List<Long> truth,
			long trainerVersion, long bound) implements Fact {
	}

	/** Samples that passed the bound after their batch was recorded were withheld. */
	record Withheld(int step, List<SampleSlot> slots) implements Fact {
	}

	/** A trainer was told that a step is complete. */
	record StepComplete(int step, int slots) implements Fact {
	}

	/** The platform took an order. */
	record Order(String domain, String sender, String orderId, long fencing, boolean late) implements Fact {
	}

	/** The platform took a usage report. */
	record Report(String sender, WindowRecord window) implements Fact {
	}

	/** A caller sent a request with a key over a connection that others share. */
	record Asked(SimProcess host, int connection, KeyHash key, boolean ran) implements Fact {
	}

	/** An endpoint got a request; it sees nothing of one that was refused. */
	record Sent(RequestText request, List<String> seen) implements Fact {
	}

	/** A request began to run. */
	record Ran(SimProcess host, KeyHash key, WorkspaceId as) implements Fact {
	}

	/** A running stream with a key passed on tokens. */
	record Streamed(SimProcess host, KeyHash key) implements Fact {
	}

	/** An endpoint took a request of a host beside others that it ran already. */
	record Admitted(SimProcess host, String lender, FakeEndpoints.Engine endpoint, int running) implements Fact {
	}

	/** A credit came back to the owner that is named, with the time to the first byte. */
	record Returned(String owner, EndpointId endpoint, long firstByte) implements Fact {
	}

	/** An endpoint stopped after it had said that it leaves. */
	record Left(FakeEndpoints.Engine endpoint) implements Fact {
	}

	/** A version came in force at a host. */
	record InForce(SimProcess host, long version) implements Fact {
	}

}
