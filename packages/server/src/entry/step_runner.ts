/**
 * Generates and scores the samples of one step at its owner. The rollout policy
 * decides which slots to start.
 */
import type {AnswerSink} from '@sassafrasspan/callers';
import {
  AnswerCollector,
  Clock,
  CollectedAnswer,
  ErrorKind,
  RulesHolder,
  Sample,
  ServiceError,
  SlotStart,
  SlotWork,
  StepState,
  createError,
  formatRunId,
  hashText,
} from '@sassafrasspan/core';
import type {AgentPeer} from '@sassafrasspan/nodes';
import {EventLog, waitMs} from '@sassafrasspan/runtime';
import type {ScoringService} from '@sassafrasspan/scoring';
import {Result, err, ok} from 'neverthrow';
import type {DispatchRequest, Dispatcher} from './dispatcher';
import {
  RetainedAnswerReader,
  RetainedRun,
  listRetainedRuns,
} from './retained_answers';

const GENERATION_BUDGET_MS = 600_000;
const RETRY_DELAY_MS = 200;
const SCORE_ATTEMPTS = 6;
const LOWEST_PRIORITY = 9;

/** Failures that would recur at every endpoint, so the slot fails for good. */
const FINAL_KINDS: ReadonlySet<ErrorKind> = new Set<ErrorKind>([
  'quarantined',
  'bad-request',
]);

export interface StepRunnerOptions {
  /** Incarnation of this entry, part of the ids of its runs. */
  readonly incarnation: string;
  readonly state: StepState;
  readonly dispatcher: Dispatcher;
  readonly scoring: ScoringService;
  readonly rules: RulesHolder;
  readonly clock: Clock;
  readonly log: EventLog;
  findAgent(name: string): AgentPeer | undefined;
  /** Called after changes that may allow more slots to start. */
  handleChange(): void;
}

/** A copy of a slot that is being generated or scored. */
interface RunningCopy {
  cancel(): void;
}

export class StepRunner {
  private readonly running = new Map<number, RunningCopy>();
  /** Functions that release the retained answer of a ready sample, by slot. */
  private readonly retainedAnswers = new Map<number, () => void>();
  private recovery: 'none' | 'running' | 'done' = 'none';
  private isStopped = false;

  private constructor(private readonly options: StepRunnerOptions) {}

  static create(options: StepRunnerOptions): StepRunner {
    return new StepRunner(options);
  }

  getState(): StepState {
    return this.options.state;
  }

  /** Returns whether slots may start; false while answers are recovered. */
  canStart(): boolean {
    return !this.isStopped && this.recovery !== 'running';
  }

  /** Returns whether the recovery of retained answers has not started yet. */
  needsRecovery(): boolean {
    return this.recovery === 'none';
  }

  /** Prevents new work; running copies continue. */
  stop(): void {
    this.isStopped = true;
  }

  /** Stops, cancels running copies and releases all retained answers. */
  release(): void {
    this.stop();
    for (const work of this.running.values()) work.cancel();
    this.running.clear();
    for (const releaseAnswer of this.retainedAnswers.values()) releaseAnswer();
    this.retainedAnswers.clear();
  }

  /**
   * Recovers the answers that agents retain from an earlier owner of the step.
   * Later calls do nothing.
   */
  async recoverAnswers(agents: readonly AgentPeer[]): Promise<void> {
    if (this.recovery !== 'none') return;
    this.recovery = 'running';
    const {identityKey} = this.options.state;
    const runs = await listRetainedRuns(identityKey, agents);
    for (const slot of new Set(runs.map(run => run.slot))) {
      if (this.isStopped) break;
      this.recoverSlot(
        slot,
        runs.filter(run => run.slot === slot),
      );
    }
    this.recovery = 'done';
    this.options.handleChange();
  }

  private recoverSlot(slot: number, runs: readonly RetainedRun[]): void {
    const {state, log} = this.options;
    if (slot >= state.countSlots() || !state.needsCopy(slot)) return;
    const work = state.startCopy(slot, this.readNowMs());
    this.running.set(work.copyId, {cancel: () => undefined});
    log.writeEvent('sample-recovered', {slot});
    void this.recoverCopy(work, runs);
  }

  /** Finishes a copy with the first complete answer among the runs. */
  private async recoverCopy(
    work: SlotWork,
    runs: readonly RetainedRun[],
  ): Promise<void> {
    const {incarnation} = this.options;
    let answer: Result<CollectedAnswer, ServiceError> = err(
      createError('agent-lost', 'no agent retains a complete answer'),
    );
    let releaseAnswer = () => undefined as void;
    for (const {agent, ...run} of runs) {
      answer = await RetainedAnswerReader.create(
        {...run, agent},
        incarnation,
      ).readAnswer();
      releaseAnswer = () => agent.acknowledgeRun(run.requestId, false);
      if (answer.isOk()) break;
    }
    await this.finishCopy(work, answer, releaseAnswer);
  }

  /** Starts generating a copy of a slot. */
  startSlot(start: SlotStart): void {
    const work = this.options.state.startCopy(start.slot, this.readNowMs());
    const request = this.createRequest(work, start.isTail);
    let releaseAnswer = () => undefined as void;
    const sink = this.createSink(work, answer => {
      void this.finishCopy(work, answer, () => releaseAnswer());
    });
    const handle = this.options.dispatcher.dispatch(
      {
        ...request,
        handleRetainedAnswer: agent => {
          releaseAnswer = () => this.releaseAnswer(agent, request.requestId);
        },
      },
      sink,
    );
    this.running.set(work.copyId, handle);
  }

