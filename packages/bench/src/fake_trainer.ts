/**
 * Fake trainer: it opens steps ahead of time, pulls a minibatch whenever it is
 * not training, trains on it and publishes a new version. It uses the real
 * step state of the core and sends all generation through one entry.
 */
import {
  RolloutPolicy,
  RolloutView,
  Sample,
  SlotStart,
  SlotWork,
  StepState,
  VersionTracker,
} from '@sassafrasspan/core';
import type {StepPool} from '@sassafrasspan/server/step_pool';
import type {TrainerPlan} from './deployments';
import {drawSampleTokens, estimateGroupTokens} from './draws';
import type {BenchAnswer, FakeEntry} from './fake_entry';
import {RunProgress} from './run_progress';
import type {RunStats} from './run_stats';
import type {VirtualClock} from './virtual_clock';

const GROUPS_PER_STEP = 24;
const GROUP_SIZE = 8;
const MINIBATCH_SAMPLES = 48;
const TRAINING_MS = 14_000;
const POLL_INTERVAL_MS = 200;
const MAX_OPEN_STEPS = 2;
const SCORING_MS = 50;
const RETRY_DELAY_MS = 1_000;
const GENERATION_BUDGET_MS = 600_000;
const ROLLOUT_PRIORITY = 5;
const MAX_TOKENS = 2_000;

export interface FakeTrainerOptions {
  readonly plan: TrainerPlan;
  readonly service: string;
  readonly entry: FakeEntry;
  readonly pool: StepPool;
  readonly policy: RolloutPolicy;
  readonly clock: VirtualClock;
  readonly stats: RunStats;
  readonly seed: number;
  /** Time in ms before which nothing is counted. */
  readonly warmUpMs: number;
  /** Publishes a version to the engines; returns false if it cannot now. */
  publishVersion(trainer: string, version: number): boolean;
  /** Returns the newest version that is active on any engine. */
  readServedVersion(trainer: string): number;
}

/** A copy of a slot that is being generated. */
interface OpenCopy {
  readonly progress: RunProgress;
  /** Tokens reported to the step state so far. */
  recordedTokens: number;
  cancel: () => void;
}

interface OpenStep {
  readonly number: number;
  readonly state: StepState;
  readonly copies: Map<number, OpenCopy>;
  cursor: string;
}

/** Trains on the samples of its open steps, oldest step first. */
export class FakeTrainer {
  private readonly steps: OpenStep[] = [];
  private readonly versionTracker = VersionTracker.create();
  private version = 0;
  private nextStep = 1;
  private bufferedSamples = 0;
  private waitingSinceMs = 0;
  private isWaiting = true;

  private constructor(private readonly options: FakeTrainerOptions) {}

  /** Creates a trainer and schedules its work on the clock. */
  static create(options: FakeTrainerOptions): FakeTrainer {
    const trainer = new FakeTrainer(options);
    trainer.openSteps();
    trainer.pollSamples();
    options.clock.repeat(POLL_INTERVAL_MS, () => trainer.advance());
    return trainer;
  }

  private openSteps(): void {
    while (this.steps.length < MAX_OPEN_STEPS) {
      this.steps.push(this.createStep(this.nextStep));
      this.nextStep += 1;
    }
    this.advance();
  }

  private createStep(number: number): OpenStep {
    const {plan, service, seed} = this.options;
    const step = `${seed}/${number}`;
    const prompts = Array.from({length: GROUPS_PER_STEP}, (_, group) => ({
      prompt: `${plan.name}/${step}/${group}`,
      maxTokens: MAX_TOKENS,
      expectedTokens: estimateGroupTokens(`${plan.name}/${step}/${group}`),
    }));
    const state = StepState.create({
      trainer: plan.name,
      step,
      customer: plan.name,
      service,
      description: {
        prompts,
        groupSize: GROUP_SIZE,
        scoring: 'judge',
        stalenessBound: plan.stalenessBound,
        temperature: 1,
      },
      stalenessBound: plan.stalenessBound,
      readRuleStalenessBound: () => undefined,
    });
    return {number, state, cursor: '', copies: new Map()};
  }

  /** Reports progress to the steps and starts the copies that are planned. */
  private advance(): void {
    const {policy} = this.options;
    for (const step of this.steps) this.observeProgress(step);
    for (const start of policy.planStarts(this.createView())) {
      const step = this.steps.find(
        item => item.state.getName() === start.stepName,
      );
      if (step !== undefined) this.startCopy(step, start);
    }
  }

  private createView(): RolloutView {
    const {clock, plan, pool, service} = this.options;
    const nowMs = clock.readMonotonicMs();
    const inFlight = this.steps.map(step => step.state.countInFlight());
    const ownCopies = inFlight.reduce((sum, count) => sum + count, 0);
    const timing = this.versionTracker.describe(nowMs);
    return {
      nowMs,
      pool: {
        ...pool.describeSupply(service, ownCopies),
        servedVersion: this.options.readServedVersion(plan.name),
        versionIntervalMs: timing.intervalMs,
        sinceVersionMs: timing.sinceNewestMs,
      },
      steps: this.steps.map(step =>
        step.state.describeDemand(plan.idleWeight, nowMs),
      ),
    };
  }

