package org.bamboorelay.entry.request;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.RejectedExecutionException;
import java.util.function.BooleanSupplier;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import java.util.stream.Stream;

import io.vavr.control.Either;
import io.vavr.control.Option;
import org.apache.hc.core5.http.ContentType;
import org.apache.hc.core5.http.HttpException;
import org.apache.hc.core5.http.HttpHeaders;
import org.apache.hc.core5.http.io.entity.ByteArrayEntity;
import org.apache.hc.core5.http.message.BasicClassicHttpResponse;
import org.bamboorelay.core.failure.Refusal;
import org.bamboorelay.core.failure.RefusalReason;
import org.bamboorelay.core.request.BatchRecord;
import org.bamboorelay.core.request.DeliveryState;
import org.bamboorelay.core.store.ObjectStore;
import org.bamboorelay.core.store.StoreFailure;
import org.bamboorelay.core.store.StoredObject;
import org.bamboorelay.core.version.Configuration;
import org.bamboorelay.core.version.Inventory.ServiceKind;
import org.bamboorelay.core.version.Inventory.WorkspaceEntry;
import org.bamboorelay.core.version.LineId;
import org.bamboorelay.core.version.ServiceId;
import org.bamboorelay.core.version.TrainerId;
import org.bamboorelay.core.version.WeightVersion;
import org.bamboorelay.core.version.WorkspaceId;
import org.bamboorelay.runtime.connection.HttpListener.Responder;
import org.bamboorelay.runtime.connection.PeerFailure;
import org.bamboorelay.runtime.request.Json;
import org.bamboorelay.runtime.request.JsonFailure;
import org.jspecify.annotations.Nullable;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Serves the trainer API: announcements of new weight versions, submission of steps, and
 * fetches of sample batches.
 * <p>
 * Thread-safe.
 */
public final class RolloutRoutes implements CallerRoute {

	/** Interval of {@link #tick()}, in milliseconds. */
	public static final long TICK_INTERVAL_MILLIS = 500;

	private static final Logger LOG = LoggerFactory.getLogger(RolloutRoutes.class);

	private static final Pattern PATH = Pattern
		.compile("/v1/trainers/([^/]+)/(?:(weights)|steps/(\\d{1,18})(?:/batches/(\\d{1,9}))?)");

	private static final int WEIGHTS_GROUP = 2;

	private static final int STEP_GROUP = 3;

	private static final int SEQ_GROUP = 4;

	/** Owners of a step that one fetch tries before it tells the caller to retry. */
	private static final int MAX_OWNERS_PER_FETCH = 4;

	/** Ticks between two reads of the object API for a new owner or new weights. */
	private static final int TICKS_PER_CHECK = 10;

	/** Number of lock stripes that serialize takeovers of the same step on this host. */
	private static final int TAKEOVER_LOCKS = 64;

	/**
	 * Age from which stored samples may be evicted, in milliseconds. Samples of failed
	 * hosts are never deleted explicitly.
	 */
	private static final long MAX_SAMPLE_AGE_MILLIS = 30 * 60 * 1_000;

	private final RolloutDependencies dependencies;

	private final ProblemResponder problems;

	private final ConditionalWriter writer;

	private final SampleReplicator replicator;

	private final BatchExchange exchange;

	private final Map<StepKey, StepRunner> runners = new ConcurrentHashMap<>();

	private final Object[] takeoverLocks = Stream.generate(Object::new).limit(TAKEOVER_LOCKS).toArray();

	private int ticks;

	private RolloutRoutes(RolloutDependencies dependencies, ProblemResponder problems) {
		this.dependencies = dependencies;
		this.problems = problems;
		this.writer = new ConditionalWriter(dependencies.store(), dependencies.counters());
		SampleStore samples = SampleStore.of(dependencies.limits().maxSampleBytes(), MAX_SAMPLE_AGE_MILLIS,
				dependencies.clock());
		this.replicator = new SampleReplicator(dependencies.mesh(), samples);
		this.exchange = new BatchExchange(dependencies.mesh(), dependencies.executors().shortTasks(),
				this::fetchLocally);
		dependencies.counters().gauge("sample_store_bytes", samples::totalBytes);
		dependencies.counters().gauge("running_steps", this.runners::size);
	}

