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
 * Serves trainers: new weights, steps, and batches of samples.
 * <p>
 * Thread-safe.
 */
public final class RolloutRoutes implements CallerRoute {

	/** Interval of {@link #tick()}, in milliseconds. */
	public static final long TICK_MILLIS = 500;

	private static final Logger LOGGER = LoggerFactory.getLogger(RolloutRoutes.class);

	private static final Pattern PATH = Pattern
		.compile("/v1/trainers/([^/]+)/(?:(weights)|steps/(\\d{1,18})(?:/batches/(\\d{1,9}))?)");

	private static final int PATH_WEIGHTS = 2;

	private static final int PATH_STEP = 3;

	private static final int PATH_SEQ = 4;

	/** Owners that one fetch follows before its caller has to come back. */
	private static final int MAX_OWNERS = 4;

	/** Ticks between two looks at the store for a new owner or new weights. */
	private static final int TICKS_PER_CHECK = 10;

	/** Locks that keep two callers from taking the same step over twice. */
	private static final int TAKEOVER_LOCKS = 64;

	/** Age from which samples of dead hosts make room for others, in milliseconds. */
	private static final long MAX_SAMPLE_AGE_MILLIS = 30 * 60 * 1_000;

	private final RolloutParts parts;

	private final Problems problems;

	private final StoreWrites writes;

	private final SampleCopies copies;

	private final BatchExchange exchange;

	private final Map<StepKey, StepRunner> runners = new ConcurrentHashMap<>();

	private final Object[] takeovers = Stream.generate(Object::new).limit(TAKEOVER_LOCKS).toArray();

	private int ticks;

	private RolloutRoutes(RolloutParts parts, Problems problems) {
		this.parts = parts;
		this.problems = problems;
		this.writes = new StoreWrites(parts.store(), parts.counters());
		SampleStore samples = SampleStore.of(parts.limits().maxSampleBytes(), MAX_SAMPLE_AGE_MILLIS, parts.clock());
		this.copies = new SampleCopies(parts.mesh(), samples);
		this.exchange = new BatchExchange(parts.mesh(), parts.threads().work(), this::fetchHere);
		parts.counters().gauge("sample_store_bytes", samples::bytes);
		parts.counters().gauge("running_steps", this.runners::size);
	}

	/**
	 * Creates the routes, and registers what answers other hosts.
	 * @param parts what the routes need
	 * @param problems answers refusals
	 * @return the routes
	 */
	public static RolloutRoutes of(RolloutParts parts, Problems problems) {
		return new RolloutRoutes(Objects.requireNonNull(parts, "parts"), Objects.requireNonNull(problems, "problems"));
	}

	@Override
	public boolean accepts(String method, String path) {
		Matcher matcher = PATH.matcher(path);
		return matcher.matches() && method.equals((matcher.group(PATH_SEQ) != null) ? "GET" : "POST");
	}

	@Override
	public void serve(CallerRequest request, Responder responder) throws HttpException, IOException {
		Either<Refusal, Answer> answer = answer(request);
		if (answer.isLeft()) {
			this.problems.send(responder, request.requestId(), answer.getLeft());
			return;
		}
		BasicClassicHttpResponse response = new BasicClassicHttpResponse(answer.get().status());
		if (answer.get().retrySeconds() > 0) {
			response.setHeader(HttpHeaders.RETRY_AFTER, Long.toString(answer.get().retrySeconds()));
		}
		byte[] body = answer.get().body();
		if (body != null) {
			response.setEntity(new ByteArrayEntity(body, ContentType.APPLICATION_JSON));
		}
		responder.send(response);
	}

	/**
	 * Tells the steps that run here of new weights, so that samples that pass the bound
	 * are cancelled early.
	 * @param version the newest version of a line
	 */
	public void newWeights(WeightVersion version) {
		this.runners.forEach((key, runner) -> {
			if (key.trainer().value().equals(version.line().value())) {
				runner.newVersion(version.number());
			}
		});
	}

	/**
	 * Starts calling {@link #tick()} every {@link #TICK_MILLIS}.
	 */
	public void start() {
		this.parts.threads().timer().after(() -> {
			try {
				tick();
			}
			finally {
				start();
			}
		}, TICK_MILLIS);
	}

	/**
	 * Stops all steps of this host, which is leaving. The next host that is asked for a
	 * batch takes each step over.
	 */
	public void leave() {
		this.runners.forEach((key, runner) -> {
			this.runners.remove(key, runner);
			runner.stop();
		});
	}