  private observeProgress(step: OpenStep): void {
    const nowMs = this.options.clock.readMonotonicMs();
    for (const [copyId, copy] of step.copies) {
      const tokens = copy.progress.countTokens(nowMs);
      step.state.addTokens(copyId, tokens - copy.recordedTokens);
      copy.recordedTokens = tokens;
    }
  }

  private startCopy(step: OpenStep, start: SlotStart): void {
    const {plan, service, entry, clock} = this.options;
    const work = step.state.startCopy(start.slot, clock.readMonotonicMs());
    const tokens = drawSampleTokens(work.prompt, work.index);
    const progress = RunProgress.create(tokens);
    const copy: OpenCopy = {
      progress,
      recordedTokens: 0,
      cancel: () => undefined,
    };
    step.copies.set(work.copyId, copy);
    copy.cancel = entry.submit(
      {
        requestId: `${work.prompt}/${work.index}/${work.copyId}`,
        service,
        customer: plan.name,
        run: {
          tokens,
          plainMs: 0,
          prefixKey: work.prompt,
          trainer: plan.name,
          progress,
        },
        expectedTokens: work.expectedTokens,
        priority: start.isTail ? ROLLOUT_PRIORITY - 1 : ROLLOUT_PRIORITY,
        budgetMs: GENERATION_BUDGET_MS,
      },
      answer => this.handleAnswer(step, work, answer, tokens),
    );
  }

  private handleAnswer(
    step: OpenStep,
    work: SlotWork,
    answer: BenchAnswer,
    tokens: number,
  ): void {
    const {clock} = this.options;
    const {version} = answer;
    step.copies.delete(work.copyId);
    if (version === undefined) {
      const retryAtMs = clock.readMonotonicMs() + RETRY_DELAY_MS;
      return step.state.failCopy(work.copyId, retryAtMs);
    }
    clock.schedule(SCORING_MS, () => {
      const sample = createSample(work, version, tokens);
      step.state.addSample(work.copyId, sample, tokens);
      this.cancelObsoleteCopies(step);
      this.advance();
    });
  }

  private cancelObsoleteCopies(step: OpenStep): void {
    for (const {copyId} of step.state.takeObsolete()) {
      step.copies.get(copyId)?.cancel();
      step.copies.delete(copyId);
    }
  }

  /** Pulls until a minibatch is full or the step ends, then trains on it. */
  private pollSamples(): void {
    const isLast = this.pullSamples();
    const isFull = this.bufferedSamples >= MINIBATCH_SAMPLES;
    if (isLast) this.closeStep();
    if (isFull || (isLast && this.bufferedSamples > 0)) {
      return this.startTraining();
    }
    this.options.clock.schedule(POLL_INTERVAL_MS, () => this.pollSamples());
  }

  /** Pulls from the oldest step; returns whether that step is complete. */
  private pullSamples(): boolean {
    const step = this.steps[0];
    const pull = step.state.openPull({
      cursor: step.cursor,
      trainerVersion: this.version,
      maxSamples: MINIBATCH_SAMPLES - this.bufferedSamples,
    });
    if (pull.isErr()) return false;
    const reply = step.state.answerPull(pull.value);
    step.cursor = reply.cursor;
    this.bufferedSamples += reply.samples.length;
    this.recordSamples(reply.samples, reply.droppedStale, step);
    return reply.complete;
  }

  private recordSamples(
    samples: readonly Sample[],
    droppedStale: number,
    step: OpenStep,
  ): void {
    if (this.options.clock.readMonotonicMs() < this.options.warmUpMs) return;
    const stats = this.options.stats.getTrainer(this.options.plan.name);
    stats.droppedByStep.set(step.number, droppedStale);
    stats.delivered += samples.length;
    for (const sample of samples) {
      stats.staleness.push(this.version - sample.segments[0].version);
    }
  }

  private closeStep(): void {
    this.steps.shift();
    this.openSteps();
  }

  private startTraining(): void {
    const {clock, plan} = this.options;
    const nowMs = clock.readMonotonicMs();
    this.recordIdle(nowMs);
    this.isWaiting = false;
    const trainMs = TRAINING_MS * (this.bufferedSamples / MINIBATCH_SAMPLES);
    this.bufferedSamples = 0;
    clock.schedule(trainMs, () => {
      this.isWaiting = true;
      this.waitingSinceMs = clock.readMonotonicMs();
      const isPublished = this.options.publishVersion(
        plan.name,
        this.version + 1,
      );
      if (isPublished) this.version += 1;
      this.versionTracker.observeVersion(this.version, this.waitingSinceMs);
      this.pollSamples();
    });
  }

  /** Records the wait that ends now, except its part during the warm-up. */
  private recordIdle(nowMs: number): void {
    const {stats, plan, warmUpMs} = this.options;
    const fromMs = Math.max(warmUpMs, this.waitingSinceMs);
    stats.getTrainer(plan.name).idleMs += Math.max(0, nowMs - fromMs);
  }

  /** Records a wait that is still open when the run ends. */
  recordFinalIdle(endMs: number): void {
    if (this.isWaiting) this.recordIdle(endMs);
  }
}

function createSample(work: SlotWork, version: number, tokens: number): Sample {
  return {
    slot: work.slot,
    group: work.group,
    index: work.index,
    text: '',
    score: 0,
    finishReason: 'stop',
    segments: [{version, from: 0, to: tokens}],
  };
}
