package org.bamboorelay.core.connection;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.List;
import java.util.Map;

import com.fasterxml.jackson.annotation.JsonFormat;
import org.bamboorelay.core.version.EndpointId;
import org.bamboorelay.core.version.FailureDomain;
import org.bamboorelay.core.version.HostId;
import org.bamboorelay.core.version.KeyHash;
import org.bamboorelay.core.version.LineId;
import org.bamboorelay.core.version.ServiceId;
import org.bamboorelay.core.version.WeightVersion;
import org.bamboorelay.core.version.WorkspaceId;
import org.jspecify.annotations.Nullable;

/**
 * A message between the processes of a deployment. On the wire each message is an array
 * of its fields, in the order in which they are declared; see section 4.5 of the design
 * page.
 * <p>
 * Messages are immutable as long as nobody writes to their arrays, and thread-safe under
 * the same condition.
 */
@JsonFormat(shape = JsonFormat.Shape.ARRAY)
public sealed interface PeerMessage {

	/**
	 * First message in each direction of a link.
	 *
	 * @param magic {@link PeerProtocol#MAGIC}
	 * @param deployment name of the deployment
	 * @param host the sender's host
	 * @param domain the sender's failure domain
	 * @param role {@code entry}, {@code control} or {@code operator}
	 * @param incarnation unique for each start of the process
	 * @param messageTypes how many of {@link PeerProtocol#TYPES} the sender knows; 0 from
	 * releases that do not say it. Those skip the field when they read it.
	 */
	@JsonFormat(shape = JsonFormat.Shape.ARRAY)
	record Hello(String magic, String deployment, HostId host, FailureDomain domain, String role, String incarnation,
			int messageTypes) implements PeerMessage {

		/**
		 * Creates the greeting of a process of this release.
		 * @param deployment name of the deployment
		 * @param host the sender's host
		 * @param domain the sender's failure domain
		 * @param role {@code entry}, {@code control} or {@code operator}
		 * @param incarnation unique for each start of the process
		 * @return the greeting
		 */
		public static Hello of(String deployment, HostId host, FailureDomain domain, String role, String incarnation) {
			return new Hello(PeerProtocol.MAGIC, deployment, host, domain, role, incarnation,
					PeerProtocol.TYPES.size());
		}

		/**
		 * Tells whether the sender can read a type of message.
		 * @param type the type
		 * @return whether it can; one that cannot closes the link
		 */
		public boolean knows(Class<? extends PeerMessage> type) {
			return PeerProtocol.TYPES.indexOf(type) < Math.max(this.messageTypes, PeerProtocol.FIRST_TYPES);
		}

	}

	/**
	 * Sign of life, once a second.
	 *
	 * @param leaving whether the sender shuts down
	 * @param configVersion the highest configuration version that it holds; 0 for none
	 * @param viewAgeMillis time since some chain of peers read the store, in
	 * milliseconds; -1 where it never did
	 * @param withdrawnCount the number of withdrawn hashes that it knows
	 * @param digests the free capacity of the endpoints that it owns
	 */
	@JsonFormat(shape = JsonFormat.Shape.ARRAY)
	record Heartbeat(boolean leaving, long configVersion, long viewAgeMillis, int withdrawnCount,
			List<Digest> digests) implements PeerMessage {
	}

	/**
	 * Free capacity of a service at one owner.
	 *
	 * @param service the service
	 * @param freeInteractive credits that an interactive request can get
	 * @param freeRollout credits that a rollout sample can get
	 */
	@JsonFormat(shape = JsonFormat.Shape.ARRAY)
	record Digest(ServiceId service, int freeInteractive, int freeRollout) {
	}

	/**
	 * Asks for the highest configuration; answered by {@link ConfigBody}.
	 *
	 * @param have the version that the sender holds; 0 for none
	 */
	@JsonFormat(shape = JsonFormat.Shape.ARRAY)
	record ConfigFetch(long have) implements PeerMessage {
	}

	/**
	 * A configuration.
	 *
	 * @param version the version; 0 where there is none newer
	 * @param body JSON of the configuration, empty where there is none newer
	 * @param viewAgeMillis age of the sender's view, in milliseconds; -1 for unknown
	 */
	@JsonFormat(shape = JsonFormat.Shape.ARRAY)
	record ConfigBody(long version, byte[] body, long viewAgeMillis) implements PeerMessage {
	}

