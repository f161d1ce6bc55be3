/**
 * A small fake of a trainer: it opens steps ahead, pulls a minibatch when it
 * is free, trains on it and publishes a version. The state of each step is the
 * real one; generation goes through the trainer's home entry.
 */
import {Sample, SlotWork, StepState} from '@sassafrasspan/core';
import type {TrainerPlan} from './deployments';
import {drawSampleTokens, estimateGroupTokens} from './draws';
import type {BenchAnswer, FakeEntry} from './fake_entry';
import type {RunStats} from './run_stats';
import type {VirtualClock} from './virtual_clock';

const GROUPS = 24;
const GROUP_SIZE = 8;
const MINIBATCH = 48;
const TRAIN_MS = 10_000;
const POLL_MS = 200;
const OPEN_STEPS = 2;
const SCORING_MS = 50;
const RETRY_DELAY_MS = 1_000;
const GENERATION_BUDGET_MS = 600_000;
const ROLLOUT_PRIORITY = 5;
const MAX_TOKENS = 2_000;

/** What a trainer is built from. */
export interface FakeTrainerOptions {
  readonly plan: TrainerPlan;
  readonly service: string;
  readonly entry: FakeEntry;
  readonly clock: VirtualClock;
  readonly stats: RunStats;
  readonly seed: number;
  /** Spreads a version to the engines; false while it cannot. */
  publishVersion(trainer: string, version: number): boolean;
}

/** One open step. */
interface OpenStep {
  readonly number: number;
  readonly state: StepState;
  cursor: string;
}

/** One trainer. */
export class FakeTrainer {
  private readonly steps: OpenStep[] = [];
  private version = 0;
  private nextStep = 1;
  private buffered = 0;
  private waitingSinceMs = 0;
  private isWaiting = true;

  private constructor(private readonly options: FakeTrainerOptions) {}

  /** Builds a trainer and starts it. */
  static create(options: FakeTrainerOptions): FakeTrainer {
    const trainer = new FakeTrainer(options);
    trainer.openSteps();
    trainer.pollSamples();
    options.clock.repeat(POLL_MS, () => trainer.advance());
    return trainer;
  }

  private openSteps(): void {
    while (this.steps.length < OPEN_STEPS) {
      this.steps.push(this.createStep(this.nextStep));
      this.nextStep += 1;
    }
    this.advance();
  }

  private createStep(number: number): OpenStep {
    const {plan, service, seed} = this.options;
    const step = `${seed}/${number}`;
    const prompts = Array.from({length: GROUPS}, (_, group) => ({
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
    });
    return {number, state, cursor: ''};
  }

  /** Starts generation for slots that need a sample. */
  private advance(): void {
    const {entry, service, clock} = this.options;
    const nowMs = clock.readMonotonicMs();
    const serving = entry.fleet.listServing(service, nowMs);
    const slots = serving.reduce((sum, item) => sum + item.slots, 0);
    for (const step of this.steps) {
      const limit = Math.max(0, slots - step.state.countInFlight());
      for (const work of step.state.takeWork(limit)) this.fillSlot(step, work);
    }
  }

  private fillSlot(step: OpenStep, work: SlotWork): void {
    const {plan, service, entry} = this.options;
    const tokens = drawSampleTokens(work.prompt, work.index);
    entry.submit(
      {
        requestId: `${work.prompt}/${work.index}/${work.generation}`,
        service,
        customer: plan.name,
        run: {
          tokens,
          plainMs: 0,
          prefixKey: work.prompt,
          trainer: plan.name,
        },
        expectedTokens: work.expectedTokens,
        priority: ROLLOUT_PRIORITY,
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
    const {version} = answer;
    const delayMs = version === undefined ? RETRY_DELAY_MS : SCORING_MS;
    this.options.clock.schedule(delayMs, () => {
      if (version === undefined) step.state.releaseSlot(work.slot);
      else step.state.addSample(createSample(work, version, tokens));
    });
  }

  /** Pulls until a minibatch is whole, then trains on it. */
  private pollSamples(): void {
    this.pullSamples();
    const isLast = this.steps[0].state.isComplete();
    if (this.buffered < MINIBATCH && !(isLast && this.buffered > 0)) {
      if (isLast) this.closeStep();
      this.options.clock.schedule(POLL_MS, () => this.pollSamples());
      return;
    }
    if (isLast) this.closeStep();
    this.startTraining();
  }

  private pullSamples(): void {
    const step = this.steps[0];
    const before = step.state;
    const reply = before.pullSamples({
      cursor: step.cursor,
      trainerVersion: this.version,
      maxSamples: MINIBATCH - this.buffered,
    });
    if (reply.isErr()) return;
    const {samples, cursor, complete, droppedStale} = reply.value;
    step.cursor = cursor;
    this.buffered += samples.length;
    this.recordSamples(samples, droppedStale, step);
    if (complete) {
      before.pullSamples({
        cursor,
        trainerVersion: this.version,
        maxSamples: 0,
      });
    }
  }

  private recordSamples(
    samples: readonly Sample[],
    droppedStale: number,
    step: OpenStep,
  ): void {
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
    const {clock, stats, plan} = this.options;
    const nowMs = clock.readMonotonicMs();
    stats.getTrainer(plan.name).idleMs += nowMs - this.waitingSinceMs;
    this.isWaiting = false;
    const trainMs = TRAIN_MS * (this.buffered / MINIBATCH);
    this.buffered = 0;
    clock.schedule(trainMs, () => {
      this.isWaiting = true;
      this.waitingSinceMs = clock.readMonotonicMs();
      const isPublished = this.options.publishVersion(
        plan.name,
        this.version + 1,
      );
      if (isPublished) this.version += 1;
      this.pollSamples();
    });
  }

  /** Adds the wait that the end of the run cuts off. */
  closeStats(endMs: number): void {
    const {stats, plan} = this.options;
    const trainer = stats.getTrainer(plan.name);
    if (this.isWaiting) trainer.idleMs += endMs - this.waitingSinceMs;
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
