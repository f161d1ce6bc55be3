/**
 * Steps of trainers at an entry: finds the home of a step, forwards calls to
 * it, and opens the steps whose home is here.
 */
import {
  Clock,
  PullReply,
  RulesHolder,
  ServiceError,
  StepDescription,
  StepState,
  createError,
  formatStepName,
} from '@sassafrasspan/core';
import type {StepCall, StepReply} from '@sassafrasspan/nodes';
import type {ObjectStore} from '@sassafrasspan/platform';
import {EventLog, waitMs} from '@sassafrasspan/runtime';
import type {ScoringService} from '@sassafrasspan/scoring';
import type {SamplePull, StepName, StepSummary} from '@sassafrasspan/trainers';
import {Result, err, ok} from 'neverthrow';
import type {Dispatcher} from './dispatcher';
import type {NodeDirectory} from './node_directory';
import {
  encodeReply,
  forwardPull,
  forwardPut,
  parseDescription,
  parseVersionNotice,
} from './step_calls';
import {StepPeers} from './step_peers';
import type {StepPool} from './step_pool';
import {UnsavedStepCache} from './unsaved_step_cache';
import {StepRunner} from './step_runner';
import {StepStore, SaveResult} from './step_store';
import {createStepState} from './step_state_factory';
import {OpenStep, StepTable} from './step_table';

const PULL_POLL_MS = 20;
const SAVE_INTERVAL_MS = 2_000;

/** Replies of a home that another entry may know better. */
const RETRY_LOCALLY_KINDS = new Set([
  'no-endpoint',
  'not-found',
  'platform-down',
]);

/** What a step service is built from. */
export interface StepServiceOptions {
  readonly entry: string;
  /** Name of this life of the entry. */
  readonly incarnation: string;
  readonly directory: NodeDirectory;
  readonly dispatcher: Dispatcher;
  readonly store: ObjectStore;
  readonly rules: RulesHolder;
  readonly clock: Clock;
  readonly log: EventLog;
  readonly pool: StepPool;
  findScoring(name: string): ScoringService;
}

type CallHandler = (call: StepCall, name: StepName) => Promise<StepReply>;

/** The steps that an entry has to do with. */
export class StepService {
  private readonly table: StepTable;
  private readonly store: StepStore;
  private readonly unsavedSteps: UnsavedStepCache;
  private readonly peers: StepPeers;
  private savedAtMs = 0;
  private isSaving = false;

  /** What is done for a call of another entry, by its operation. */
  private readonly handlers: Readonly<Record<string, CallHandler>> = {
    put: async (call, name) => {
      const description = parseDescription(call);
      if (description.isErr()) return encodeReply(description);
      return encodeReply(await this.putStep(name, description.value, 1));
    },
    pull: async (call, name) =>
      encodeReply(await this.pullSamples(name, call, 1)),
    get: async (_call, name) => encodeReply(this.findDescription(name)),
    keep: async (call, name) => {
      const description = parseDescription(call);
      if (description.isOk()) {
        this.unsavedSteps.storeStep(name, description.value);
      }
      return encodeReply(description.map(() => ({kept: true})));
    },
    version: async call => {
      const notice = parseVersionNotice(call);
      if (notice.isOk()) {
        this.table.observeVersion(notice.value.service, notice.value.version);
      }
      return encodeReply(notice);
    },
  };