	/**
	 * Passes on what a reader of the store found; answered by {@link Ack}.
	 *
	 * @param version the version of the head that was read
	 * @param body JSON of the configuration; empty where the receiver is known to hold
	 * the version
	 * @param ageMillis time since the store was read, in milliseconds
	 */
	@JsonFormat(shape = JsonFormat.Shape.ARRAY)
	record ConfigOffer(long version, byte[] body, long ageMillis) implements PeerMessage {
	}

	/**
	 * Withdrawn hashes; answered by a {@code Withdraw} with all that the receiver knows.
	 * Used with releases that do not know {@link WithdrawnDelta}.
	 *
	 * @param keys the hashes
	 */
	@JsonFormat(shape = JsonFormat.Shape.ARRAY)
	record Withdraw(List<KeyHash> keys) implements PeerMessage {
	}

	/**
	 * The endpoints of a failure domain; answered by {@link Ack}.
	 *
	 * @param domain the failure domain
	 * @param sequence rises with each set that a control process sends
	 * @param endpoints the endpoints that are live or leaving
	 * @param weightHeads the newest version of each line
	 */
	@JsonFormat(shape = JsonFormat.Shape.ARRAY)
	record EndpointSet(FailureDomain domain, long sequence, List<EndpointInfo> endpoints,
			List<WeightVersion> weightHeads) implements PeerMessage {

		/**
		 * Returns a hash of the endpoints and versions, in their order. All processes
		 * compute the same.
		 * @return the hash, without domain and sequence
		 */
		public long contentHash() {
			try {
				MessageDigest digest = MessageDigest.getInstance("SHA-256");
				for (EndpointInfo info : this.endpoints) {
					digest
						.update((info.endpoint() + "\n" + info.address() + "\n" + info.domain() + "\n" + info.service()
								+ "\n" + info.cheap() + "\n" + info.leaving() + "\n")
							.getBytes(StandardCharsets.UTF_8));
				}
				for (WeightVersion head : this.weightHeads) {
					digest.update((head + "\n").getBytes(StandardCharsets.UTF_8));
				}
				return ByteBuffer.wrap(digest.digest()).getLong();
			}
			catch (NoSuchAlgorithmException ex) {
				throw new IllegalStateException("SHA-256 is missing from the JDK", ex);
			}
		}

	}

	/**
	 * Says that the endpoints of a failure domain are unchanged; answered by {@link Ack}
	 * where the receiver holds the set with this hash, and else by {@link Rejected} with
	 * {@link #NEED_SET}, to which the sender sends the {@link EndpointSet}.
	 *
	 * @param domain the failure domain
	 * @param sequence as in {@link EndpointSet}
	 * @param contentHash {@link EndpointSet#contentHash()} of the set
	 */
	@JsonFormat(shape = JsonFormat.Shape.ARRAY)
	record EndpointSetOffer(FailureDomain domain, long sequence, long contentHash) implements PeerMessage {

		/** Code of the rejection by a receiver that lacks the set. */
		public static final String NEED_SET = "need-set";

	}

	/**
	 * An endpoint.
	 *
	 * @param endpoint the name
	 * @param address {@code ip:port}
	 * @param domain the failure domain
	 * @param service the service
	 * @param cheap whether it can be evicted at any moment
	 * @param leaving whether it must get no new work
	 */
	@JsonFormat(shape = JsonFormat.Shape.ARRAY)
	record EndpointInfo(EndpointId endpoint, String address, FailureDomain domain, ServiceId service, boolean cheap,
			boolean leaving) {
	}

	/**
	 * Asks an owner for a credit; answered by {@link CreditGrant} or
	 * {@link CreditRefusal}.
	 *
	 * @param service the service
	 * @param interactive whether the request is interactive
	 * @param repeatable whether the request may be resumed or repeated, so that a cheap
	 * endpoint can serve it
	 * @param prefixHash hash of the prompt's prefix, salted by workspace; 0 for none
	 * @param expectedTokens expected cost, in tokens
	 * @param line the line of weights; null for none
	 * @param excluded endpoints that failed this request before
	 */
	@JsonFormat(shape = JsonFormat.Shape.ARRAY)
	record CreditRequest(ServiceId service, boolean interactive, boolean repeatable, long prefixHash,
			long expectedTokens, @Nullable LineId line, List<EndpointId> excluded) implements PeerMessage {
	}

