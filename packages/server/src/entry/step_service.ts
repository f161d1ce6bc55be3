/**
 * Handles trainers' calls about rollout steps at an entry: forwards them to the
 * owner of the step, and opens the steps that this entry owns.
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
import {OpenStep, StepTable, checkCustomer, createSummary} from './step_table';

/** Interval at which an open pull checks for samples. */
const PULL_POLL_MS = 20;
/** Interval between attempts to store unsaved descriptions. */
const SAVE_INTERVAL_MS = 2_000;

/** Errors of an owner after which a pull is also tried at this entry. */
const RETRY_LOCALLY_KINDS = new Set([
  'no-endpoint',
  'not-found',
  'platform-down',
]);

export interface StepServiceOptions {
  /** Name of this entry. */
  readonly entry: string;
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

/** Serves the steps that this entry owns and forwards calls about others. */
export class StepService {
  private readonly table: StepTable;
  private readonly store: StepStore;
  private readonly unsavedSteps: UnsavedStepCache;
  private readonly peers: StepPeers;
  private savedAtMs = 0;
  private isSaving = false;

  /** Handlers of calls from other entries, by operation. */
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

  static create(options: StepServiceOptions): StepService {
    return new StepService(options);
  }

  /**
   * Stores the description of a step and starts its work, here or at its owner.
   * Putting the same description again changes nothing; another description is
   * a conflict. A call with `hops` above 0 is not forwarded again.
   */
  async putStep(
    name: StepName,
    description: StepDescription,
    hops = 0,
  ): Promise<Result<StepSummary, ServiceError>> {
    const check = this.checkDescription(name, description);
    if (check.isErr()) return err(check.error);
    const owner = hops === 0 ? this.peers.findRemoteOwner(name) : undefined;
    if (owner !== undefined) {
      const reply = await forwardPut(owner, name, description);
      if (reply.isOk() || reply.error.kind !== 'no-endpoint') return reply;
    }
    return this.putLocally(name, description);
  }

  /** Checks a description against the one that is open or cached here, if any. */
  private checkDescription(
    name: StepName,
    description: StepDescription,
  ): Result<void, ServiceError> {
    const step = this.table.findStep(formatStepName(name.trainer, name.step));
    if (step === undefined) return this.checkUnsaved(name, description);
    const access = checkCustomer(step, name);
    if (access.isErr()) return access;
    return step.runner.getState().checkDescription(description);
  }

  private checkUnsaved(
    name: StepName,
    description: StepDescription,
  ): Result<void, ServiceError> {
    const cached = this.unsavedSteps.findStep(name);
    if (cached === undefined) return ok(undefined);
    const isSame = JSON.stringify(cached) === JSON.stringify(description);
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
      const peerCheck = await this.checkPeers(name, description);
      if (peerCheck.isErr()) return err(peerCheck.error);
    }
    const check = this.checkDescription(name, description);
    if (check.isErr()) return err(check.error);
    const step = this.openStep(name, state.value, saved.value);
    if (!step.isStored) await this.peers.notifyUnsaved(name, description);
    this.startWork(step);
    return ok(createSummary(step));
  }

  /**
   * Checks a description against the other entries. Used while the platform is
   * down and the object API cannot detect a conflict.
   */
  private async checkPeers(
    name: StepName,
    description: StepDescription,
  ): Promise<Result<void, ServiceError>> {
    const state = createStepState(this.options.rules, name, description);
    if (state.isErr()) return err(state.error);
    const peerDescription = await this.peers.fetchDescription(name);
    if (peerDescription === undefined) return ok(undefined);
    return state.value.checkDescription(peerDescription);
  }