	/**
	 * Creates the routes and registers the handlers for messages of other hosts.
	 * @param dependencies the dependencies of the routes
	 * @param problems sends refusals as problem details
	 * @return the routes
	 */
	public static RolloutRoutes of(RolloutDependencies dependencies, ProblemResponder problems) {
		return new RolloutRoutes(Objects.requireNonNull(dependencies, "parts"),
				Objects.requireNonNull(problems, "problems"));
	}

	@Override
	public boolean accepts(String method, String path) {
		Matcher matcher = PATH.matcher(path);
		return matcher.matches() && method.equals((matcher.group(SEQ_GROUP) != null) ? "GET" : "POST");
	}

	@Override
	public void serve(CallerRequest request, Responder responder) throws HttpException, IOException {
		Either<Refusal, Response> result = handle(request);
		if (result.isLeft()) {
			this.problems.send(responder, request.requestId(), result.getLeft());
			return;
		}
		BasicClassicHttpResponse response = new BasicClassicHttpResponse(result.get().status());
		if (result.get().retryAfterSeconds() > 0) {
			response.setHeader(HttpHeaders.RETRY_AFTER, Long.toString(result.get().retryAfterSeconds()));
		}
		byte[] body = result.get().body();
		if (body != null) {
			response.setEntity(new ByteArrayEntity(body, ContentType.APPLICATION_JSON));
		}
		responder.send(response);
	}

	/**
	 * Notifies the steps that run on this host of new weights, so that samples that
	 * exceed the staleness bound are cancelled before they finish.
	 * @param version the newest version of a weight line
	 */
	public void onNewWeights(WeightVersion version) {
		this.runners.forEach((key, runner) -> {
			if (key.trainer().value().equals(version.line().value())) {
				runner.onNewVersion(version.number());
			}
		});
	}

	/**
	 * Schedules {@link #tick()} every {@link #TICK_INTERVAL_MILLIS}.
	 */
	public void start() {
		this.dependencies.executors().timer().runAfter(() -> {
			try {
				tick();
			}
			finally {
				start();
			}
		}, TICK_INTERVAL_MILLIS);
	}

	/**
	 * Stops all steps of this host before it shuts down. The next host that receives a
	 * fetch for a step takes the step over.
	 */
	public void stopSteps() {
		this.runners.forEach((key, runner) -> {
			this.runners.remove(key, runner);
			runner.stop();
		});
	}

	/**
	 * Resumes stragglers, and stops steps whose key was withdrawn or that another host
	 * has takenOver over. Does not block.
	 */
	public synchronized void tick() {
		this.ticks++;
		this.runners.forEach((key, runner) -> {
			if (!runner.tick()) {
				this.runners.remove(key, runner);
			}
			else if (this.ticks % TICKS_PER_CHECK == 0 && !runner.isComplete()) {
				try {
					this.dependencies.executors().shortTasks().execute(() -> refreshStep(key, runner));
				}
				catch (RejectedExecutionException ex) {
					LOG.atWarn().addKeyValue("step", key.storeKey()).log("step-check-skipped");
				}
			}
		});
	}

	private void refreshStep(StepKey key, StepRunner runner) {
		readStep(key).forEach((found) -> found.forEach((step) -> {
			if (step.record().ownership() > runner.ownership()) {
				runner.stop();
				this.runners.remove(key, runner);
			}
		}));
		LatestWeightVersions.read(this.dependencies.store(), runner.record().request().service(), key.line())
			.forEach(runner::onNewVersion);
	}

	private Either<Refusal, Response> handle(CallerRequest request) {
		Matcher path = PATH.matcher(request.path());
		if (!path.matches()) {
			return refuse(RefusalReason.NO_SUCH_ROUTE, request.path() + " does not exist");
		}
		Option<Configuration> configuration = this.dependencies.configuration().current();
		if (configuration.isEmpty()) {
			return refuse(RefusalReason.NOT_READY, "the host has not loaded a configuration yet");
		}
		TrainerId trainer;
		try {
			trainer = TrainerId.of(path.group(1));
		}
		catch (IllegalArgumentException ex) {
			return refuse(RefusalReason.BAD_REQUEST, String.valueOf(ex.getMessage()));
		}
		WorkspaceId workspace = request.workspace();
		Optional<WorkspaceEntry> entry = (workspace != null) ? configuration.get().inventory().workspace(workspace)
				: Optional.empty();
		if (workspace == null || entry.isEmpty() || !entry.get().trainers().contains(trainer)) {
			return refuse(RefusalReason.FORBIDDEN_SERVICE, "the key's workspace does not own trainer " + trainer);
		}
		if (path.group(WEIGHTS_GROUP) != null) {
			return postWeights(request, configuration.get(), entry.get(), trainer);
		}
		StepKey key = new StepKey(trainer, Long.parseLong(path.group(STEP_GROUP)));
		if (path.group(SEQ_GROUP) == null) {
			return postStep(request, configuration.get(), entry.get(), key);
		}
		return fetch(request, workspace, key, Long.parseLong(path.group(SEQ_GROUP)));
	}

