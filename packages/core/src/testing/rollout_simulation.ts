/**
 * Simulates a trainer, two entries and an agent on a virtual network, for fuzz
 * tests of rollout steps. There is no platform: an owner that does not know the
 * step receives it when the trainer repeats its PUT.
 */
import {createRandomSource} from '../shared/clock';
import {hashText} from '../shared/hash';
import type {PullReply, StepDescription} from '../rollout/step_schemas';
import {RolloutAgent} from './rollout_agent';
import {CreateStepOwner, RolloutEntry} from './rollout_entry';
import {NetworkFaults, VirtualNetwork} from './virtual_network';

const PULL_TIMEOUT_MS = 900;
const FINISH_STEP_MS = 200;
const MAX_FINISH_STEPS = 600;
const ENTRY_NAMES = ['entry-a', 'entry-b'];
const TRAINER = 'trainer';

/** The step that the trainer pulls. */
export const SIMULATED_STEP: StepDescription = {
  prompts: ['p0', 'p1', 'p2'].map(prompt => ({prompt, maxTokens: 40})),
  groupSize: 4,
  scoring: 'score',
  stalenessBound: 1,
  temperature: 1,
};

/** State that the trainer saves in its checkpoints. */
interface TrainerState {
  readonly cursor: string;
  /** Number of times that each slot has been received. */
  readonly received: ReadonlyMap<number, number>;
}

/** A pull sent by the trainer. */
export interface SentPull {
  readonly id: number;
  readonly cursor: string;
  readonly version: number;
}

/** One step of a trainer, with all nodes that take part in it. */
export class RolloutSimulation {
  readonly network: VirtualNetwork;
  private readonly agent: RolloutAgent;
  private readonly entries: RolloutEntry[];
  private readonly violations = new Set<string>();
  private readonly sentPulls: SentPull[] = [];
  private trainerState: TrainerState = {cursor: '', received: new Map()};
  private checkpoint: TrainerState = this.trainerState;
  private awaitedPullId = 0;
  private version = 0;
  private isComplete = false;

  private constructor(seed: number, createOwner: CreateStepOwner) {
    const random = createRandomSource(hashText(`${seed}`));
    this.network = VirtualNetwork.create(random);
    this.agent = RolloutAgent.create(this.network, random);
    this.entries = ENTRY_NAMES.map(name =>
      RolloutEntry.create({
        name,
        network: this.network,
        agent: this.agent,
        createOwner,
        findEntry: peer => this.entries.find(entry => entry.name === peer),
      }),
    );
  }

  /** `createOwner` creates the state of each owner of the step. */
  static create(seed: number, createOwner: CreateStepOwner): RolloutSimulation {
    return new RolloutSimulation(seed, createOwner);
  }

  /** Sends a pull of the trainer and abandons the previous one. */
  sendPull(entryIndex: number): void {
    if (this.isComplete) return;
    const {cursor} = this.trainerState;
    const pull = {id: this.sentPulls.length + 1, cursor, version: this.version};
    this.sentPulls.push(pull);
    this.awaitedPullId = pull.id;
    this.deliverPull(pull, entryIndex);
  }

  /** Delivers an earlier pull of the trainer again. */
  repeatPull(pullIndex: number, entryIndex: number): void {
    if (this.sentPulls.length === 0) return;
    this.deliverPull(
      this.sentPulls[pullIndex % this.sentPulls.length],
      entryIndex,
    );
  }

  private deliverPull(pull: SentPull, entryIndex: number): void {
    const entry = this.entries[entryIndex];
    this.network.sendMessage(TRAINER, entry.name, () =>
      entry.receivePull(pull, reply =>
        this.network.sendMessage(entry.name, TRAINER, () =>
          this.receiveReply(pull, reply, entry),
        ),
      ),
    );
  }

  /** Accepts a reply only to the pending call, as an HTTP client does. */
  private receiveReply(
    pull: SentPull,
    reply: PullReply | 'not-found',
    entry: RolloutEntry,
  ): void {
    if (this.awaitedPullId !== pull.id) return;
    this.awaitedPullId = 0;
    if (reply === 'not-found') {
      this.network.sendMessage(TRAINER, entry.name, () => entry.openStep());
    } else if (reply.version >= this.version) this.acceptReply(pull, reply);
  }

  private acceptReply(pull: SentPull, reply: PullReply): void {
    const received = new Map(this.trainerState.received);
    for (const {slot, segments} of reply.samples) {
      const timesReceived = (received.get(slot) ?? 0) + 1;
      received.set(slot, timesReceived);
      if (timesReceived > 1) this.violations.add('a slot was received twice');
      const oldest = Math.min(...segments.map(part => part.version));
      const newest = Math.max(pull.version, this.version);
      if (newest - oldest > SIMULATED_STEP.stalenessBound) {
        this.violations.add('a sample was over the bound');
      }
    }
    this.trainerState = {cursor: reply.cursor, received};
    this.isComplete = reply.complete;
  }

  /** Publishes a later version, to which the engine swaps after a delay. */
  publishVersion(step: number, swapDelayMs: number): void {
    this.version += step;
    const {version} = this;
    for (const entry of this.entries) {
      this.network.sendMessage(TRAINER, entry.name, () =>
        entry.observeVersion(version),
      );
    }
    this.network.schedule(swapDelayMs, () => this.agent.swapWeights(version));
  }

  /** Saves the trainer's state. */
  saveCheckpoint(): void {
    this.checkpoint = this.trainerState;
  }

  /** Restores the trainer's last checkpoint. */
  restoreCheckpoint(): void {
    this.trainerState = this.checkpoint;
    this.awaitedPullId = 0;
    this.isComplete = false;
  }

  /** Restarts an entry, which loses its state. */
  restartEntry(index: number): void {
    this.entries[index].restart();
  }

  /** Sets which entries an entry believes to be alive. */
  setAliveEntries(index: number, alive: readonly boolean[]): void {
    const aliveNames = ENTRY_NAMES.filter((_name, position) => alive[position]);
    this.entries[index].setAliveEntries(aliveNames);
  }

  /** Starts another copy of every slot that an entry is generating. */
  startCopies(index: number): void {
    this.entries[index].startCopies();
  }

  /** Sets the faults of the network. */
  setFaults(faults: NetworkFaults): void {
    this.network.setFaults(faults);
  }

  advanceMs(durationMs: number): void {
    this.network.advanceMs(durationMs);
  }

  /** Ends all faults and pulls until the step is complete. */
  finishStep(): void {
    this.network.setFaults({
      minDelayMs: 1,
      maxDelayMs: 5,
      dropShare: 0,
      duplicateShare: 0,
    });
    for (const entry of this.entries) entry.setAliveEntries(ENTRY_NAMES);
    for (let turn = 0; turn < MAX_FINISH_STEPS && !this.isComplete; turn++) {
      if (this.awaitedPullId === 0 || turn % PULL_TIMEOUT_STEPS === 0) {
        this.sendPull(0);
      }
      this.advanceMs(FINISH_STEP_MS);
    }
    const total = SIMULATED_STEP.prompts.length * SIMULATED_STEP.groupSize;
    if (this.trainerState.received.size !== total) {
      this.violations.add('a slot was never received');
    }
  }

  /** Lists the violations that the trainer has observed. */
  listViolations(): string[] {
    return [...this.violations].sort();
  }

  /** Returns the number of runs that the agent has started. */
  countRuns(): number {
    return this.agent.countRuns();
  }
}

const PULL_TIMEOUT_STEPS = Math.ceil(PULL_TIMEOUT_MS / FINISH_STEP_MS);
