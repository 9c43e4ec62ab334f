package org.bamboorelay.entry.process;

import java.util.concurrent.atomic.AtomicBoolean;

import org.bamboorelay.core.request.AdmissionQueue;
import org.bamboorelay.core.version.EndpointId;
import org.bamboorelay.core.version.HostId;
import org.bamboorelay.entry.request.Credit;

/**
 * A credit that is held by a running request of this host. Its id and owner change when
 * the endpoint gets a new owner; both are guarded by the lock of the shard.
 * <p>
 * Thread-safe.
 */
final class HeldCredit implements Credit {

	private final CreditShard shard;

	private final EndpointId endpoint;

	private final String address;

	private final AdmissionQueue.Ticket ticket;

	private final long acquiredAtMillis;

	private final AtomicBoolean ended = new AtomicBoolean();

	private HostId owner;

	private long id;

	HeldCredit(CreditShard shard, EndpointId endpoint, String address, AdmissionQueue.Ticket ticket,
			long acquiredAtMillis, HostId owner, long id) {
		this.shard = shard;
		this.endpoint = endpoint;
		this.address = address;
		this.ticket = ticket;
		this.acquiredAtMillis = acquiredAtMillis;
		this.owner = owner;
		this.id = id;
	}

	@Override
	public EndpointId endpoint() {
		return this.endpoint;
	}

	@Override
	public String address() {
		return this.address;
	}

	@Override
	public void end(Outcome outcome, long firstByteMillis, long tokens) {
		if (this.ended.compareAndSet(false, true)) {
			this.shard.ended(this, outcome, firstByteMillis, tokens);
		}
	}

	AdmissionQueue.Ticket ticket() {
		return this.ticket;
	}

	long acquiredAtMillis() {
		return this.acquiredAtMillis;
	}

	HostId owner() {
		return this.owner;
	}

	long id() {
		return this.id;
	}

	void transferTo(HostId newOwner, long newId) {
		this.owner = newOwner;
		this.id = newId;
	}

}
