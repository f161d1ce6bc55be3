/**
 * A trainer, two entries and an agent on a virtual network, for fuzzing of
 * rollout steps. There is no platform: a home that does not know the step has
 * it from the trainer's repeated PUT.
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

/** The step of the world. */
export const SIMULATED_STEP: StepDescription = {
  prompts: ['p0', 'p1', 'p2'].map(prompt => ({prompt, maxTokens: 40})),
  groupSize: 4,
  scoring: 'score',
  stalenessBound: 1,
  temperature: 1,
};

/** What the trainer keeps, and saves in its checkpoints. */
interface TrainerState {
  readonly cursor: string;
  /** How often each slot has been received. */
  readonly received: ReadonlyMap<number, number>;
}

/** A pull as the trainer sent it. */
export interface SentPull {
  readonly id: number;
  readonly cursor: string;
  readonly version: number;
}

/** A step of a trainer with everything that takes part in it. */
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

  private constructor(seed: number, createHome: CreateStepOwner) {
    const random = createRandomSource(hashText(`${seed}`));
    this.network = VirtualNetwork.create(random);
    this.agent = RolloutAgent.create(this.network, random);
    this.entries = ENTRY_NAMES.map(name =>
      RolloutEntry.create({
        name,
        network: this.network,
        agent: this.agent,
        createOwner: createHome,
        findEntry: peer => this.entries.find(entry => entry.name === peer),
      }),
    );
  }

  /** Builds a world in which nothing has happened. */
  static create(seed: number, createHome: CreateStepOwner): RolloutSimulation {
    return new RolloutSimulation(seed, createHome);
  }

  /** Sends a pull of the trainer, and gives up the one before. */
  sendPull(entryIndex: number): void {
    if (this.isComplete) return;
    const {cursor} = this.trainerState;
    const pull = {id: this.sentPulls.length + 1, cursor, version: this.version};
    this.sentPulls.push(pull);
    this.awaitedPullId = pull.id;
    this.deliverPull(pull, entryIndex);
  }

  /** Lets an earlier pull of the trainer arrive once more. */
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

  /** Takes a reply as an HTTP client does: only to the call it waits for. */
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

  /** Publishes a version; engines swap some time later. */
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

  /** The trainer saves what it has. */
  saveCheckpoint(): void {
    this.checkpoint = this.trainerState;
  }

  /** The trainer goes back to its last checkpoint. */
  restoreCheckpoint(): void {
    this.trainerState = this.checkpoint;
    this.awaitedPullId = 0;
    this.isComplete = false;
  }

  /** Kills an entry; it starts again without memory. */
  restartEntry(index: number): void {
    this.entries[index].restart();
  }

  /** Changes which entries an entry believes to be alive. */
  setAliveEntries(index: number, alive: readonly boolean[]): void {
    const others = ENTRY_NAMES.filter((_name, at) => alive[at]);
    this.entries[index].setAliveEntries(others);
  }

  /** Starts second copies of whatever is being generated. */
  startCopies(index: number): void {
    this.entries[index].startCopies();
  }

  /** Changes what happens to messages. */
  setFaults(faults: NetworkFaults): void {
    this.network.setFaults(faults);
  }

  /** Lets time pass. */
  advanceMs(durationMs: number): void {
    this.network.advanceMs(durationMs);
  }

  /** Ends all faults and pulls until the step is whole. */
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

  /** Lists what the trainer has seen go wrong. */
  listViolations(): string[] {
    return [...this.violations].sort();
  }

  /** Returns how many runs the agent has started. */
  countRuns(): number {
    return this.agent.countRuns();
  }
}

const PULL_TIMEOUT_STEPS = Math.ceil(PULL_TIMEOUT_MS / FINISH_STEP_MS);
