/**
 * A network on a virtual clock that delays, drops, duplicates and reorders
 * messages, for tests of decisions and protocols. With a seeded random source
 * every run is reproducible.
 */
import type {Clock, RandomSource} from '../shared/clock';

/** Faults of message delivery. */
export interface NetworkFaults {
  readonly minDelayMs: number;
  readonly maxDelayMs: number;
  /** Share of messages that are lost, from 0 to 1. */
  readonly dropShare: number;
  /** Share of messages that arrive twice, from 0 to 1. */
  readonly duplicateShare: number;
}

/** Delivers each message once after a short delay. */
export const RELIABLE_NETWORK: NetworkFaults = {
  minDelayMs: 1,
  maxDelayMs: 5,
  dropShare: 0,
  duplicateShare: 0,
};

/** A task that is due at a virtual time. */
interface ScheduledTask {
  readonly atMs: number;
  readonly order: number;
  readonly run: () => void;
}

/** Virtual time, the nodes' connectivity and the messages in transit. */
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

  /** The virtual time starts at 0. */
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

  /** Sets the faults of messages sent from now on. */
  setFaults(faults: NetworkFaults): void {
    this.faults = faults;
  }

  /** Runs a task after a delay, independent of the network's faults. */
  schedule(delayMs: number, run: () => void): void {
    this.nextOrder += 1;
    this.tasks.push({atMs: this.nowMs + delayMs, order: this.nextOrder, run});
  }

  /** Sends a message between nodes; `receive` is called when it arrives. */
  sendMessage(from: string, to: string, receive: () => void): void {
    if (this.random() < this.faults.dropShare) return;
    this.deliverLater(from, to, receive);
    if (this.random() < this.faults.duplicateShare) {
      this.deliverLater(from, to, receive);
    }
  }

  private deliverLater(from: string, to: string, receive: () => void): void {
    const {minDelayMs, maxDelayMs} = this.faults;
    const jitterMs = (maxDelayMs - minDelayMs) * this.random();
    this.schedule(minDelayMs + jitterMs, () => {
      if (this.cutNodes.has(from) || this.cutNodes.has(to)) return;
      this.runAtNode(to, receive);
    });
  }

  /** Runs a task at a node at once, or after it wakes if it is paused. */
  runAtNode(node: string, run: () => void): void {
    const queuedTasks = this.pausedNodes.get(node);
    if (queuedTasks === undefined) run();
    else queuedTasks.push(run);
  }

  /** Isolates a node: messages from and to it are lost on arrival. */
  cutNode(node: string): void {
    this.cutNodes.add(node);
  }

  /** Ends the isolation of a node. */
  healNode(node: string): void {
    this.cutNodes.delete(node);
  }

  /** Pauses a node: messages that arrive are queued until it wakes. */
  pauseNode(node: string): void {
    if (!this.pausedNodes.has(node)) this.pausedNodes.set(node, []);
  }

  /** Wakes a paused node and runs the tasks queued for it. */
  wakeNode(node: string): void {
    const queuedTasks = this.pausedNodes.get(node) ?? [];
    this.pausedNodes.delete(node);
    for (const run of queuedTasks) run();
  }

  /** Advances virtual time and runs the tasks that are due. */
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
    const next = due.reduce((earliest, task) =>
      task.atMs < earliest.atMs ||
      (task.atMs === earliest.atMs && task.order < earliest.order)
        ? task
        : earliest,
    );
    this.tasks = this.tasks.filter(task => task !== next);
    return next;
  }
}
