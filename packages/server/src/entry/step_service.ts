/**
 * Steps of trainers at an entry: finds the home of a step, forwards calls to
 * it, and runs the steps whose home is here.
 */
import {
  HEARTBEAT_TIMEOUT_MS,
  PULL_REPLY_SCHEMA,
  PullReply,
  RulesHolder,
  STEP_DESCRIPTION_SCHEMA,
  ServiceError,
  StepDescription,
  StepState,
  createError,
  findHome,
  formatStepKey,
  formatStepName,
  getErrorAnswer,
  readErrorKind,
} from '@sassafrasspan/core';
import type {EntryPeer, StepCall, StepReply} from '@sassafrasspan/nodes';
import type {ObjectStore} from '@sassafrasspan/platform';
import {EventLog, waitMs} from '@sassafrasspan/runtime';
import type {ScoringService} from '@sassafrasspan/scoring';
import type {SamplePull, StepName, StepSummary} from '@sassafrasspan/trainers';
import {Result, err, ok} from 'neverthrow';
import {z} from 'zod';
import type {Dispatcher} from './dispatcher';
import type {NodeDirectory} from './node_directory';
import {StepRunner} from './step_runner';

const PULL_POLL_MS = 20;
const HTTP_OK = 200;

/** Schema of a step as the object API keeps it. */
const STORED_STEP_SCHEMA = z.strictObject({
  customer: z.string(),
  description: STEP_DESCRIPTION_SCHEMA,
});

const SUMMARY_SCHEMA = z.strictObject({
  trainer: z.string(),
  step: z.string(),
  total: z.number(),
  ready: z.number(),
  inFlight: z.number(),
});

/** What a step service is built from. */
export interface StepServiceOptions {
  readonly entry: string;
  readonly directory: NodeDirectory;
  readonly dispatcher: Dispatcher;
  readonly store: ObjectStore;
  readonly rules: RulesHolder;
  readonly log: EventLog;
  findScoring(name: string): ScoringService;
  /** Returns how many samples of a service may be generated at once. */
  readConcurrency(service: string): number;
}

/** The steps that an entry has to do with. */
export class StepService {
  private readonly runners = new Map<string, StepRunner>();

  private constructor(private readonly options: StepServiceOptions) {}

  /** Builds a service without steps. */
  static create(options: StepServiceOptions): StepService {
    return new StepService(options);
  }

  /** Takes the description of a step, here or at its home. */
  async putStep(
    name: StepName,
    description: StepDescription,
    hops = 0,
  ): Promise<Result<StepSummary, ServiceError>> {
    const home = hops === 0 ? this.findRemoteHome(name) : undefined;
    if (home !== undefined) {
      const bodyJson = JSON.stringify(description);
      const call = createCall('put', name, {bodyJson});
      const reply = await forwardCall(home, call, SUMMARY_SCHEMA);
      if (reply.isOk() || reply.error.kind !== 'no-endpoint') return reply;
    }
    return this.putLocally(name, description);
  }

  private async putLocally(
    name: StepName,
    description: StepDescription,
  ): Promise<Result<StepSummary, ServiceError>> {
    const stored = await this.storeStep(name, description);
    if (stored.isErr()) return err(stored.error);
    return this.openStep(name, description).map(createSummary);
  }

  /** Keeps the description in the object API, if that answers. */
  private async storeStep(
    name: StepName,
    description: StepDescription,
  ): Promise<Result<void, ServiceError>> {
    const key = formatStepKey(name.trainer, name.step);
    const value = {customer: name.customer, description};
    const written = await this.options.store.writeObject(key, value, 0);
    if (written.isOk() || written.error.kind !== 'conflict') {
      return ok(undefined);
    }
    const found = await this.options.store.readObject(key);
    if (found.isErr()) return ok(undefined);
    const isSame = JSON.stringify(found.value.value) === JSON.stringify(value);
    if (isSame) return ok(undefined);
    return err(createError('conflict', 'the step has another description'));
  }

  private openStep(
    name: StepName,
    description: StepDescription,
  ): Result<StepRunner, ServiceError> {
    const key = formatStepName(name.trainer, name.step);
    const known = this.runners.get(key);
    if (known !== undefined) return checkSameStep(known, description);
    const state = this.createState(name, description);
    if (state.isErr()) return err(state.error);
    const runner = StepRunner.create({
      state: state.value,
      dispatcher: this.options.dispatcher,
      scoring: this.options.findScoring(description.scoring),
      rules: this.options.rules,
      log: this.options.log,
      readConcurrency: () => this.options.readConcurrency(state.value.service),
    });
    this.runners.set(key, runner);
    this.options.log.writeEvent('step-opened', {
      step: key,
      slots: state.value.countSlots(),
    });
    runner.advance();
    return ok(runner);
  }

  private createState(
    name: StepName,
    description: StepDescription,
  ): Result<StepState, ServiceError> {
    const book = this.options.rules.getBook();
    if (book === undefined) {
      return err(createError('not-ready', 'the entry has no rules yet'));
    }
    const trainer = book.findTrainer(name.trainer);
    if (trainer === undefined) {
      return err(createError('not-found', `no trainer ${name.trainer}`));
    }
    if (trainer.customer !== name.customer) {
      return err(createError('forbidden', `${name.trainer} is not yours`));
    }
    const promised = book.getStalenessBound(name.trainer);
    const stated = description.stalenessBound;
    const stalenessBound = Math.min(promised ?? stated, stated);
    const {service} = trainer;
    return ok(
      StepState.create({...name, service, description, stalenessBound}),
    );
  }