	private Either<Refusal, Response> postWeights(CallerRequest request, Configuration configuration,
			WorkspaceEntry workspace, TrainerId trainer) {
		Either<JsonFailure, WeightAnnouncement> body = Json.read(request.body(), WeightAnnouncement.class);
		if (body.isLeft()) {
			return refuse(RefusalReason.BAD_REQUEST, body.getLeft().detail());
		}
		Optional<Refusal> refusal = checkService(configuration, workspace, body.get().service());
		if (refusal.isPresent()) {
			return Either.left(refusal.get());
		}
		LineId line = LineId.of(trainer.value());
		long version = body.get().version();
		Either<StoreFailure, Long> head = LatestWeightVersions.raise(this.writer, body.get().service(), line, version,
				this.dependencies.tokens().get());
		if (head.isLeft()) {
			return storeFailed(head.getLeft());
		}
		onNewWeights(WeightVersion.of(line, head.get()));
		if (head.get() > version) {
			return refuse(RefusalReason.CONFLICT, "weight line " + line + " is at version " + head.get() + " already");
		}
		return Either.right(Response.of(BatchReply.OK,
				Json.bytes(Map.of("service", body.get().service(), "weights", WeightVersion.of(line, version)))));
	}

	private Either<Refusal, Response> postStep(CallerRequest request, Configuration configuration,
			WorkspaceEntry workspace, StepKey key) {
		Either<JsonFailure, StepRecord.Request> body = Json.read(request.body(), StepRecord.Request.class);
		if (body.isLeft()) {
			return refuse(RefusalReason.BAD_REQUEST, body.getLeft().detail());
		}
		Optional<Refusal> refusal = checkService(configuration, workspace, body.get().service());
		if (refusal.isPresent()) {
			return Either.left(refusal.get());
		}
		StepRecord ownRecord = new StepRecord(this.dependencies.tokens().get(), workspace.name(),
				this.dependencies.mesh().self(), 1, body.get());
		byte[] bytes = Json.bytes(ownRecord);
		if (bytes.length > ObjectStore.MAX_VALUE_BYTES) {
			return refuse(RefusalReason.BODY_TOO_LARGE,
					"a step record is limited to " + ObjectStore.MAX_VALUE_BYTES + " bytes; got " + bytes.length);
		}
		Either<StoreFailure, StoredObject> written = this.writer.create(key.storeKey(), bytes);
		if (written.isLeft()) {
			return storeFailed(written.getLeft());
		}
		StepRecord record = parse(written.get());
		if (!record.workspace().equals(workspace.name()) || !record.request().equals(body.get())) {
			return refuse(RefusalReason.CONFLICT,
					"step " + key.step() + " was already submitted with a different body");
		}
		if (record.token().equals(ownRecord.token())) {
			startRunner(key, record, request.stillAllowed(), List.of());
		}
		return Either.right(Response.of(BatchReply.ACCEPTED, Json
			.bytes(Map.of("trainer", key.trainer(), "step", key.step(), "samples", record.request().plan().size()))));
	}