  private constructor(private readonly options: StepServiceOptions) {
    this.store = StepStore.create(options.store);
    this.unsavedSteps = UnsavedStepCache.create(options.clock);
    this.peers = StepPeers.create(options);
    this.table = StepTable.create({
      ...options,
      isOwner: name => this.peers.findRemoteOwner(name) === undefined,
    });
  }

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
    const known = this.checkDescription(name, description);
    if (known.isErr()) return err(known.error);
    const home = hops === 0 ? this.peers.findRemoteOwner(name) : undefined;
    if (home !== undefined) {
      const reply = await forwardPut(home, name, description);
      if (reply.isOk() || reply.error.kind !== 'no-endpoint') return reply;
    }
    return this.putLocally(name, description);
  }

  /** Checks a description against the step that is open here, if one is. */
  private checkDescription(
    name: StepName,
    description: StepDescription,
  ): Result<void, ServiceError> {
    const step = this.table.findStep(formatStepName(name.trainer, name.step));
    if (step === undefined) return this.checkUnsaved(name, description);
    const owner = checkCustomer(step, name);
    if (owner.isErr()) return owner;
    return step.runner.getState().checkDescription(description);
  }

  private checkUnsaved(
    name: StepName,
    description: StepDescription,
  ): Result<void, ServiceError> {
    const remembered = this.unsavedSteps.findStep(name);
    if (remembered === undefined) return ok(undefined);
    const isSame = JSON.stringify(remembered) === JSON.stringify(description);
    return isSame ? ok(undefined) : err(createConflict());
  }

  private async putLocally(
    name: StepName,
    description: StepDescription,
  ): Promise<Result<StepSummary, ServiceError>> {
    const state = createStepState(this.options.rules, name, description);
    if (state.isErr()) return err(state.error);
    const saved = await this.store.saveStep(name, description);
    if (saved.isErr()) return err(saved.error);
    if (saved.value === 'unsaved') {
      const others = await this.checkPeers(name, description);
      if (others.isErr()) return err(others.error);
    }
    const known = this.checkDescription(name, description);
    if (known.isErr()) return err(known.error);
    const step = this.openStep(name, state.value, saved.value);
    if (!step.isStored) await this.peers.notifyUnsaved(name, description);
    this.startWork(step);
    return ok(createSummary(step));
  }

  /** While the platform is down, other entries are asked for the step. */
  private async checkPeers(
    name: StepName,
    description: StepDescription,
  ): Promise<Result<void, ServiceError>> {
    const state = createStepState(this.options.rules, name, description);
    if (state.isErr()) return err(state.error);
    const found = await this.peers.fetchDescription(name);
    if (found === undefined) return ok(undefined);
    return state.value.checkDescription(found);
  }

  private openStep(
    name: StepName,
    state: StepState,
    saved: SaveResult,
  ): OpenStep {
    const known = this.table.findStep(state.getName());
    if (known !== undefined) return known;
    const nowMs = this.options.clock.readMonotonicMs();
    const {description} = state.options;
    const step: OpenStep = {
      name,
      description,
      runner: this.createRunner(state),
      isStored: saved !== 'unsaved',
      isInConflict: false,
      isNew: saved === 'created',
      hasCursor: false,
      isCompleteSent: false,
      openedAtMs: nowMs,
      lastUsedAtMs: nowMs,
    };
    this.table.addStep(step);
    this.options.log.writeEvent('step-opened', {
      step: state.getName(),
      slots: state.countSlots(),
    });
    return step;
  }

  private createRunner(state: StepState): StepRunner {
    const {incarnation, dispatcher, rules, clock, log} = this.options;
    return StepRunner.create({
      incarnation,
      state,
      dispatcher,
      scoring: this.options.findScoring(state.options.description.scoring),
      rules,
      clock,
      log,
      findAgent: agent => this.options.directory.findAgent(agent),
      handleChange: () => this.table.advance(),
    });
  }

  /** Takes over kept answers once, then starts what is missing. */
  private startWork(step: OpenStep): void {
    step.lastUsedAtMs = this.options.clock.readMonotonicMs();
    if (step.isNew || !step.runner.needsRecovery()) {
      return this.table.advance();
    }
    const agents = this.options.directory.listAgentClients();
    void step.runner.recoverAnswers(agents);
  }

  /** Gives the next samples of a step, from here or from its home. */
  async pullSamples(
    name: StepName,
    pull: SamplePull,
    hops = 0,
  ): Promise<Result<PullReply, ServiceError>> {
    const home = hops === 0 ? this.peers.findRemoteOwner(name) : undefined;
    if (home === undefined) return this.pullLocally(name, pull);
    const reply = await forwardPull(home, name, pull);
    if (reply.isOk() || !RETRY_LOCALLY_KINDS.has(reply.error.kind)) {
      return reply;
    }
    const local = await this.pullLocally(name, pull);
    return local.isOk() ? local : reply;
  }

  private async pullLocally(
    name: StepName,
    pull: SamplePull,
  ): Promise<Result<PullReply, ServiceError>> {
    const found = await this.findStep(name);
    if (found.isErr()) return err(found.error);
    const step = found.value;
    const state = step.runner.getState();
    const opened = state.openPull(pull);
    if (opened.isErr()) return err(opened.error);
    step.hasCursor = true;
    if (state.isAcknowledged()) this.table.releaseStep(step);
    else this.startWork(step);
    for (let waitedMs = 0; ; waitedMs += PULL_POLL_MS) {
      if (step.isInConflict) return err(createConflict());
      const {service} = state.options;
      state.observeVersion(this.options.pool.findNewestVersion(service));
      const reply = state.answerPull(opened.value);
      step.runner.reconcile();
      step.isCompleteSent = step.isCompleteSent || reply.complete;
      const hasNews = reply.samples.length > 0 || reply.complete;
      if (hasNews || waitedMs >= pull.waitMs) return ok(reply);
      await waitMs(PULL_POLL_MS);
    }
  }

  private async findStep(
    name: StepName,
  ): Promise<Result<OpenStep, ServiceError>> {
    const stepName = formatStepName(name.trainer, name.step);
    const known = this.table.findStep(stepName);
    if (known !== undefined) return checkCustomer(known, name).map(() => known);
    const stored = await this.store.findStep(name);
    const description = stored.isOk()
      ? stored.value.description
      : (this.unsavedSteps.findStep(name) ??
        (await this.peers.fetchDescription(name)));
    if (description === undefined) {
      const detail = `no entry knows ${name.step}; put it again`;
      return err(createError('not-found', detail));
    }
    const state = createStepState(this.options.rules, name, description);
    if (state.isErr()) return err(state.error);
    const saved = stored.isOk() ? 'known' : 'unsaved';
    return ok(this.openStep(name, state.value, saved));
  }

  private findDescription(
    name: StepName,
  ): Result<StepDescription, ServiceError> {
    const step = this.table.findStep(formatStepName(name.trainer, name.step));
    if (step !== undefined) {
      return checkCustomer(step, name).map(() => step.description);
    }
    const remembered = this.unsavedSteps.findStep(name);
    if (remembered !== undefined) return ok(remembered);
    return err(createError('not-found', `${name.step} is not known here`));
  }

  /** Answers a call that another entry has forwarded. */
  async answerForwarded(call: StepCall): Promise<StepReply> {
    const {customer, trainer, step} = call;
    const handler = this.handlers[call.operation];
    if (handler !== undefined) return handler(call, {customer, trainer, step});
    const detail = `no operation ${call.operation}`;
    return encodeReply(err(createError('bad-request', detail)));
  }

  /** Takes in a published version and tells the other entries, if they
   * answer soon. */
  async publishVersion(service: string, version: number): Promise<void> {
    this.table.observeVersion(service, version);
    await this.peers.notifyVersion({service, version});
  }

  /** Starts whatever work the steps here still need. */
  advance(): void {
    this.table.releaseExpired();
    this.table.advance();
    const nowMs = this.options.clock.readMonotonicMs();
    if (this.isSaving || nowMs - this.savedAtMs < SAVE_INTERVAL_MS) return;
    this.savedAtMs = nowMs;
    void this.saveUnsaved();
  }

  /** Keeps the descriptions that came while the platform was down. */
  private async saveUnsaved(): Promise<void> {
    this.isSaving = true;
    for (const step of this.table.listSteps()) {
      if (step.isStored || step.isInConflict) continue;
      const saved = await this.store.saveStep(step.name, step.description);
      step.isInConflict = saved.isErr();
      step.isStored = saved.isOk() && saved.value !== 'unsaved';
    }
    this.isSaving = false;
  }

  /** Starts no more work; the steps' home is elsewhere from now on. */
  stop(): void {
    this.peers.stopOwning();
    this.table.stop();
  }
}

function checkCustomer(
  step: OpenStep,
  name: StepName,
): Result<void, ServiceError> {
  if (step.name.customer === name.customer) return ok(undefined);
  return err(createError('forbidden', `${name.trainer} is not yours`));
}

function createConflict(): ServiceError {
  return createError('conflict', 'the step has another description');
}

function createSummary(step: OpenStep): StepSummary {
  const state = step.runner.getState();
  return {
    trainer: step.name.trainer,
    step: step.name.step,
    total: state.countSlots(),
    ready: state.countReadySamples(),
    inFlight: state.countInFlight(),
  };
}