	/**
	 * Resumes stragglers, and stops steps whose key was withdrawn or that another host
	 * took over. Does not block.
	 */
	public synchronized void tick() {
		this.ticks++;
		this.runners.forEach((key, runner) -> {
			if (!runner.tick()) {
				this.runners.remove(key, runner);
			}
			else if (this.ticks % TICKS_PER_CHECK == 0 && !runner.isComplete()) {
				try {
					this.parts.threads().work().execute(() -> check(key, runner));
				}
				catch (RejectedExecutionException ex) {
					LOGGER.atWarn().addKeyValue("step", key.storeKey()).log("step-check-skipped");
				}
			}
		});
	}

	private void check(StepKey key, StepRunner runner) {
		readStep(key).forEach((found) -> found.forEach((step) -> {
			if (step.record().ownership() > runner.ownership()) {
				runner.stop();
				this.runners.remove(key, runner);
			}
		}));
		WeightHeads.read(this.parts.store(), runner.record().request().service(), key.line())
			.forEach(runner::newVersion);
	}

	private Either<Refusal, Answer> answer(CallerRequest request) {
		Matcher path = PATH.matcher(request.path());
		if (!path.matches()) {
			return refuse(RefusalReason.NO_SUCH_ROUTE, request.path() + " does not exist");
		}
		Option<Configuration> configuration = this.parts.configuration().current();
		if (configuration.isEmpty()) {
			return refuse(RefusalReason.NOT_READY, "this host has no configuration yet");
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
			return refuse(RefusalReason.FORBIDDEN_SERVICE, "the workspace of the key does not own trainer " + trainer);
		}
		if (path.group(PATH_WEIGHTS) != null) {
			return postWeights(request, configuration.get(), entry.get(), trainer);
		}
		StepKey key = new StepKey(trainer, Long.parseLong(path.group(PATH_STEP)));
		if (path.group(PATH_SEQ) == null) {
			return postStep(request, configuration.get(), entry.get(), key);
		}
		return fetch(request, workspace, key, Long.parseLong(path.group(PATH_SEQ)));
	}

	private Either<Refusal, Answer> postWeights(CallerRequest request, Configuration configuration,
			WorkspaceEntry workspace, TrainerId trainer) {
		Either<JsonFailure, NewWeights> body = Json.read(request.body(), NewWeights.class);
		if (body.isLeft()) {
			return refuse(RefusalReason.BAD_REQUEST, body.getLeft().detail());
		}
		Optional<Refusal> refusal = checkService(configuration, workspace, body.get().service());
		if (refusal.isPresent()) {
			return Either.left(refusal.get());
		}
		LineId line = LineId.of(trainer.value());
		long version = body.get().version();
		Either<StoreFailure, Long> head = WeightHeads.raise(this.writes, body.get().service(), line, version,
				this.parts.tokens().get());
		if (head.isLeft()) {
			return storeFailed(head.getLeft());
		}
		newWeights(WeightVersion.of(line, head.get()));
		if (head.get() > version) {
			return refuse(RefusalReason.CONFLICT, "line " + line + " is at version " + head.get() + " already");
		}
		return Either.right(Answer.of(BatchReply.OK,
				Json.bytes(Map.of("service", body.get().service(), "weights", WeightVersion.of(line, version)))));
	}

	private Either<Refusal, Answer> postStep(CallerRequest request, Configuration configuration,
			WorkspaceEntry workspace, StepKey key) {
		Either<JsonFailure, StepRecord.Request> body = Json.read(request.body(), StepRecord.Request.class);
		if (body.isLeft()) {
			return refuse(RefusalReason.BAD_REQUEST, body.getLeft().detail());
		}
		Optional<Refusal> refusal = checkService(configuration, workspace, body.get().service());
		if (refusal.isPresent()) {
			return Either.left(refusal.get());
		}
		StepRecord own = new StepRecord(this.parts.tokens().get(), workspace.name(), this.parts.mesh().self(), 1,
				body.get());
		byte[] bytes = Json.bytes(own);
		if (bytes.length > ObjectStore.MAX_VALUE_BYTES) {
			return refuse(RefusalReason.BODY_TOO_LARGE,
					"a step takes at most " + ObjectStore.MAX_VALUE_BYTES + " bytes, not " + bytes.length);
		}
		Either<StoreFailure, StoredObject> written = this.writes.create(key.storeKey(), bytes);
		if (written.isLeft()) {
			return storeFailed(written.getLeft());
		}
		StepRecord record = parse(written.get());
		if (!record.workspace().equals(workspace.name()) || !record.request().equals(body.get())) {
			return refuse(RefusalReason.CONFLICT, "step " + key.step() + " was started with another body");
		}
		if (record.token().equals(own.token())) {
			run(key, record, request.stillAllowed(), List.of());
		}
		return Either.right(Answer.of(BatchReply.ACCEPTED, Json
			.bytes(Map.of("trainer", key.trainer(), "step", key.step(), "samples", record.request().plan().size()))));
	}