	private Either<Refusal, Response> fetch(CallerRequest request, WorkspaceId workspace, StepKey key, long seq) {
		int max;
		long trainerVersion;
		String lostBefore = parameter(request.query(), "lost_before", "false");
		if (!lostBefore.equals("true") && !lostBefore.equals("false")) {
			return refuse(RefusalReason.BAD_REQUEST, "lost_before must be true or false, got \"" + lostBefore + "\"");
		}
		try {
			max = (int) Math.min(DeliveryState.MAX_BATCH_SAMPLES,
					Long.parseLong(parameter(request.query(), "max", "" + DeliveryState.MAX_BATCH_SAMPLES)));
			trainerVersion = Long.parseLong(parameter(request.query(), "trainer_version", "0"));
		}
		catch (NumberFormatException ex) {
			return refuse(RefusalReason.BAD_REQUEST, "max and trainer_version must be integers");
		}
		if (max <= 0 || trainerVersion < 0) {
			return refuse(RefusalReason.BAD_REQUEST, "max must be positive and trainer_version must not be negative");
		}
		BatchExchange.BatchQuery batchQuery = new BatchExchange.BatchQuery(key.trainer(), key.step(), workspace, seq,
				max, trainerVersion, lostBefore.equals("true"));
		for (int attempt = 0; attempt < MAX_OWNERS_PER_FETCH; attempt++) {
			Either<StoreFailure, Option<StoredStep>> step = readStep(key);
			if (step.isLeft()) {
				return storeFailed(step.getLeft());
			}
			if (step.get().isEmpty()) {
				return refuse(RefusalReason.NO_SUCH_ROUTE, "trainer " + key.trainer() + " has no step " + key.step());
			}
			StepRecord record = step.get().get().record();
			if (!record.workspace().equals(workspace)) {
				return refuse(RefusalReason.FORBIDDEN_SERVICE, "the step belongs to another workspace");
			}
			Either<PeerFailure, BatchReply> reply = fetchFromOwner(record, batchQuery);
			if (reply.isRight() && reply.get().status() != BatchReply.NOT_RUNNING) {
				return toResponse(reply.get());
			}
			if (reply.isLeft() && this.dependencies.mesh().live().contains(record.host())) {
				return Either.left(Refusal.notExecuted(RefusalReason.NO_ENDPOINT, reply.getLeft().detail())
					.withRetryAfter(BatchReply.RETRY_DELAY_MILLIS));
			}
			if (!request.stillAllowed().getAsBoolean()) {
				return refuse(RefusalReason.WITHDRAWN_KEY, "the key was withdrawn");
			}
			Either<StoreFailure, Boolean> takenOver = takeOver(key, step.get().get(), request.stillAllowed());
			if (takenOver.isLeft()) {
				return storeFailed(takenOver.getLeft());
			}
		}
		return toResponse(BatchReply.pending());
	}

	private Either<PeerFailure, BatchReply> fetchFromOwner(StepRecord record, BatchExchange.BatchQuery batchQuery) {
		if (record.host().equals(this.dependencies.mesh().self())) {
			return Either.right(fetchLocally(batchQuery, record.ownership()));
		}
		if (!this.dependencies.mesh().live().contains(record.host())) {
			return Either.left(new PeerFailure.Unreachable(record.host() + " is not a live member"));
		}
		return this.exchange.fetchFrom(record.host(), this.dependencies.tokens().get(), batchQuery);
	}

	private BatchReply fetchLocally(BatchExchange.BatchQuery batchQuery) {
		return fetchLocally(batchQuery, 0);
	}

	private BatchReply fetchLocally(BatchExchange.BatchQuery batchQuery, long minOwnership) {
		StepRunner runner = this.runners.get(new StepKey(batchQuery.trainer(), batchQuery.step()));
		if (runner == null || runner.isStopped() || runner.ownership() < minOwnership) {
			return BatchReply.notRunning();
		}
		if (!runner.record().workspace().equals(batchQuery.workspace())) {
			return BatchReply.refused(RefusalReason.FORBIDDEN_SERVICE, "the step belongs to another workspace");
		}
		return runner.fetch(batchQuery);
	}

	private Either<StoreFailure, Boolean> takeOver(StepKey key, StoredStep step, BooleanSupplier stillAllowed) {
		synchronized (this.takeoverLocks[Math.floorMod(key.hashCode(), TAKEOVER_LOCKS)]) {
			StepRunner currentRunner = this.runners.get(key);
			if (currentRunner != null && !currentRunner.isStopped()
					&& currentRunner.ownership() > step.record().ownership()) {
				return Either.right(false);
			}
			StepRecord ownRecord = step.record()
				.withOwner(this.dependencies.mesh().self(), this.dependencies.tokens().get());
			Either<StoreFailure, StoredObject> written = this.writer.replace(step.object(), Json.bytes(ownRecord));
			if (written.isLeft()) {
				return Either.left(written.getLeft());
			}
			if (!parse(written.get()).token().equals(ownRecord.token())) {
				return Either.right(false);
			}
			return readBatchRecords(key).map((records) -> {
				startRunner(key, ownRecord, stillAllowed, records);
				return true;
			});
		}
	}