	/**
	 * Allows one request to one endpoint.
	 *
	 * @param credit the credit, unique at its owner
	 * @param endpoint the endpoint
	 * @param address {@code ip:port} of the endpoint
	 * @param lengthMillis how long the credit lasts unless renewed, in milliseconds
	 */
	@JsonFormat(shape = JsonFormat.Shape.ARRAY)
	record CreditGrant(long credit, EndpointId endpoint, String address, long lengthMillis) implements PeerMessage {
	}

	/**
	 * No credit.
	 *
	 * @param reason stable code, such as {@code no-endpoint}
	 * @param retryAfterMillis when to ask again, in milliseconds
	 */
	@JsonFormat(shape = JsonFormat.Shape.ARRAY)
	record CreditRefusal(String reason, long retryAfterMillis) implements PeerMessage {
	}

	/**
	 * Gives credits back; answered by {@link Ack}.
	 *
	 * @param credits the credits with their outcomes
	 */
	@JsonFormat(shape = JsonFormat.Shape.ARRAY)
	record CreditReturn(List<ReturnedCredit> credits) implements PeerMessage {
	}

	/**
	 * A credit that is given back.
	 *
	 * @param credit the credit
	 * @param outcome {@code ok}, {@code failed}, {@code refused} or {@code unused}
	 * @param firstByteMillis time to the first byte of the answer, in milliseconds
	 * @param totalMillis time to its last byte, in milliseconds
	 * @param tokens tokens served
	 */
	@JsonFormat(shape = JsonFormat.Shape.ARRAY)
	record ReturnedCredit(long credit, String outcome, long firstByteMillis, long totalMillis, long tokens) {
	}

	/**
	 * Renews credits of running requests; answered by {@link CreditsUnknown}.
	 *
	 * @param credits the credits
	 */
	@JsonFormat(shape = JsonFormat.Shape.ARRAY)
	record CreditRenew(List<Long> credits) implements PeerMessage {
	}

	/**
	 * The credits that the receiver does not know; their holder sends a
	 * {@link CreditAdopt}.
	 *
	 * @param credits the credits
	 */
	@JsonFormat(shape = JsonFormat.Shape.ARRAY)
	record CreditsUnknown(List<Long> credits) implements PeerMessage {
	}

	/**
	 * Registers running requests with the new owner of their endpoint; answered by
	 * {@link CreditsAdopted}.
	 *
	 * @param endpoints the endpoint of each running request
	 */
	@JsonFormat(shape = JsonFormat.Shape.ARRAY)
	record CreditAdopt(List<EndpointId> endpoints) implements PeerMessage {
	}

	/**
	 * New credits for running requests, in the order of the {@link CreditAdopt}.
	 *
	 * @param credits the credits
	 */
	@JsonFormat(shape = JsonFormat.Shape.ARRAY)
	record CreditsAdopted(List<Long> credits) implements PeerMessage {
	}

	/**
	 * Stores a finished sample on a second host; answered by {@link Ack}.
	 *
	 * @param sample the sample's id
	 * @param body JSON of the sample
	 */
	@JsonFormat(shape = JsonFormat.Shape.ARRAY)
	record SamplePut(String sample, byte[] body) implements PeerMessage {
	}

	/**
	 * Asks for a sample; answered by {@link SampleBody}.
	 *
	 * @param sample the sample's id
	 */
	@JsonFormat(shape = JsonFormat.Shape.ARRAY)
	record SampleGet(String sample) implements PeerMessage {
	}

	/**
	 * A sample.
	 *
	 * @param body JSON of the sample; empty where the sender does not hold it
	 */
	@JsonFormat(shape = JsonFormat.Shape.ARRAY)
	record SampleBody(byte[] body) implements PeerMessage {
	}

	/**
	 * Drops samples whose batch was acknowledged; answered by {@link Ack}.
	 *
	 * @param samples the samples' ids
	 */
	@JsonFormat(shape = JsonFormat.Shape.ARRAY)
	record SampleDrop(List<String> samples) implements PeerMessage {
	}

	/**
	 * Asks for usage counters; answered by {@link UsageCounters}.
	 *
	 * @param window the start of the window that the reader counts for, in milliseconds
	 * since the epoch
	 */
	@JsonFormat(shape = JsonFormat.Shape.ARRAY)
	record UsagePull(long window) implements PeerMessage {
	}