  private releaseAnswer(agent: string, requestId: string): void {
    this.options.findAgent(agent)?.acknowledgeRun(requestId, false);
  }

  private createSink(
    work: SlotWork,
    finish: (answer: Result<CollectedAnswer, ServiceError>) => void,
  ): AnswerSink {
    const {state} = this.options;
    const collector = AnswerCollector.create();
    return {
      setHead: () => undefined,
      appendChunk: chunk => {
        collector.appendChunk(chunk);
        state.addTokens(work.copyId, chunk.tokens);
      },
      finish: end => finish(collector.finish(end)),
      fail: error => finish(err(error)),
      reset: () => {
        state.addTokens(work.copyId, -collector.reset());
        return true;
      },
    };
  }

  /** Scores an answer and stores it as the sample of its slot. */
  private async finishCopy(
    work: SlotWork,
    answer: Result<CollectedAnswer, ServiceError>,
    releaseAnswer: () => void,
  ): Promise<void> {
    if (answer.isOk()) this.options.state.markGenerated(work.copyId);
    const sample = answer.isOk()
      ? await this.scoreAnswer(work, answer.value)
      : err(answer.error);
    if (!this.running.delete(work.copyId)) return releaseAnswer();
    if (sample.isErr()) this.failCopy(work, sample.error);
    else if (this.storeSample(work, sample.value, answer)) {
      this.retainedAnswers.set(work.slot, releaseAnswer);
    } else releaseAnswer();
    this.reconcile();
    this.options.handleChange();
  }

  private storeSample(
    work: SlotWork,
    sample: Sample,
    answer: Result<CollectedAnswer, ServiceError>,
  ): boolean {
    const tokens = answer.map(value => value.tokens).unwrapOr(0);
    return this.options.state.addSample(work.copyId, sample, tokens);
  }

  private failCopy(work: SlotWork, error: ServiceError): void {
    const {state, log} = this.options;
    const {kind, detail, retryAfterMs} = error;
    const {copyId, slot} = work;
    log.writeEvent('sample-failed', {slot, kind, detail});
    if (FINAL_KINDS.has(kind)) return state.failSlot(copyId, kind);
    const delayMs = retryAfterMs ?? RETRY_DELAY_MS;
    state.failCopy(copyId, this.readNowMs() + delayMs);
  }

  /**
   * Follows changes of the step's state: logs samples dropped as stale, cancels
   * obsolete copies and releases the answers of samples that are no longer
   * ready.
   */
  reconcile(): void {
    const {state, log} = this.options;
    for (const slot of state.takeDroppedSlots()) {
      log.writeEvent('sample-stale', {step: state.getName(), slot});
    }
    for (const {copyId} of state.takeObsolete()) {
      this.running.get(copyId)?.cancel();
      this.running.delete(copyId);
    }
    for (const [slot, releaseAnswer] of this.retainedAnswers) {
      if (state.hasReadySample(slot)) continue;
      this.retainedAnswers.delete(slot);
      releaseAnswer();
    }
  }

  /** Scores an answer. Scoring has no side effects, so failed calls are retried. */
  private async scoreAnswer(
    work: SlotWork,
    answer: CollectedAnswer,
  ): Promise<Result<Sample, ServiceError>> {
    const {prompt, slot, group, index} = work;
    const {text, finishReason, segments} = answer;
    let error = createError('internal', 'the answer was not scored');
    for (let attempt = 0; attempt < SCORE_ATTEMPTS; attempt++) {
      if (attempt > 0) await waitMs(RETRY_DELAY_MS * attempt);
      const scored = await this.options.scoring.scoreSample({prompt, text});
      if (scored.isOk()) {
        const score = scored.value;
        return ok({
          ...{slot, group, index, text, score},
          ...{finishReason, segments},
        });
      }
      error = scored.error;
    }
    return err(error);
  }

  private createRequest(work: SlotWork, isTail: boolean): DispatchRequest {
    const {state, incarnation} = this.options;
    const {customer, service} = state.options;
    const {slot, group, copyId} = work;
    const ruleSet = this.options.rules.getRuleSet();
    const priority = ruleSet?.getPriority(customer, service) ?? 0;
    return {
      requestId: formatRunId(state.identityKey, slot, incarnation, copyId),
      customer,
      service,
      work: {type: 'completion', bodyJson: formatBody(state, work)},
      isIdempotent: true,
      idempotencyKey: '',
      fingerprint: `${state.identityKey}/${group}`,
      prefixKey: hashText(work.prompt).toString(36),
      expectedTokens: work.expectedTokens,
      budgetMs: GENERATION_BUDGET_MS,
      priority: isTail ? priority : Math.min(LOWEST_PRIORITY, priority + 1),
      minVersion: work.minVersion,
    };
  }

  private readNowMs(): number {
    return this.options.clock.readMonotonicMs();
  }
}

function formatBody(state: StepState, work: SlotWork): string {
  return JSON.stringify({
    model: state.options.service,
    prompt: work.prompt,
    max_tokens: work.maxTokens,
    temperature: state.options.description.temperature,
    seed: work.index,
  });
}

/** Returns a service that fails each call, for a name not in the settings. */
export function createMissingScoring(name: string): ScoringService {
  const kind: ErrorKind = 'not-found';
  const error = createError(
    kind,
    `the settings define no scoring service ${name}`,
  );
  return {scoreSample: async () => err(error)};
}
