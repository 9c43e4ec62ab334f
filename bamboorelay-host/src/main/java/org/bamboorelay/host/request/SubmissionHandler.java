package org.bamboorelay.host.request;

import java.io.IOException;
import java.util.List;
import java.util.Objects;
import java.util.concurrent.TimeUnit;

import io.vavr.control.Either;
import io.vavr.control.Option;
import org.apache.hc.core5.http.ClassicHttpResponse;
import org.apache.hc.core5.http.ContentType;
import org.apache.hc.core5.http.HttpException;
import org.apache.hc.core5.http.io.entity.ByteArrayEntity;
import org.apache.hc.core5.http.message.BasicClassicHttpResponse;
import org.bamboorelay.core.request.ItemResult;
import org.bamboorelay.core.request.Submission;
import org.bamboorelay.core.request.SubmissionItem;
import org.bamboorelay.core.store.StoreFailure;
import org.bamboorelay.core.store.WatchableStore;
import org.bamboorelay.core.version.RouteRule;
import org.bamboorelay.host.connection.CallerProtocol;
import org.bamboorelay.host.connection.CallerRequest;
import org.bamboorelay.host.connection.SubmissionCall;
import org.bamboorelay.host.connection.SubmissionFailure;
import org.bamboorelay.host.process.EventLog;
import org.bamboorelay.host.version.SubmissionRecord;
import org.bamboorelay.host.version.SubmissionStore;
import org.bamboorelay.runtime.connection.HttpListener;

/**
 * Accepts submissions, and handles the calls that read, query or end them.
 * <p>
 * Thread-safe.
 */
public final class SubmissionHandler {

	private static final int STATUS_ACCEPTED = 202;

	private static final int STATUS_BAD_REQUEST = 400;

	private static final int STATUS_NOT_FOUND = 404;

	private static final int STATUS_OK = 200;

	/**
	 * Status if the submission may have been accepted, so that the caller sends it again.
	 */
	private static final int STATUS_OUTCOME_UNKNOWN = 504;

	/** Retry delay reported while the store is unavailable, in milliseconds. */
	private static final long RETRY_AFTER_MILLIS = 400;

	/** Maximum time to accept a submission, in milliseconds. */
	private static final long ACCEPT_TIMEOUT_MILLIS = 2_000;

	/**
	 * Upper limit for the wait for results that a caller may request, in milliseconds.
	 */
	private static final long MAX_RESULT_WAIT_MILLIS = 1_000;

	private final String host;

	private final CallerProtocol protocol;

	private final SubmissionStore store;

	private final SubmissionDirectory directory;

	private final SubmissionRunner runner;

	private final EventLog log;

	/**
	 * Creates the handler.
	 * @param host the name of this host
	 * @param protocol decodes submissions and encodes results
	 * @param store the submissions in the platform's store
	 * @param directory the view of all submissions
	 * @param runner runs the submissions of this host
	 * @param log the log of the process
	 */
	public SubmissionHandler(String host, CallerProtocol protocol, SubmissionStore store, SubmissionDirectory directory,
			SubmissionRunner runner, EventLog log) {
		this.host = Objects.requireNonNull(host, "host");
		this.protocol = Objects.requireNonNull(protocol, "protocol");
		this.store = Objects.requireNonNull(store, "store");
		this.directory = Objects.requireNonNull(directory, "directory");
		this.runner = Objects.requireNonNull(runner, "runner");
		this.log = Objects.requireNonNull(log, "log");
	}

	/**
	 * Accepts a submission.
	 * @param head the head of the request
	 * @param workspace the workspace of the caller
	 * @param route the route
	 * @param body the body of the request
	 * @param responder the responder of the request
	 * @throws HttpException if the response violates the HTTP protocol
	 * @throws IOException if the connection breaks
	 */
	public void accept(CallerRequest head, String workspace, RouteRule route, byte[] body,
			HttpListener.Responder responder) throws HttpException, IOException {
		Either<SubmissionFailure, Submission> read = this.protocol.decodeSubmission(head, workspace, body,
				WatchableStore.MAX_VALUE_BYTES);
		if (read.isLeft()) {
			SubmissionFailure failure = read.getLeft();
			this.log.info("submission-rejected", "request_id", head.id(), "code", failure.code(), "bytes", body.length,
					"detail", failure.detail());
			if (failure instanceof SubmissionFailure.TooLarge) {
				responder.send(CallerRequestHandler.refusal(failure.code(), RETRY_AFTER_MILLIS));
			}
			else {
				responder.send(STATUS_BAD_REQUEST, "text/plain", failure.code());
			}
			return;
		}
		Submission submission = read.get();
		long startMillis = TimeUnit.NANOSECONDS.toMillis(System.nanoTime());
		long deadlineMillis = startMillis + Math.min(ACCEPT_TIMEOUT_MILLIS, head.remainingMillis() / 2);
		SubmissionRecord record = new SubmissionRecord(workspace, this.directory.ownerFor(submission),
				System.currentTimeMillis(), submission.items().size(), head.host(), head.path(),
				(submission.model() != null) ? submission.model() : "", false);
		Either<StoreFailure, SubmissionRecord> accepted = this.store.accept(submission, record, deadlineMillis);
		if (accepted.isRight()) {
			if (accepted.get().equals(record) && record.owner().equals(this.host)) {
				this.runner.start(submission, record, route);
			}
			this.log.info("submission-accepted", "request_id", head.id(), "items", record.total(), "owner",
					accepted.get().owner(), "after_ms", TimeUnit.NANOSECONDS.toMillis(System.nanoTime()) - startMillis);
			responder.send(STATUS_ACCEPTED, "text/plain", "");
			return;
		}
		StoreFailure failure = accepted.getLeft();
		this.log.warn("submission-not-accepted", "request_id", head.id(), "code", failure.code(), "detail",
				failure.detail());
		if (failure instanceof StoreFailure.OutcomeUnknown) {
			responder.send(STATUS_OUTCOME_UNKNOWN, "text/plain", failure.code());
		}
		else {
			responder.send(CallerRequestHandler.refusal(failure.code(), RETRY_AFTER_MILLIS));
		}
	}