	/**
	 * Counters since the start of a process.
	 *
	 * @param incarnation the incarnation that counted
	 * @param leaving whether these are the last figures of the incarnation
	 * @param counts the counters
	 */
	@JsonFormat(shape = JsonFormat.Shape.ARRAY)
	record UsageCounters(String incarnation, boolean leaving, List<UsageCount> counts) implements PeerMessage {
	}

	/**
	 * Counters of one workspace at one service.
	 *
	 * @param workspace the workspace
	 * @param service the service
	 * @param requests whole answers
	 * @param tokens tokens in whole answers and delivered samples
	 */
	@JsonFormat(shape = JsonFormat.Shape.ARRAY)
	record UsageCount(WorkspaceId workspace, ServiceId service, long requests, long tokens) {
	}

	/**
	 * The request was carried out.
	 *
	 * @param ok always true; MessagePack arrays of messages are never empty
	 */
	@JsonFormat(shape = JsonFormat.Shape.ARRAY)
	record Ack(boolean ok) implements PeerMessage {
	}

	/**
	 * The request was not carried out.
	 *
	 * @param code stable code of the failure
	 * @param detail a sentence for people
	 */
	@JsonFormat(shape = JsonFormat.Shape.ARRAY)
	record Rejected(String code, String detail) implements PeerMessage {
	}

	/**
	 * Asks the running host of a step for a batch; answered by {@link Ack}, and later by
	 * a {@link BatchAnswer} that the receiver sends to the asking host, because finding
	 * the batch can take calls on the object API.
	 *
	 * @param ticket unique id of the question
	 * @param asker the asking host
	 * @param body JSON of the question
	 */
	@JsonFormat(shape = JsonFormat.Shape.ARRAY)
	record BatchFetch(String ticket, HostId asker, byte[] body) implements PeerMessage {
	}

	/**
	 * Answers a {@link BatchFetch}; answered by {@link Ack}.
	 *
	 * @param ticket id of the question
	 * @param status status of the answer; 0 where the sender does not run the step
	 * @param body JSON of the answer, empty where there is none
	 */
	@JsonFormat(shape = JsonFormat.Shape.ARRAY)
	record BatchAnswer(String ticket, int status, byte[] body) implements PeerMessage {
	}

	/**
	 * Compares sets of withdrawn hashes and passes on what differs; answered by a
	 * {@code WithdrawnDelta} of the receiver. Numbers count the hashes in the order in
	 * which the process of one incarnation learned them.
	 *
	 * @param count the number of hashes that the sender knows
	 * @param hash hash of its set, independent of the order
	 * @param after the sender holds the receiver's hashes up to this number; -1 where it
	 * asks for the digest only, and in answers
	 * @param keys hashes that the receiver may lack
	 */
	@JsonFormat(shape = JsonFormat.Shape.ARRAY)
	record WithdrawnDelta(int count, long hash, int after, List<KeyHash> keys) implements PeerMessage {
	}

	/**
	 * Sign of life of a host that learns its peers from the platform's store; answered by
	 * none.
	 *
	 * @param leaving whether the sender shuts down
	 * @param holdsDuties whether the sender is in charge of the duties
	 * @param leaseVersion the version of the duties' lease that it wrote last; 0 where it
	 * is not in charge
	 * @param reachesStore whether the sender reaches the platform's store by itself
	 * @param demand items that run or wait at the sender, by service
	 * @param loading the endpoints that load weights on its order
	 * @param assigned the model that each endpoint loads the versions of, on its order
	 * @param running the requests that it runs at each endpoint
	 * @param leavingEndpoints the start, in milliseconds since the epoch, of each
	 * endpoint that told the sender lately that it leaves
	 * @param usage requests that began to run, by window, incarnation and workspace, of
	 * the newest windows
	 */
	@JsonFormat(shape = JsonFormat.Shape.ARRAY)
	record HostStatus(boolean leaving, boolean holdsDuties, long leaseVersion, boolean reachesStore,
			Map<String, Integer> demand, List<String> loading, Map<String, String> assigned,
			Map<String, Integer> running, Map<String, Long> leavingEndpoints,
			Map<Long, Map<String, Map<String, Long>>> usage) implements PeerMessage {

		/**
		 * Returns this status for hosts that do not add up usage.
		 * @return the status without usage
		 */
		public HostStatus withoutUsage() {
			return new HostStatus(this.leaving, this.holdsDuties, this.leaseVersion, this.reachesStore, this.demand,
					this.loading, this.assigned, this.running, this.leavingEndpoints, Map.of());
		}
	}

