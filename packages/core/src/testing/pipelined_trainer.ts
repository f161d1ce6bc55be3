/**
 * Simulates a trainer that has two steps open at once: it submits a step at a
 * regular time, once the version of that step is announced, and announces the
 * next version but one when a step is complete. A step allows its own version and
 * the one before. Groups that were not complete when a step ended are part of the
 * next one, which always waits for them.
 */
import type {JobItem, JobState} from '../index';
import {BatchSimulation, createTestJob} from './batch_simulation';

const INTERVAL_MS = 4_000;
const TRAINING_MS = 500;
/** Time that the trainer allows for a step, in ms. */
const STEP_LIMIT_MS = 12_000;
const GROUP_SIZE = 4;

/** A step that has ended. */
export interface EndedStep {
  readonly durationMs: number;
  /** The new groups, as lists of item IDs; those carried over are left out. */
  readonly newGroups: ReadonlyArray<readonly string[]>;
  /** Number of new groups that the trainer waited for. */
  readonly neededGroups: number;
}

export interface PipelinedTrainerOptions {
  readonly groups: number;
  readonly desiredGroups: number;
  readonly estimateTokens: (itemId: string) => number;
}

export class PipelinedTrainer {
  readonly endedSteps: EndedStep[] = [];
  private steps = 0;
  private newestVersion = 1;
  private readonly open: JobState[] = [];
  private again: JobItem[] = [];
  private readonly announcements: number[] = [];

  private constructor(private readonly options: PipelinedTrainerOptions) {}

  static create(options: PipelinedTrainerOptions): PipelinedTrainer {
    return new PipelinedTrainer(options);
  }

  /** Ends the steps that are complete, announces versions, and submits the next
   * step when it is due. */
  advance(simulation: BatchSimulation): void {
    const {nowMs} = simulation;
    for (const state of [...this.open]) {
      const tookMs = nowMs - state.acceptedAtMs;
      const isComplete = this.isComplete(state);
      if (!isComplete && tookMs < STEP_LIMIT_MS) continue;
      this.endedSteps.push(describeStep(state, tookMs));
      this.open.splice(this.open.indexOf(state), 1);
      this.again.push(...listIncomplete(state));
      simulation.endJob(state.job.id);
      this.announcements.push(nowMs + TRAINING_MS);
    }
    while (this.announcements[0] <= nowMs) {
      this.announcements.shift();
      this.newestVersion += 1;
      simulation.scheduler.setNewestVersion('m', this.newestVersion, nowMs);
    }
    const dueAtMs = this.steps * INTERVAL_MS;
    if (nowMs < dueAtMs || this.newestVersion < this.steps) return;
    this.submit(simulation);
  }

  private isComplete(state: JobState): boolean {
    const hasCarried = state.groups
      .filter(group => group.isCarried)
      .every(group => group.items.every(({phase}) => phase === 'listed'));
    return (
      hasCarried && state.countCompleteGroups() >= this.options.desiredGroups
    );
  }

  private submit(simulation: BatchSimulation): void {
    const {groups, desiredGroups, estimateTokens} = this.options;
    const repeatedItems = this.again.splice(0);
    const job = createTestJob({
      id: `s${this.steps}`,
      groups: groups - repeatedItems.length / GROUP_SIZE,
      size: GROUP_SIZE,
      desiredGroups,
      minVersion: Math.max(1, this.steps - 1),
      estimateTokens,
      repeatedItems,
    });
    this.steps += 1;
    this.open.push(simulation.submitJob(job));
  }
}

function describeStep(state: JobState, durationMs: number): EndedStep {
  const {groups, job} = state;
  const newGroups = groups
    .filter(group => !group.isCarried)
    .map(group => group.items.map(({item}) => item.id));
  const carried = groups.length - newGroups.length;
  return {durationMs, newGroups, neededGroups: job.desiredGroups - carried};
}

function listIncomplete(state: JobState): JobItem[] {
  return state.groups
    .filter(group => !group.items.every(({phase}) => phase === 'listed'))
    .flatMap(group => group.items.map(({item}) => item));
}
