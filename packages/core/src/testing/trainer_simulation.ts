/** Simulates trainers that submit a step at regular times and submit the groups
 * that were not complete in time again. */
import type {JobItem, JobState} from '../index';
import {BatchSimulation, createTestJob} from './batch_simulation';

/** Time from a submission after which a trainer ends its step, in ms: the run
 * deadline of the simulated route. */
const STEP_TIME_MS = 7_500;
const GROUP_SIZE = 4;

export interface TrainerOptions {
  readonly name: string;
  readonly groups: number;
  readonly desiredGroups: number;
  readonly intervalMs: number;
  readonly firstAtMs: number;
  /** Whether later steps allow the texts of earlier ones. */
  readonly keepsTexts?: boolean;
  readonly estimateTokens: (itemId: string) => number;
}

export class SimulatedTrainer {
  /** Number of groups that were complete in time. */
  groupsInTime = 0;
  /** Number of groups that trainers waited for in ended steps. */
  groupsAwaited = 0;
  private readonly open: JobState[] = [];
  private again: JobItem[] = [];
  private steps = 0;

  private constructor(private readonly options: TrainerOptions) {}

  static create(options: TrainerOptions): SimulatedTrainer {
    return new SimulatedTrainer(options);
  }

  /** Ends the steps that are complete or over, and submits the next when due. */
  advance(simulation: BatchSimulation): void {
    const {nowMs} = simulation;
    const {desiredGroups, firstAtMs, intervalMs} = this.options;
    for (const state of [...this.open]) {
      const complete = state.countCompleteGroups();
      const isOver = nowMs - state.acceptedAtMs >= STEP_TIME_MS;
      if (complete < desiredGroups && !isOver) continue;
      this.open.splice(this.open.indexOf(state), 1);
      this.groupsInTime += complete;
      this.groupsAwaited += desiredGroups;
      this.saveIncomplete(state);
      simulation.endJob(state.job.id);
    }
    if (nowMs >= firstAtMs + this.steps * intervalMs) this.submit(simulation);
  }

  private saveIncomplete(state: JobState): void {
    const incomplete = state.groups.filter(
      group => !group.items.every(item => item.phase === 'listed'),
    );
    this.again.push(
      ...incomplete.flatMap(group => group.items.map(({item}) => item)),
    );
  }

  private submit(simulation: BatchSimulation): void {
    const {name, groups, desiredGroups, estimateTokens} = this.options;
    // A trainer that publishes weights after each step.
    const version = this.options.keepsTexts ? 1 : 2 + this.steps;
    for (const engine of simulation.engines) {
      engine.version = Math.max(engine.version, version);
    }
    simulation.syncEngines();
    const repeatedItems = this.again.splice(0, groups * GROUP_SIZE);
    const job = createTestJob({
      id: `${name}${this.steps}`,
      groups: groups - repeatedItems.length / GROUP_SIZE,
      size: GROUP_SIZE,
      desiredGroups,
      minVersion: version,
      estimateTokens,
      repeatedItems,
    });
    this.steps += 1;
    this.open.push(simulation.submitJob(job));
  }
}