	/**
	 * Passes on the statuses that a host heard from others; answered by none.
	 *
	 * @param hosts the newest status of each host that was heard lately
	 */
	@JsonFormat(shape = JsonFormat.Shape.ARRAY)
	record StatusDigest(List<HeardStatus> hosts) implements PeerMessage {
	}

	/**
	 * A status that another host sent.
	 *
	 * @param host the host whose status it is
	 * @param ageMillis the time since it was heard, in milliseconds
	 * @param status the status, without usage
	 */
	@JsonFormat(shape = JsonFormat.Shape.ARRAY)
	record HeardStatus(String host, long ageMillis, HostStatus status) {
	}

	/**
	 * Asks the host that runs a submission for its listed results; answered by
	 * {@link ResultsAnswer}.
	 *
	 * @param submission the submission
	 * @param after the position to begin at
	 * @param maxCharacters the most characters of text to answer with
	 */
	@JsonFormat(shape = JsonFormat.Shape.ARRAY)
	record ResultsRead(String submission, int after, int maxCharacters) implements PeerMessage {
	}

	/**
	 * Asks a host to make one call on the platform's store, because the sender does not
	 * reach the store; answered by {@link StoreAnswer}. The answer takes as long as the
	 * store does, so it is made on another thread than the one that reads the link.
	 *
	 * @param call what to do
	 * @param key the object's key, or the kind
	 * @param argument the name to continue after
	 * @param number the version that is replaced, or the revision to watch from
	 * @param waitMillis the longest wait of a watch, in milliseconds
	 * @param body the value
	 */
	@JsonFormat(shape = JsonFormat.Shape.ARRAY)
	record StoreAsk(String call, String key, String argument, long number, long waitMillis,
			byte[] body) implements PeerMessage {
	}

	/**
	 * The result of a call on the platform's store.
	 *
	 * @param failure code of the failure; empty where the call succeeded
	 * @param detail a sentence for people
	 * @param number the version or revision
	 * @param more whether a list goes on
	 * @param objects the objects
	 */
	@JsonFormat(shape = JsonFormat.Shape.ARRAY)
	record StoreAnswer(String failure, String detail, long number, boolean more,
			List<RelayedObject> objects) implements PeerMessage {
	}

	/**
	 * An object of the platform's store.
	 *
	 * @param key the key
	 * @param version the version
	 * @param body the value
	 * @param removed whether it is gone
	 */
	@JsonFormat(shape = JsonFormat.Shape.ARRAY)
	record RelayedObject(String key, long version, byte[] body, boolean removed) {
	}

	/**
	 * Copies texts to the host that would go on with a submission; answered by
	 * {@link Ack}.
	 *
	 * @param submission the submission
	 * @param body JSON of the parts of its texts
	 */
	@JsonFormat(shape = JsonFormat.Shape.ARRAY)
	record TextCopy(String submission, byte[] body) implements PeerMessage {
	}

	/**
	 * Asks for the copied texts of a submission; answered by a {@link TextCopy}.
	 *
	 * @param submission the submission
	 */
	@JsonFormat(shape = JsonFormat.Shape.ARRAY)
	record TextFetch(String submission) implements PeerMessage {
	}

	/**
	 * Passes on what a host that watches the platform's store saw; answered by none.
	 *
	 * @param kind the kind of objects
	 * @param from the revision that the watch continued from
	 * @param to the revision up to which the changes are complete
	 * @param changes the changes, oldest first; none where nothing happened
	 */
	@JsonFormat(shape = JsonFormat.Shape.ARRAY)
	record ObjectChanges(String kind, long from, long to, List<RelayedObject> changes) implements PeerMessage {
	}

	/**
	 * Listed results of a submission.
	 *
	 * @param known whether the sender runs the submission
	 * @param body JSON of the results, in order
	 */
	@JsonFormat(shape = JsonFormat.Shape.ARRAY)
	record ResultsAnswer(boolean known, byte[] body) implements PeerMessage {
	}

}