	private Either<Refusal, Answer> fetch(CallerRequest request, WorkspaceId workspace, StepKey key, long seq) {
		int max;
		long trainerVersion;
		String lostBefore = parameter(request.query(), "lost_before", "false");
		if (!lostBefore.equals("true") && !lostBefore.equals("false")) {
			return refuse(RefusalReason.BAD_REQUEST, "lost_before must be true or false: \"" + lostBefore + "\"");
		}
		try {
			max = (int) Math.min(DeliveryState.MAX_BATCH_SAMPLES,
					Long.parseLong(parameter(request.query(), "max", "" + DeliveryState.MAX_BATCH_SAMPLES)));
			trainerVersion = Long.parseLong(parameter(request.query(), "trainer_version", "0"));
		}
		catch (NumberFormatException ex) {
			return refuse(RefusalReason.BAD_REQUEST, "max and trainer_version must be whole numbers");
		}
		if (max <= 0 || trainerVersion < 0) {
			return refuse(RefusalReason.BAD_REQUEST, "max must be positive and trainer_version not negative");
		}
		BatchExchange.Question question = new BatchExchange.Question(key.trainer(), key.step(), workspace, seq, max,
				trainerVersion, lostBefore.equals("true"));
		for (int owner = 0; owner < MAX_OWNERS; owner++) {
			Either<StoreFailure, Option<Step>> step = readStep(key);
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
			Either<PeerFailure, BatchReply> reply = ask(record, question);
			if (reply.isRight() && reply.get().status() != BatchReply.NOT_RUNNING) {
				return toAnswer(reply.get());
			}
			if (reply.isLeft() && this.parts.mesh().live().contains(record.host())) {
				return Either.left(Refusal.notRun(RefusalReason.NO_ENDPOINT, reply.getLeft().detail())
					.withRetryAfter(BatchReply.RETRY_MILLIS));
			}
			if (!request.stillAllowed().getAsBoolean()) {
				return refuse(RefusalReason.WITHDRAWN_KEY, "the key was withdrawn");
			}
			Either<StoreFailure, Boolean> taken = takeOver(key, step.get().get(), request.stillAllowed());
			if (taken.isLeft()) {
				return storeFailed(taken.getLeft());
			}
		}
		return toAnswer(BatchReply.pending());
	}

	private Either<PeerFailure, BatchReply> ask(StepRecord record, BatchExchange.Question question) {
		if (record.host().equals(this.parts.mesh().self())) {
			return Either.right(fetchHere(question, record.ownership()));
		}
		if (!this.parts.mesh().live().contains(record.host())) {
			return Either.left(new PeerFailure.Unreachable(record.host() + " is not alive"));
		}
		return this.exchange.ask(record.host(), this.parts.tokens().get(), question);
	}

	private BatchReply fetchHere(BatchExchange.Question question) {
		return fetchHere(question, 0);
	}

	private BatchReply fetchHere(BatchExchange.Question question, long minOwnership) {
		StepRunner runner = this.runners.get(new StepKey(question.trainer(), question.step()));
		if (runner == null || runner.isStopped() || runner.ownership() < minOwnership) {
			return BatchReply.notRunning();
		}
		if (!runner.record().workspace().equals(question.workspace())) {
			return BatchReply.refused(RefusalReason.FORBIDDEN_SERVICE, "the step belongs to another workspace");
		}
		return runner.fetch(question);
	}

