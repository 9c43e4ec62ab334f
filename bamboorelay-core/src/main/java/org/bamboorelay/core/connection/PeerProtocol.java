package org.bamboorelay.core.connection;

import java.util.List;

/**
 * Constants of the protocol between the processes of a deployment.
 * <p>
 * Stateless and thread-safe.
 */
public final class PeerProtocol {

	/** Protocol version, the first element of each frame. */
	public static final int VERSION = 1;

	/** First component of each {@link PeerMessage.Hello}. */
	public static final String MAGIC = "bamboorelay";

	/** Maximum size of a frame without its length field, in bytes. */
	public static final int MAX_FRAME_BYTES = 4 * 1_048_576;

	/** Interval between heartbeats, in milliseconds. */
	public static final long HEARTBEAT_MILLIS = 1_000;

	/**
	 * The message types. The type number on the wire is the index in this list, so new
	 * types must be appended.
	 */
	public static final List<Class<? extends PeerMessage>> TYPES = List.of(PeerMessage.Hello.class,
			PeerMessage.Heartbeat.class, PeerMessage.ConfigFetch.class, PeerMessage.ConfigBody.class,
			PeerMessage.ConfigOffer.class, PeerMessage.Withdraw.class, PeerMessage.EndpointSet.class,
			PeerMessage.CreditRequest.class, PeerMessage.CreditGrant.class, PeerMessage.CreditRefusal.class,
			PeerMessage.CreditReturn.class, PeerMessage.CreditRenew.class, PeerMessage.CreditsUnknown.class,
			PeerMessage.CreditAdopt.class, PeerMessage.CreditsAdopted.class, PeerMessage.SamplePut.class,
			PeerMessage.SampleGet.class, PeerMessage.SampleBody.class, PeerMessage.SampleDelete.class,
			PeerMessage.UsagePull.class, PeerMessage.UsageCounters.class, PeerMessage.Ack.class,
			PeerMessage.Rejected.class, PeerMessage.BatchRequest.class, PeerMessage.BatchResponse.class,
			PeerMessage.WithdrawnDelta.class, PeerMessage.EndpointSetOffer.class, PeerMessage.HostStatus.class,
			PeerMessage.ResultsRequest.class, PeerMessage.ResultsResponse.class, PeerMessage.StoreRequest.class,
			PeerMessage.StoreResponse.class, PeerMessage.TextCopy.class, PeerMessage.TextFetch.class,
			PeerMessage.ObjectChanges.class, PeerMessage.StatusDigest.class, PeerMessage.WeightLoad.class,
			PeerMessage.RateNamed.class, PeerMessage.RateSlotRequest.class, PeerMessage.RateSlot.class,
			PeerMessage.EndpointCrash.class, PeerMessage.RequestServed.class);

	/**
	 * The number of types in the first release. A process sends later types only to
	 * processes whose {@link PeerMessage.Hello} states that they support them.
	 */
	public static final int FIRST_RELEASE_TYPES = 25;

	private PeerProtocol() {
	}

}