	private void startRunner(StepKey key, StepRecord record, BooleanSupplier stillAllowed, List<BatchRecord> records) {
		StepRunner runner = new StepRunner(this.dependencies, this.writer, this.replicator, key.trainer(), key.step(),
				record, stillAllowed);
		StepRunner previous = this.runners.put(key, runner);
		if (previous != null) {
			previous.stop();
		}
		runner.start(records);
	}

	private Either<StoreFailure, List<BatchRecord>> readBatchRecords(StepKey key) {
		List<BatchRecord> records = new ArrayList<>();
		while (true) {
			Either<StoreFailure, Option<StoredObject>> read = this.dependencies.store()
				.read(StepRunner.batchKey(key.trainer(), key.step(), records.size()));
			if (read.isLeft()) {
				return Either.left(read.getLeft());
			}
			if (read.get().isEmpty()) {
				return Either.right(records);
			}
			records.add(Json.read(read.get().get().body(), BatchRecord.class)
				.getOrElseThrow((failure) -> new IllegalStateException(
						"invalid batch record " + read.get().get().key() + ": " + failure.detail())));
		}
	}

	private Either<StoreFailure, Option<StoredStep>> readStep(StepKey key) {
		return this.dependencies.store()
			.read(key.storeKey())
			.map((found) -> found.map((object) -> new StoredStep(object, parse(object))));
	}

	private static StepRecord parse(StoredObject object) {
		return Json.read(object.body(), StepRecord.class)
			.getOrElseThrow((failure) -> new IllegalStateException(
					"invalid step record " + object.key() + ": " + failure.detail()));
	}

	private static Optional<Refusal> checkService(Configuration configuration, WorkspaceEntry workspace,
			ServiceId service) {
		boolean modelService = configuration.inventory()
			.service(service)
			.filter((entry) -> entry.kind() == ServiceKind.MODEL)
			.isPresent();
		if (!modelService) {
			return Optional.of(Refusal.notExecuted(RefusalReason.NO_SUCH_ROUTE, "no such model service: " + service));
		}
		if (!workspace.services().contains(service)) {
			return Optional.of(Refusal.notExecuted(RefusalReason.FORBIDDEN_SERVICE,
					"workspace " + workspace.name() + " is not granted service " + service));
		}
		return Optional.empty();
	}

	private static String parameter(@Nullable String query, String name, String defaultValue) {
		if (query != null) {
			for (String pair : query.split("&")) {
				if (pair.startsWith(name + "=")) {
					return pair.substring(name.length() + 1);
				}
			}
		}
		return defaultValue;
	}

	private static Either<Refusal, Response> toResponse(BatchReply reply) {
		if (reply.reason() != null) {
			return Either.left(reply.toRefusal());
		}
		return Either.right(new Response(reply.status(), (reply.batch() != null) ? Json.bytes(reply.batch()) : null,
				reply.retryAfterMillis() / 1_000));
	}

	private static Either<Refusal, Response> storeFailed(StoreFailure failure) {
		return Either.left(Refusal.notExecuted(RefusalReason.STORE_UNAVAILABLE, failure.detail())
			.withRetryAfter(BatchReply.RETRY_DELAY_MILLIS));
	}

	private static Either<Refusal, Response> refuse(RefusalReason reason, String detail) {
		return Either.left(Refusal.notExecuted(reason, detail));
	}

	private record Response(int status, byte @Nullable [] body, long retryAfterSeconds) {

		private static Response of(int status, byte[] body) {
			return new Response(status, body, 0);
		}

	}

	private record WeightAnnouncement(ServiceId service, long version) {

		private WeightAnnouncement {
			Objects.requireNonNull(service, "service");
			if (version <= 0) {
				throw new IllegalArgumentException("version must be positive: " + version);
			}
		}

	}

	private record StoredStep(StoredObject object, StepRecord record) {
	}

	private record StepKey(TrainerId trainer, long step) {

		private String storeKey() {
			return "steps/" + this.trainer + "/" + this.step;
		}

		private LineId line() {
			return LineId.of(this.trainer.value());
		}

	}

}
