/** The agent of a rollout simulation, which generates and stores answers. */
import type {RandomSource} from '../shared/clock';
import type {Sample} from '../rollout/step_schemas';
import type {VirtualNetwork} from './virtual_network';

const MAX_SHORT_RUN_MS = 200;
const MAX_LONG_RUN_MS = 3_000;
const LONG_RUN_SHARE = 0.1;
const HALF_ANSWER_BYTES = 4;

/** A complete answer that has not been acknowledged. */
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

  /** The engine starts at weight version 0. */
  static create(network: VirtualNetwork, random: RandomSource): RolloutAgent {
    return new RolloutAgent(network, random);
  }

  /** Swaps the engine's weights, also while it generates; never to older ones. */
  swapWeights(version: number): void {
    this.version = Math.max(this.version, version);
  }

  /** Returns the engine's weight version. */
  getVersion(): number {
    return this.version;
  }

  /** Generates an answer for a slot and calls `finish` when it is complete. */
  startRun(
    runId: string,
    slot: number,
    finish: (sample: UnacknowledgedSample) => void,
  ): void {
    this.startedRuns += 1;
    const isLong = this.random() < LONG_RUN_SHARE;
    const lengthMs =
      this.random() * (isLong ? MAX_LONG_RUN_MS : MAX_SHORT_RUN_MS);
    const firstVersion = this.version;
    this.network.schedule(lengthMs, () => {
      const sample = {runId, slot, segments: this.createSegments(firstVersion)};
      this.unacknowledged.set(runId, sample);
      finish(sample);
    });
  }

  private createSegments(firstVersion: number): Sample['segments'] {
    const end = 2 * HALF_ANSWER_BYTES;
    if (firstVersion === this.version) {
      return [{version: firstVersion, from: 0, to: end}];
    }
    return [
      {version: firstVersion, from: 0, to: HALF_ANSWER_BYTES},
      {version: this.version, from: HALF_ANSWER_BYTES, to: end},
    ];
  }

  listUnacknowledged(): UnacknowledgedSample[] {
    return [...this.unacknowledged.values()];
  }

  /** Removes the answer of an acknowledged run. */
  acknowledgeRun(runId: string): void {
    this.unacknowledged.delete(runId);
  }

  /** Returns the number of runs that have been started. */
  countRuns(): number {
    return this.startedRuns;
  }
}