  /** Gives the next samples of a step, from here or from its home. */
  async pullSamples(
    name: StepName,
    pull: SamplePull,
    hops = 0,
  ): Promise<Result<PullReply, ServiceError>> {
    const home = hops === 0 ? this.findRemoteHome(name) : undefined;
    if (home !== undefined) {
      const call = createCall('pull', name, pull);
      const reply = await forwardCall(home, call, PULL_REPLY_SCHEMA);
      if (reply.isOk() || reply.error.kind !== 'no-endpoint') return reply;
    }
    return this.pullLocally(name, pull);
  }

  private async pullLocally(
    name: StepName,
    pull: SamplePull,
  ): Promise<Result<PullReply, ServiceError>> {
    const runner = await this.findRunner(name);
    if (runner.isErr()) return err(runner.error);
    const state = runner.value.getState();
    if (state.customer !== name.customer) {
      return err(createError('forbidden', `${name.trainer} is not yours`));
    }
    for (let waitedMs = 0; ; waitedMs += PULL_POLL_MS) {
      const reply = state.pullSamples(pull);
      runner.value.advance();
      if (reply.isErr()) return reply;
      const hasNews = reply.value.samples.length > 0 || reply.value.complete;
      if (hasNews || waitedMs >= pull.waitMs) return reply;
      await waitMs(PULL_POLL_MS);
    }
  }

  private async findRunner(
    name: StepName,
  ): Promise<Result<StepRunner, ServiceError>> {
    const known = this.runners.get(formatStepName(name.trainer, name.step));
    if (known !== undefined) return ok(known);
    const key = formatStepKey(name.trainer, name.step);
    const found = await this.options.store.readObject(key);
    if (found.isErr()) return err(found.error);
    const stored = STORED_STEP_SCHEMA.safeParse(found.value.value);
    if (!stored.success) {
      return err(createError('not-found', `no step ${name.step}`));
    }
    const owned = {...name, customer: stored.data.customer};
    return this.openStep(owned, stored.data.description);
  }

  /** Finds the entry that is home to a step, unless it is this one. */
  private findRemoteHome(name: StepName): EntryPeer | undefined {
    const others = this.options.directory
      .listEntries()
      .filter(entry => entry.ageMs <= HEARTBEAT_TIMEOUT_MS)
      .filter(entry => entry.heartbeat?.leaving === false);
    const names = [this.options.entry, ...others.map(entry => entry.name)];
    const home = findHome(formatStepName(name.trainer, name.step), names);
    return others.find(entry => entry.name === home)?.client;
  }

  /** Answers a call that another entry has forwarded. */
  async answerForwarded(call: StepCall): Promise<StepReply> {
    const name = {
      customer: call.customer,
      trainer: call.trainer,
      step: call.step,
    };
    if (call.operation === 'pull') {
      const {cursor, trainerVersion, maxSamples} = call;
      const pull = {cursor, trainerVersion, maxSamples, waitMs: call.waitMs};
      return createReply(await this.pullSamples(name, pull, call.hops));
    }
    const body: unknown = JSON.parse(call.bodyJson);
    const description = STEP_DESCRIPTION_SCHEMA.parse(body);
    return createReply(await this.putStep(name, description, call.hops));
  }

  /** Starts whatever work the steps here still need. */
  advance(): void {
    for (const runner of this.runners.values()) runner.advance();
  }

  /** Starts no more work. */
  stop(): void {
    for (const runner of this.runners.values()) runner.stop();
  }
}

function createSummary(runner: StepRunner): StepSummary {
  const state = runner.getState();
  return {
    trainer: state.trainer,
    step: state.step,
    total: state.countSlots(),
    ready: state.countReady(),
    inFlight: state.countInFlight(),
  };
}

function checkSameStep(
  runner: StepRunner,
  description: StepDescription,
): Result<StepRunner, ServiceError> {
  const known = JSON.stringify(runner.getState().description);
  if (known === JSON.stringify(description)) return ok(runner);
  return err(createError('conflict', 'the step has another description'));
}

function createCall(
  operation: 'put' | 'pull',
  name: StepName,
  fields: Partial<SamplePull> & {readonly bodyJson?: string},
): StepCall {
  return {
    operation,
    ...name,
    bodyJson: fields.bodyJson ?? '',
    cursor: fields.cursor ?? '',
    trainerVersion: fields.trainerVersion ?? 0,
    maxSamples: fields.maxSamples ?? 0,
    waitMs: fields.waitMs ?? 0,
    hops: 1,
  };
}

async function forwardCall<T>(
  home: EntryPeer,
  call: StepCall,
  schema: z.ZodType<T>,
): Promise<Result<T, ServiceError>> {
  const reply = await home.forwardStep(call);
  return reply.andThen(found => {
    if (found.kind === '') return ok(schema.parse(JSON.parse(found.bodyJson)));
    const {retryAfterMs} = found;
    const kind = readErrorKind(found.kind);
    return err(createError(kind, found.detail, {retryAfterMs}));
  });
}

function createReply<T>(result: Result<T, ServiceError>): StepReply {
  if (result.isOk()) {
    const bodyJson = JSON.stringify(result.value);
    return {status: HTTP_OK, bodyJson, kind: '', detail: '', retryAfterMs: 0};
  }
  const {kind, detail} = result.error;
  const {status, retryAfterMs} = getErrorAnswer(result.error);
  return {status, bodyJson: '', kind, detail, retryAfterMs};
}