	/**
	 * Handles a call on a submission.
	 * @param call the call
	 * @param head the head of the request
	 * @param workspace the workspace of the caller
	 * @param responder the responder of the request
	 * @throws HttpException if the response violates the HTTP protocol
	 * @throws IOException if the connection breaks
	 */
	public void handleCall(SubmissionCall call, CallerRequest head, String workspace, HttpListener.Responder responder)
			throws HttpException, IOException {
		Either<StoreFailure, Option<SubmissionRecord>> found = this.directory.find(call.submission());
		if (found.isLeft()) {
			sendUnavailable(head, call, found.getLeft(), responder);
			return;
		}
		Option<SubmissionRecord> record = found.get().filter((known) -> known.workspace().equals(workspace));
		if (record.isEmpty()) {
			this.log.info("submission-unknown", "request_id", head.id(), "submission", call.submission(), "known",
					found.get().isDefined());
			responder.send(STATUS_NOT_FOUND, "text/plain", "no-submission");
			return;
		}
		if (call.kind() == SubmissionCall.Kind.RESULTS) {
			sendResults(call, head, record.get(), responder);
		}
		else if (call.kind() == SubmissionCall.Kind.ITEM_BODY) {
			sendItemBody(call, head, responder);
		}
		else {
			endSubmission(call, head, responder);
		}
	}

	private void sendResults(SubmissionCall call, CallerRequest head, SubmissionRecord record,
			HttpListener.Responder responder) throws HttpException, IOException {
		try {
			Either<StoreFailure, List<ItemResult>> read = this.directory.read(call.submission(), record, call.after(),
					Math.min(MAX_RESULT_WAIT_MILLIS, head.waitMillis()));
			if (read.isLeft()) {
				sendUnavailable(head, call, read.getLeft(), responder);
				return;
			}
			this.log.info("results-read", "request_id", head.id(), "submission", call.submission(), "after",
					call.after(), "count", read.get().size(), "total", record.total(), "ended", record.ended());
			byte[] body = this.protocol.encodeResults(record.total(), call.after() + read.get().size(), read.get());
			send(responder, body, ContentType.APPLICATION_JSON);
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
			throw new IOException("interrupted while waiting for results", ex);
		}
	}

	private void sendItemBody(SubmissionCall call, CallerRequest head, HttpListener.Responder responder)
			throws HttpException, IOException {
		Option<SubmissionItem> item = this.runner.item(call.submission(), call.item());
		if (item.isEmpty()) {
			Either<StoreFailure, Option<Submission>> read = this.store.submission(call.submission());
			if (read.isLeft()) {
				sendUnavailable(head, call, read.getLeft(), responder);
				return;
			}
			item = read.get()
				.flatMap((submission) -> Option.ofOptional(submission.items()
					.stream()
					.filter((candidate) -> candidate.id().equals(call.item()))
					.findFirst()));
		}
		if (item.isEmpty()) {
			responder.send(STATUS_NOT_FOUND, "text/plain", "no-item");
			return;
		}
		send(responder, item.get().body(), ContentType.APPLICATION_OCTET_STREAM);
	}

	private void endSubmission(SubmissionCall call, CallerRequest head, HttpListener.Responder responder)
			throws HttpException, IOException {
		Either<StoreFailure, SubmissionRecord> ended = this.directory.end(call.submission());
		if (ended.isLeft()) {
			sendUnavailable(head, call, ended.getLeft(), responder);
			return;
		}
		this.log.info("submission-ended", "request_id", head.id(), "submission", call.submission());
		responder.send(STATUS_OK, "text/plain", "");
	}

	private void sendUnavailable(CallerRequest head, SubmissionCall call, StoreFailure failure,
			HttpListener.Responder responder) throws HttpException, IOException {
		this.log.info("submission-call-refused", "request_id", head.id(), "submission", call.submission(), "kind",
				call.kind(), "code", failure.code(), "detail", failure.detail());
		responder.send(CallerRequestHandler.refusal(failure.code(), RETRY_AFTER_MILLIS));
	}

	private static void send(HttpListener.Responder responder, byte[] body, ContentType type)
			throws HttpException, IOException {
		ClassicHttpResponse response = new BasicClassicHttpResponse(STATUS_OK);
		response.setEntity(new ByteArrayEntity(body, type));
		responder.send(response);
	}

}
