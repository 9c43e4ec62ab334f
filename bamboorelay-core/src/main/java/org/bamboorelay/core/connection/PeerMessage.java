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
 * A message between the processes of a deployment. Each message is encoded as an array of
 * its components in the order of their declaration; see section 4.5 of the design
 * document.
 * <p>
 * Messages are immutable and thread-safe, provided that their byte arrays are not
 * modified.
 */
@JsonFormat(shape = JsonFormat.Shape.ARRAY)
public sealed interface PeerMessage {

	/**
	 * First message in each direction of a link.
	 *
	 * @param magic {@link PeerProtocol#MAGIC}
	 * @param deployment name of the deployment
	 * @param host host of the sender
	 * @param domain failure domain of the sender
	 * @param role {@code entry}, {@code control} or {@code operator}
	 * @param incarnation identifier that is unique for each start of the process
	 * @param messageTypeCount the number of {@link PeerProtocol#TYPES} that the sender
	 * supports; 0 if it is a release without this field. Such releases ignore the field
	 * when they read it.
	 */
	@JsonFormat(shape = JsonFormat.Shape.ARRAY)
	record Hello(String magic, String deployment, HostId host, FailureDomain domain, String role, String incarnation,
			int messageTypeCount) implements PeerMessage {

		/**
		 * Creates the first message of a process of this release.
		 * @param deployment name of the deployment
		 * @param host host of the sender
		 * @param domain failure domain of the sender
		 * @param role {@code entry}, {@code control} or {@code operator}
		 * @param incarnation identifier that is unique for each start of the process
		 * @return the message
		 */
		public static Hello of(String deployment, HostId host, FailureDomain domain, String role, String incarnation) {
			return new Hello(PeerProtocol.MAGIC, deployment, host, domain, role, incarnation,
					PeerProtocol.TYPES.size());
		}

		/**
		 * Returns whether the sender can decode a type of message. It closes the link if
		 * it receives another type.
		 * @param type the type
		 * @return true if the sender supports the type
		 */
		public boolean supports(Class<? extends PeerMessage> type) {
			return PeerProtocol.TYPES.indexOf(type) < Math.max(this.messageTypeCount, PeerProtocol.FIRST_RELEASE_TYPES);
		}

	}

	/**
	 * Heartbeat, sent once a second.
	 *
	 * @param leaving whether the sender is shutting down
	 * @param configVersion the highest configuration version that it holds; 0 if none
	 * @param viewAgeMillis age of its configuration view, in milliseconds; -1 if unknown
	 * @param withdrawnCount the number of withdrawn key hashes that it knows
	 * @param digests the free capacity of the endpoints that it owns
	 */
	@JsonFormat(shape = JsonFormat.Shape.ARRAY)
	record Heartbeat(boolean leaving, long configVersion, long viewAgeMillis, int withdrawnCount,
			List<CapacityDigest> digests) implements PeerMessage {
	}

	/**
	 * Free capacity of a service at one owner of endpoints.
	 *
	 * @param service the service
	 * @param freeInteractive credits available to interactive requests
	 * @param freeRollout credits available to rollout samples
	 */
	@JsonFormat(shape = JsonFormat.Shape.ARRAY)
	record CapacityDigest(ServiceId service, int freeInteractive, int freeRollout) {
	}

	/**
	 * Requests the configuration with the highest version; answered by
	 * {@link ConfigBody}.
	 *
	 * @param heldVersion the version that the sender holds; 0 if none
	 */
	@JsonFormat(shape = JsonFormat.Shape.ARRAY)
	record ConfigFetch(long heldVersion) implements PeerMessage {
	}

	/**
	 * Response to a {@link ConfigFetch}.
	 *
	 * @param version the version; 0 if the requesting host has the newest one
	 * @param body the JSON of the configuration; empty if the requesting host has the
	 * newest one
	 * @param viewAgeMillis age of the sender's configuration view, in milliseconds; -1 if
	 * unknown
	 */
	@JsonFormat(shape = JsonFormat.Shape.ARRAY)
	record ConfigBody(long version, byte[] body, long viewAgeMillis) implements PeerMessage {
	}

