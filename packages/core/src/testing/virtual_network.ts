/**
 * A virtual clock with a scheduler of messages that are delayed, dropped,
 * duplicated and reordered, for tests of decisions and protocols. All chance
 * comes from a seeded source.
 */
import type {Clock, RandomSource} from '../shared/clock';

/** What happens to messages on their way. */
export interface NetworkFaults {
  readonly minDelayMs: number;
  readonly maxDelayMs: number;
  /** Share of messages that are lost, from 0 to 1. */
  readonly dropShare: number;
  /** Share of messages that arrive twice, from 0 to 1. */
  readonly duplicateShare: number;
}

/** A network that delivers each message once after a short delay. */
export const RELIABLE_NETWORK: NetworkFaults = {
  minDelayMs: 1,
  maxDelayMs: 5,
  dropShare: 0,
  duplicateShare: 0,
};

/** Something that happens at a virtual time. */
interface ScheduledTask {
  readonly atMs: number;
  readonly order: number;
  readonly run: () => void;
}

/** Virtual time and the messages under way. */
export class VirtualNetwork implements Clock {
  private nowMs = 0;
  private nextOrder = 0;
  private tasks: ScheduledTask[] = [];
  private readonly cutNodes = new Set<string>();
  private readonly pausedNodes = new Map<string, Array<() => void>>();

  private constructor(
    private readonly random: RandomSource,
    private faults: NetworkFaults,
  ) {}

  /** Builds a network at time 0. */
  static create(
    random: RandomSource,
    faults: NetworkFaults = RELIABLE_NETWORK,
  ): VirtualNetwork {
    return new VirtualNetwork(random, faults);
  }

  readMonotonicMs(): number {
    return this.nowMs;
  }

  readWallMs(): number {
    return this.nowMs;
  }

  /** Changes what happens to messages sent from now on. */
  setFaults(faults: NetworkFaults): void {
    this.faults = faults;
  }

  /** Runs a task after a delay, whatever the network does. */
  schedule(delayMs: number, run: () => void): void {
    this.nextOrder += 1;
    this.tasks.push({atMs: this.nowMs + delayMs, order: this.nextOrder, run});
  }

  /** Sends a message from node to node; `receive` runs when it arrives. */
  sendMessage(from: string, to: string, receive: () => void): void {
    if (this.random() < this.faults.dropShare) return;
    this.deliverLater(from, to, receive);
    if (this.random() < this.faults.duplicateShare) {
      this.deliverLater(from, to, receive);
    }
  }

  private deliverLater(from: string, to: string, receive: () => void): void {
    const {minDelayMs, maxDelayMs} = this.faults;
    const spread = (maxDelayMs - minDelayMs) * this.random();
    this.schedule(minDelayMs + spread, () => {
      if (this.cutNodes.has(from) || this.cutNodes.has(to)) return;
      this.runAtNode(to, receive);
    });
  }

  /** Runs a task at a node, or when the node wakes if it is paused. */
  runAtNode(node: string, run: () => void): void {
    const held = this.pausedNodes.get(node);
    if (held === undefined) run();
    else held.push(run);
  }

  /** Cuts a node off: messages from and to it are lost on arrival. */
  cutNode(node: string): void {
    this.cutNodes.add(node);
  }

  /** Ends a cut. */
  healNode(node: string): void {
    this.cutNodes.delete(node);
  }

  /** Pauses a node: what arrives is held until it wakes. */
  pauseNode(node: string): void {
    if (!this.pausedNodes.has(node)) this.pausedNodes.set(node, []);
  }

  /** Wakes a paused node and runs what was held for it. */
  wakeNode(node: string): void {
    const held = this.pausedNodes.get(node) ?? [];
    this.pausedNodes.delete(node);
    for (const run of held) run();
  }

  /** Lets virtual time pass and runs what falls due. */
  advanceMs(durationMs: number): void {
    const endMs = this.nowMs + durationMs;
    for (;;) {
      const next = this.takeNextTask(endMs);
      if (next === undefined) break;
      this.nowMs = Math.max(this.nowMs, next.atMs);
      next.run();
    }
    this.nowMs = endMs;
  }

  private takeNextTask(endMs: number): ScheduledTask | undefined {
    const due = this.tasks.filter(task => task.atMs <= endMs);
    if (due.length === 0) return undefined;
    const next = due.reduce((first, task) =>
      task.atMs < first.atMs ||
      (task.atMs === first.atMs && task.order < first.order)
        ? task
        : first,
    );
    this.tasks = this.tasks.filter(task => task !== next);
    return next;
  }
}