	private Either<StoreFailure, Boolean> takeOver(StepKey key, Step step, BooleanSupplier stillAllowed) {
		synchronized (this.takeovers[Math.floorMod(key.hashCode(), TAKEOVER_LOCKS)]) {
			StepRunner present = this.runners.get(key);
			if (present != null && !present.isStopped() && present.ownership() > step.record().ownership()) {
				return Either.right(false);
			}
			StepRecord own = step.record().withOwner(this.parts.mesh().self(), this.parts.tokens().get());
			Either<StoreFailure, StoredObject> written = this.writes.replace(step.object(), Json.bytes(own));
			if (written.isLeft()) {
				return Either.left(written.getLeft());
			}
			if (!parse(written.get()).token().equals(own.token())) {
				return Either.right(false);
			}
			return readChain(key).map((chain) -> {
				run(key, own, stillAllowed, chain);
				return true;
			});
		}
	}

	private void run(StepKey key, StepRecord record, BooleanSupplier stillAllowed, List<BatchRecord> chain) {
		StepRunner runner = new StepRunner(this.parts, this.writes, this.copies, key.trainer(), key.step(), record,
				stillAllowed);
		StepRunner before = this.runners.put(key, runner);
		if (before != null) {
			before.stop();
		}
		runner.start(chain);
	}

	private Either<StoreFailure, List<BatchRecord>> readChain(StepKey key) {
		List<BatchRecord> chain = new ArrayList<>();
		while (true) {
			Either<StoreFailure, Option<StoredObject>> read = this.parts.store()
				.read(StepRunner.batchKey(key.trainer(), key.step(), chain.size()));
			if (read.isLeft()) {
				return Either.left(read.getLeft());
			}
			if (read.get().isEmpty()) {
				return Either.right(chain);
			}
			chain.add(Json.read(read.get().get().body(), BatchRecord.class)
				.getOrElseThrow((failure) -> new IllegalStateException(
						"record " + read.get().get().key() + " is not valid: " + failure.detail())));
		}
	}

	private Either<StoreFailure, Option<Step>> readStep(StepKey key) {
		return this.parts.store()
			.read(key.storeKey())
			.map((found) -> found.map((object) -> new Step(object, parse(object))));
	}

	private static StepRecord parse(StoredObject object) {
		return Json.read(object.body(), StepRecord.class)
			.getOrElseThrow((failure) -> new IllegalStateException(
					"step " + object.key() + " is not valid: " + failure.detail()));
	}

	private static Optional<Refusal> checkService(Configuration configuration, WorkspaceEntry workspace,
			ServiceId service) {
		boolean model = configuration.inventory()
			.service(service)
			.filter((entry) -> entry.kind() == ServiceKind.MODEL)
			.isPresent();
		if (!model) {
			return Optional.of(Refusal.notRun(RefusalReason.NO_SUCH_ROUTE, "there is no model service " + service));
		}
		if (!workspace.services().contains(service)) {
			return Optional.of(Refusal.notRun(RefusalReason.FORBIDDEN_SERVICE,
					"workspace " + workspace.name() + " may not use service " + service));
		}
		return Optional.empty();
	}

	private static String parameter(@Nullable String query, String name, String absent) {
		if (query != null) {
			for (String pair : query.split("&")) {
				if (pair.startsWith(name + "=")) {
					return pair.substring(name.length() + 1);
				}
			}
		}
		return absent;
	}

	private static Either<Refusal, Answer> toAnswer(BatchReply reply) {
		if (reply.reason() != null) {
			return Either.left(reply.toRefusal());
		}
		return Either.right(new Answer(reply.status(), (reply.batch() != null) ? Json.bytes(reply.batch()) : null,
				reply.retryAfterMillis() / 1_000));
	}

	private static Either<Refusal, Answer> storeFailed(StoreFailure failure) {
		return Either.left(Refusal.notRun(RefusalReason.STORE_UNAVAILABLE, failure.detail())
			.withRetryAfter(BatchReply.RETRY_MILLIS));
	}

	private static Either<Refusal, Answer> refuse(RefusalReason reason, String detail) {
		return Either.left(Refusal.notRun(reason, detail));
	}

	private record Answer(int status, byte @Nullable [] body, long retrySeconds) {

		private static Answer of(int status, byte[] body) {
			return new Answer(status, body, 0);
		}

	}

	private record NewWeights(ServiceId service, long version) {

		private NewWeights {
			Objects.requireNonNull(service, "service");
			if (version <= 0) {
				throw new IllegalArgumentException("version must be positive: " + version);
			}
		}

	}

	private record Step(StoredObject object, StepRecord record) {
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