	/**
	 * Distributes a configuration that the sender read from the store; answered by
	 * {@link Ack}.
	 *
	 * @param version the version of the head object
	 * @param body the JSON of the configuration; empty if the receiver is known to hold
	 * the version
	 * @param ageMillis time since the store was read, in milliseconds
	 */
	@JsonFormat(shape = JsonFormat.Shape.ARRAY)
	record ConfigOffer(long version, byte[] body, long ageMillis) implements PeerMessage {
	}

	/**
	 * Hashes of withdrawn keys; answered by a {@code Withdraw} with all hashes that the
	 * receiver knows. Used with releases that do not support {@link WithdrawnDelta}.
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
	 * @param sequence sequence number, which increases with each set that a control
	 * process sends
	 * @param endpoints the endpoints that are live or leaving
	 * @param weightHeads the newest version of each line of weights
	 */
	@JsonFormat(shape = JsonFormat.Shape.ARRAY)
	record EndpointSet(FailureDomain domain, long sequence, List<EndpointInfo> endpoints,
			List<WeightVersion> weightHeads) implements PeerMessage {

		/**
		 * Returns a hash of the endpoints and weight versions, in their order. Domain and
		 * sequence number are not included. All processes compute the same hash.
		 * @return the first eight bytes of a SHA-256
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
	 * Announces that the endpoints of a failure domain are unchanged. Answered by
	 * {@link Ack} if the receiver holds the set with this hash, otherwise by
	 * {@link Rejected} with the code {@link #NEED_SET}, upon which the sender sends the
	 * {@link EndpointSet}.
	 *
	 * @param domain the failure domain
	 * @param sequence sequence number as in {@link EndpointSet}
	 * @param contentHash {@link EndpointSet#contentHash()} of the set
	 */
	@JsonFormat(shape = JsonFormat.Shape.ARRAY)
	record EndpointSetOffer(FailureDomain domain, long sequence, long contentHash) implements PeerMessage {

		/** Rejection code of a receiver that does not hold the set. */
		public static final String NEED_SET = "need-set";

	}

	/**
	 * An endpoint.
	 *
	 * @param endpoint the name
	 * @param address {@code ip:port}
	 * @param domain the failure domain
	 * @param service the service
	 * @param cheap whether it runs on preemptible capacity and can be evicted at any time
	 * @param leaving whether it must not receive new requests
	 */
	@JsonFormat(shape = JsonFormat.Shape.ARRAY)
	record EndpointInfo(EndpointId endpoint, String address, FailureDomain domain, ServiceId service, boolean cheap,
			boolean leaving) {
	}

	/**
	 * Requests a credit from the owner of endpoints; answered by {@link CreditGrant} or
	 * {@link CreditRefusal}.
	 *
	 * @param service the service
	 * @param interactive whether the request is interactive
	 * @param repeatable whether the request may be resumed or repeated, so that a
	 * preemptible endpoint can serve it
	 * @param prefixHash hash of the prompt prefix, salted by workspace; 0 if none
	 * @param expectedTokens expected cost, in tokens
	 * @param line the line of weights; null if none
	 * @param excluded endpoints at which this request failed before
	 */
	@JsonFormat(shape = JsonFormat.Shape.ARRAY)
	record CreditRequest(ServiceId service, boolean interactive, boolean repeatable, long prefixHash,
			long expectedTokens, @Nullable LineId line, List<EndpointId> excluded) implements PeerMessage {
	}

	/**
	 * Grants a credit, which permits one request to one endpoint.
	 *
	 * @param credit identifier of the credit, unique at its owner
	 * @param endpoint the endpoint
	 * @param address {@code ip:port} of the endpoint
	 * @param lifetimeMillis time until the credit expires unless it is renewed, in
	 * milliseconds
	 */
	@JsonFormat(shape = JsonFormat.Shape.ARRAY)
	record CreditGrant(long credit, EndpointId endpoint, String address, long lifetimeMillis) implements PeerMessage {
	}

	/**
	 * Refuses a credit.
	 *
	 * @param reason stable code, such as {@code no-endpoint}
	 * @param retryAfterMillis time after which to retry, in milliseconds
	 */
	@JsonFormat(shape = JsonFormat.Shape.ARRAY)
	record CreditRefusal(String reason, long retryAfterMillis) implements PeerMessage {
	}

	/**
	 * Returns credits; answered by {@link Ack}.
	 *
	 * @param credits the credits with their outcomes
	 */
	@JsonFormat(shape = JsonFormat.Shape.ARRAY)
	record CreditReturn(List<ReturnedCredit> credits) implements PeerMessage {
	}

	/**
	 * A returned credit.
	 *
	 * @param credit the credit
	 * @param outcome {@code ok}, {@code failed}, {@code refused} or {@code unused}
	 * @param firstByteMillis time to the first byte of the response, in milliseconds
	 * @param totalMillis time to its last byte, in milliseconds
	 * @param tokens number of tokens served
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
	 * Response to a {@link CreditRenew}: the credits that the owner does not know. Their
	 * holder then sends a {@link CreditAdopt}.
	 *
	 * @param credits the credits
	 */
	@JsonFormat(shape = JsonFormat.Shape.ARRAY)
	record CreditsUnknown(List<Long> credits) implements PeerMessage {
	}

	/**
	 * Registers running requests with the new owner of their endpoints; answered by
	 * {@link CreditsAdopted}.
	 *
	 * @param endpoints the endpoint of each running request
	 */
	@JsonFormat(shape = JsonFormat.Shape.ARRAY)
	record CreditAdopt(List<EndpointId> endpoints) implements PeerMessage {
	}

	/**
	 * New credits for running requests, in the order of the endpoints in the
	 * {@link CreditAdopt}.
	 *
	 * @param credits the credits
	 */
	@JsonFormat(shape = JsonFormat.Shape.ARRAY)
	record CreditsAdopted(List<Long> credits) implements PeerMessage {
	}

	/**
	 * Replicates a finished sample to a second host; answered by {@link Ack}.
	 *
	 * @param sample identifier of the sample
	 * @param body the JSON of the sample
	 */
	@JsonFormat(shape = JsonFormat.Shape.ARRAY)
	record SamplePut(String sample, byte[] body) implements PeerMessage {
	}

	/**
	 * Requests a sample; answered by {@link SampleBody}.
	 *
	 * @param sample identifier of the sample
	 */
	@JsonFormat(shape = JsonFormat.Shape.ARRAY)
	record SampleGet(String sample) implements PeerMessage {
	}

	/**
	 * Response to a {@link SampleGet}.
	 *
	 * @param body the JSON of the sample; empty if the sender does not hold it
	 */
	@JsonFormat(shape = JsonFormat.Shape.ARRAY)
	record SampleBody(byte[] body) implements PeerMessage {
	}

	/**
	 * Deletes samples whose batch was acknowledged; answered by {@link Ack}.
	 *
	 * @param samples identifiers of the samples
	 */
	@JsonFormat(shape = JsonFormat.Shape.ARRAY)
	record SampleDelete(List<String> samples) implements PeerMessage {
	}

	/**
	 * Requests usage counters; answered by {@link UsageCounters}.
	 *
	 * @param window start of the usage window that the requesting host aggregates, in
	 * milliseconds since the epoch
	 */
	@JsonFormat(shape = JsonFormat.Shape.ARRAY)
	record UsagePull(long window) implements PeerMessage {
	}

	/**
	 * Usage counters since the start of a process.
	 *
	 * @param incarnation the incarnation to which the counters belong
	 * @param leaving whether these are the final counters of the incarnation
	 * @param counts the counters
	 */
	@JsonFormat(shape = JsonFormat.Shape.ARRAY)
	record UsageCounters(String incarnation, boolean leaving, List<UsageCount> counts) implements PeerMessage {
	}

	/**
	 * Usage counters of one workspace at one service.
	 *
	 * @param workspace the workspace
	 * @param service the service
	 * @param requests number of complete responses
	 * @param tokens number of tokens in complete responses and delivered samples
	 */
	@JsonFormat(shape = JsonFormat.Shape.ARRAY)
	record UsageCount(WorkspaceId workspace, ServiceId service, long requests, long tokens) {
	}

	/**
	 * Acknowledges that a request was executed.
	 *
	 * @param ok always true, because the array of a message must not be empty
	 */
	@JsonFormat(shape = JsonFormat.Shape.ARRAY)
	record Ack(boolean ok) implements PeerMessage {
	}

	/**
	 * Reports that a request was not executed.
	 *
	 * @param code stable code of the failure
	 * @param detail human-readable description
	 */
	@JsonFormat(shape = JsonFormat.Shape.ARRAY)
	record Rejected(String code, String detail) implements PeerMessage {
	}

	/**
	 * Requests a batch from the host that runs a step. Answered by {@link Ack}, and later
	 * by a {@link BatchResponse} that the receiver sends to the requesting host, because
	 * looking up the batch can involve calls to the object store.
	 *
	 * @param requestId unique identifier of the request
	 * @param requestingHost the requesting host
	 * @param body the JSON of the request
	 */
	@JsonFormat(shape = JsonFormat.Shape.ARRAY)
	record BatchRequest(String requestId, HostId requestingHost, byte[] body) implements PeerMessage {
	}

	/**
	 * Result of a {@link BatchRequest}; answered by {@link Ack}.
	 *
	 * @param requestId identifier of the request
	 * @param status status code of the response; 0 if the sender does not run the step
	 * @param body the JSON of the response; empty if it has no body
	 */
	@JsonFormat(shape = JsonFormat.Shape.ARRAY)
	record BatchResponse(String requestId, int status, byte[] body) implements PeerMessage {
	}

	/**
	 * Compares two sets of withdrawn key hashes and transfers the differences; answered
	 * by a {@code WithdrawnDelta} of the receiver. Hashes are numbered in the order in
	 * which an incarnation of a process learned them.
	 *
	 * @param count the number of hashes that the sender knows
	 * @param hash hash of its set, independent of the order
	 * @param after number of the receiver's last hash that the sender holds; -1 if it
	 * requests the digest only, and in responses
	 * @param keys hashes that the receiver may not know
	 */
	@JsonFormat(shape = JsonFormat.Shape.ARRAY)
	record WithdrawnDelta(int count, long hash, int after, List<KeyHash> keys) implements PeerMessage {
	}

	/**
	 * Status of a host that discovers its peers through the platform's store; one-way.
	 *
	 * @param leaving whether the sender is shutting down
	 * @param holdsDuties whether the sender holds the duties lease
	 * @param leaseVersion version of the duties lease that it wrote last; 0 if it does
	 * not hold the lease
	 * @param reachesStore whether the sender can reach the platform's store directly
	 * @param demand number of running and waiting items at the sender, by service
	 * @param loading the endpoints that are loading weights on its order
	 * @param assigned the model whose versions each endpoint loads on its order, by
	 * endpoint
	 * @param running number of requests that it runs, by endpoint
	 * @param leavingEndpoints start time, in milliseconds since the epoch, of each
	 * endpoint that recently announced to the sender that it is leaving
	 * @param usage number of requests that started to run, by window, incarnation and
	 * workspace, for the newest windows
	 * @param trainers the items that wait or run at the sender, by trainer; empty if it
	 * is a release without this field
	 * @param work work of the items at the sender that is due within each of the coming
	 * seconds, in milliseconds of one slot, by service; only for services with spot
	 * endpoints, and empty in messages of earlier releases
	 */
	@JsonFormat(shape = JsonFormat.Shape.ARRAY)
	record HostStatus(boolean leaving, boolean holdsDuties, long leaseVersion, boolean reachesStore,
			Map<String, Integer> demand, List<String> loading, Map<String, String> assigned,
			Map<String, Integer> running, Map<String, Long> leavingEndpoints,
			Map<Long, Map<String, Map<String, Long>>> usage, List<TrainerLoad> trainers,
			Map<String, List<Long>> work) implements PeerMessage {

		public HostStatus {
			trainers = (trainers != null) ? List.copyOf(trainers) : List.of();
			work = (work != null) ? work : Map.of();
		}

		/**
		 * Returns a copy without usage, for hosts that do not aggregate usage.
		 * @return the status without usage
		 */
		public HostStatus withoutUsage() {
			return new HostStatus(this.leaving, this.holdsDuties, this.leaseVersion, this.reachesStore, this.demand,
					this.loading, this.assigned, this.running, this.leavingEndpoints, Map.of(), this.trainers,
					this.work);
		}
	}

	/**
	 * The items of one trainer at a host.
	 *
	 * @param service the service that runs the items
	 * @param workspace the workspace of the trainer; empty for none
	 * @param model the model of the items; empty for none
	 * @param waiting the number of items that wait for a slot
	 * @param running the number of items that run
	 * @param dueInMillis the time until the first waiting items are due that can still be
	 * in time, in milliseconds; -1 if there are none
	 */
	@JsonFormat(shape = JsonFormat.Shape.ARRAY)
	record TrainerLoad(String service, String workspace, String model, int waiting, int running, long dueInMillis) {

		public TrainerLoad {
			if (waiting < 0 || running < 0) {
				throw new IllegalArgumentException(
						"waiting and running must not be negative: " + waiting + ", " + running);
			}
		}

	}

	/**
	 * Forwards the statuses that a host received from others; one-way.
	 *
	 * @param statuses the newest status of each host from which one was received recently
	 */
	@JsonFormat(shape = JsonFormat.Shape.ARRAY)
	record StatusDigest(List<RelayedStatus> statuses) implements PeerMessage {
	}

	/**
	 * A relayed status of another host.
	 *
	 * @param host the host that the status describes
	 * @param ageMillis time since the status was received, in milliseconds
	 * @param status the status, without usage
	 */
	@JsonFormat(shape = JsonFormat.Shape.ARRAY)
	record RelayedStatus(String host, long ageMillis, HostStatus status) {
	}

	/**
	 * Requests results from the host that runs a submission; answered by
	 * {@link ResultsResponse}.
	 *
	 * @param submission the submission
	 * @param after the position of the first result
	 * @param maxBytes maximum size of the results in the response, in bytes
	 */
	@JsonFormat(shape = JsonFormat.Shape.ARRAY)
	record ResultsRequest(String submission, int after, int maxBytes) implements PeerMessage {
	}

	/**
	 * Requests that a host executes one call to the platform's store on behalf of the
	 * sender, which cannot reach the store; answered by {@link StoreResponse}. The call
	 * takes as long as the store does, so it runs on a thread of its own and not on the
	 * thread that reads the link.
	 *
	 * @param operation name of the operation
	 * @param key key of the object, or kind of the objects
	 * @param argument name after which a list continues
	 * @param number expected version of the object, or revision from which to watch
	 * @param waitMillis maximum time to wait for changes in a watch, in milliseconds
	 * @param body the value
	 */
	@JsonFormat(shape = JsonFormat.Shape.ARRAY)
	record StoreRequest(String operation, String key, String argument, long number, long waitMillis,
			byte[] body) implements PeerMessage {
	}

	/**
	 * Result of a {@link StoreRequest}.
	 *
	 * @param failure code of the failure; empty if the call succeeded
	 * @param detail human-readable description of the failure
	 * @param number the version or revision
	 * @param more whether a list is incomplete
	 * @param objects the objects
	 */
	@JsonFormat(shape = JsonFormat.Shape.ARRAY)
	record StoreResponse(String failure, String detail, long number, boolean more,
			List<RelayedObject> objects) implements PeerMessage {
	}

	/**
	 * An object of the platform's store.
	 *
	 * @param key the key
	 * @param version the version
	 * @param body the value
	 * @param removed whether it was deleted
	 */
	@JsonFormat(shape = JsonFormat.Shape.ARRAY)
	record RelayedObject(String key, long version, byte[] body, boolean removed) {
	}

	/**
	 * Replicates generated texts to the host that would take over a submission; answered
	 * by {@link Ack}.
	 *
	 * @param submission the submission
	 * @param body the JSON of the text parts
	 */
	@JsonFormat(shape = JsonFormat.Shape.ARRAY)
	record TextCopy(String submission, byte[] body) implements PeerMessage {
	}

	/**
	 * Requests the replicated texts of a submission; answered by a {@link TextCopy}.
	 *
	 * @param submission the submission
	 */
	@JsonFormat(shape = JsonFormat.Shape.ARRAY)
	record TextFetch(String submission) implements PeerMessage {
	}

	/**
	 * Forwards changes of the platform's store from a host that watches it; one-way.
	 *
	 * @param kind the kind of objects
	 * @param from the revision after which the changes begin
	 * @param to the revision up to which the changes are complete
	 * @param changes the changes, oldest first; may be empty
	 */
	@JsonFormat(shape = JsonFormat.Shape.ARRAY)
	record ObjectChanges(String kind, long from, long to, List<RelayedObject> changes) implements PeerMessage {
	}

	/**
	 * Response to a {@link ResultsRequest}.
	 *
	 * @param known whether the sender runs the submission
	 * @param body the JSON of the results, in order of their positions
	 */
	@JsonFormat(shape = JsonFormat.Shape.ARRAY)
	record ResultsResponse(boolean known, byte[] body) implements PeerMessage {
	}

	/**
	 * Reports that an endpoint started or ended loading weights on the sender's order;
	 * one-way. The platform's store reports the same seconds later.
	 *
	 * @param endpoint the endpoint
	 * @param model the model
	 * @param version the version that the endpoint holds; 0 if it is not known
	 * @param inProgress whether the endpoint is loading
	 */
	@JsonFormat(shape = JsonFormat.Shape.ARRAY)
	record WeightLoad(String endpoint, String model, long version, boolean inProgress) implements PeerMessage {
	}

	/**
	 * Reports that an endpoint named the request rate that it takes; one-way. That the
	 * rate ended each host learns from its own requests.
	 *
	 * @param endpoint the endpoint
	 * @param startedAtMillis its start time, in milliseconds since the epoch
	 * @param requestsPerSecond the rate for all hosts together
	 */
	@JsonFormat(shape = JsonFormat.Shape.ARRAY)
	record RateNamed(String endpoint, long startedAtMillis, double requestsPerSecond) implements PeerMessage {
	}

	/**
	 * Requests a slot for one request to an endpoint that named its rate; answered by
	 * {@link RateSlot}.
	 *
	 * @param endpoint the endpoint
	 * @param startedAtMillis its start time, in milliseconds since the epoch
	 * @param requestsPerSecond the rate for all hosts together, as known to the sender
	 * @param interactive whether a caller waits for the response
	 * @param maxWaitMillis the time that the request can wait for the slot, in
	 * milliseconds
	 */
	@JsonFormat(shape = JsonFormat.Shape.ARRAY)
	record RateSlotRequest(String endpoint, long startedAtMillis, double requestsPerSecond, boolean interactive,
			long maxWaitMillis) implements PeerMessage {
	}

	/**
	 * Response to a {@link RateSlotRequest}.
	 *
	 * @param granted whether the request may be sent
	 * @param delayMillis if granted, the time after which to send it; otherwise the time
	 * after which a request like this one could be sent, in milliseconds
	 */
	@JsonFormat(shape = JsonFormat.Shape.ARRAY)
	record RateSlot(boolean granted, long delayMillis) implements PeerMessage {
	}

	/**
	 * Reports that an endpoint crashed while it had a request of a caller; one-way.
	 *
	 * @param fingerprint the fingerprint that repetitions of the request share
	 * @param endpoint the endpoint
	 * @param startedAtMillis its start time, in milliseconds since the epoch
	 * @param ageMillis the time since it crashed, in milliseconds
	 */
	@JsonFormat(shape = JsonFormat.Shape.ARRAY)
	record EndpointCrash(String fingerprint, String endpoint, long startedAtMillis,
			long ageMillis) implements PeerMessage {
	}

	/**
	 * Reports that a request under which endpoints had crashed got a complete response;
	 * one-way.
	 *
	 * @param fingerprint the fingerprint that repetitions of the request share
	 */
	@JsonFormat(shape = JsonFormat.Shape.ARRAY)
	record RequestServed(String fingerprint) implements PeerMessage {
	}

}