  /** Returns the open step, or opens it. */
  private openStep(
    name: StepName,
    state: StepState,
    saved: SaveResult,
  ): OpenStep {
    const existing = this.table.findStep(state.getName());
    if (existing !== undefined) return existing;
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

  /** Recovers retained answers once, then starts the missing samples. */
  private startWork(step: OpenStep): void {
    step.lastUsedAtMs = this.options.clock.readMonotonicMs();
    if (step.isNew || !step.runner.needsRecovery()) {
      return this.table.advance();
    }
    const agents = this.options.directory.listAgentClients();
    void step.runner.recoverAnswers(agents);
  }

  /** Returns the next samples of a step, from this entry or from its owner. */
  async pullSamples(
    name: StepName,
    pull: SamplePull,
    hops = 0,
  ): Promise<Result<PullReply, ServiceError>> {
    const owner = hops === 0 ? this.peers.findRemoteOwner(name) : undefined;
    if (owner === undefined) return this.pullLocally(name, pull);
    const reply = await forwardPull(owner, name, pull);
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
    const opened = await this.findStep(name);
    if (opened.isErr()) return err(opened.error);
    const step = opened.value;
    const state = step.runner.getState();
    const accepted = state.openPull(pull);
    if (accepted.isErr()) return err(accepted.error);
    step.hasCursor = true;
    if (state.isAcknowledged()) this.table.releaseStep(step);
    else this.startWork(step);
    for (let waitedMs = 0; ; waitedMs += PULL_POLL_MS) {
      if (step.isInConflict) return err(createConflict());
      const {service} = state.options;
      state.observeVersion(this.options.pool.findNewestVersion(service));
      const reply = state.answerPull(accepted.value);
      step.runner.reconcile();
      step.isCompleteSent = step.isCompleteSent || reply.complete;
      const isWorthSending = reply.samples.length > 0 || reply.complete;
      if (isWorthSending || waitedMs >= pull.waitMs) return ok(reply);
      await waitMs(PULL_POLL_MS);
    }
  }

  /**
   * Returns the open step, or opens it with the description from the object API,
   * the cache of unsaved steps or another entry.
   */
  private async findStep(
    name: StepName,
  ): Promise<Result<OpenStep, ServiceError>> {
    const stepName = formatStepName(name.trainer, name.step);
    const existing = this.table.findStep(stepName);
    if (existing !== undefined) {
      return checkCustomer(existing, name).map(() => existing);
    }
    const stored = await this.store.findStep(name);
    const description = stored.isOk()
      ? stored.value.description
      : (this.unsavedSteps.findStep(name) ??
        (await this.peers.fetchDescription(name)));
    if (description === undefined) {
      const detail = `no entry has step ${name.step}; put it again`;
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
    const cached = this.unsavedSteps.findStep(name);
    if (cached !== undefined) return ok(cached);
    return err(createError('not-found', `this entry has no step ${name.step}`));
  }

  /** Handles a call that another entry forwarded. */
  async answerForwarded(call: StepCall): Promise<StepReply> {
    const {customer, trainer, step} = call;
    const handler = this.handlers[call.operation];
    if (handler !== undefined) return handler(call, {customer, trainer, step});
    const detail = `unknown operation ${call.operation}`;
    return encodeReply(err(createError('bad-request', detail)));
  }

  /**
   * Records a published version and notifies the other entries. Does not wait
   * long for entries that are slow to answer.
   */
  async publishVersion(service: string, version: number): Promise<void> {
    this.table.observeVersion(service, version);
    await this.peers.notifyVersion({service, version});
  }

  /** Releases expired steps and starts missing work. Called periodically. */
  advance(): void {
    this.table.releaseExpired();
    this.table.advance();
    const nowMs = this.options.clock.readMonotonicMs();
    if (this.isSaving || nowMs - this.savedAtMs < SAVE_INTERVAL_MS) return;
    this.savedAtMs = nowMs;
    void this.saveUnsaved();
  }

  /** Stores the descriptions that arrived while the platform was down. */
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

  /** Prevents new work and leaves all steps to the other entries. */
  stop(): void {
    this.peers.stopOwning();
    this.table.stop();
  }
}

function createConflict(): ServiceError {
  return createError('conflict', 'the step has another description');
}
