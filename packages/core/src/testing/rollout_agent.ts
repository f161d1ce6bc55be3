/** The agent of a rollout world: generates, and keeps whole answers. */
import type {RandomSource} from '../shared/clock';
import type {Sample} from '../rollout/step_schemas';
import type {VirtualNetwork} from './virtual_network';

const SHORT_RUN_MS = 200;
const LONG_RUN_MS = 3_000;
const LONG_RUN_SHARE = 0.1;
const HALF_BYTES = 4;

/** A whole answer that waits to be acknowledged. */
export interface UnacknowledgedSample {
  readonly runId: string;
  readonly slot: number;
  readonly segments: Sample['segments'];
}

/** Generates answers of random length. */
export class RolloutAgent {
  readonly name = 'agent';
  private readonly unacknowledged = new Map<string, UnacknowledgedSample>();
  private version = 0;
  private startedRuns = 0;

  private constructor(
    private readonly network: VirtualNetwork,
    private readonly random: RandomSource,
  ) {}

  /** Builds an agent whose engine is at version 0. */
  static create(network: VirtualNetwork, random: RandomSource): RolloutAgent {
    return new RolloutAgent(network, random);
  }

  /** Swaps the engine, also under running work. */
  swapWeights(version: number): void {
    this.version = Math.max(this.version, version);
  }

  /** Returns the version that the engine runs. */
  getVersion(): number {
    return this.version;
  }

  /** Runs a copy of a slot. */
  startRun(
    runId: string,
    slot: number,
    finish: (sample: UnacknowledgedSample) => void,
  ): void {
    this.startedRuns += 1;
    const isLong = this.random() < LONG_RUN_SHARE;
    const lengthMs = this.random() * (isLong ? LONG_RUN_MS : SHORT_RUN_MS);
    const first = this.version;
    this.network.schedule(lengthMs, () => {
      const sample = {runId, slot, segments: this.createSegments(first)};
      this.unacknowledged.set(runId, sample);
      finish(sample);
    });
  }

  private createSegments(first: number): Sample['segments'] {
    const end = 2 * HALF_BYTES;
    if (first === this.version) return [{version: first, from: 0, to: end}];
    return [
      {version: first, from: 0, to: HALF_BYTES},
      {version: this.version, from: HALF_BYTES, to: end},
    ];
  }

  /** Lists the answers that are kept. */
  listUnacknowledged(): UnacknowledgedSample[] {
    return [...this.unacknowledged.values()];
  }

  /** Forgets a kept answer. */
  acknowledgeRun(runId: string): void {
    this.unacknowledged.delete(runId);
  }

  /** Returns how many runs have been started. */
  countRuns(): number {
    return this.startedRuns;
  }
}
