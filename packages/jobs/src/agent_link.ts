/**
 * The coordinator's link to one agent: successive long-polling calls that
 * return updates, and calls that send orders. A failed call is retried; an
 * agent that stays silent is reported lost, so that its runs are rescheduled.
 */
import {
  AgentCommands,
  Clock,
  EndpointOrders,
  RejectedUpdate,
  SYNC_ANSWER_FRAME_SCHEMA,
  ServiceError,
  SyncAnswer,
  readUpdates,
} from '@sassafrasspan/core';
import {DONE_SCHEMA} from './job_messages';
import type {PeerClient} from '@sassafrasspan/peers';
import {PeerAddress, waitMs} from '@sassafrasspan/runtime';

/** Maximum time that an agent holds a sync call without updates, in ms. */
const SYNC_WAIT_MS = 500;
/** Time added to that for the timeout of the call, in ms. */
const SYNC_MARGIN_MS = 350;
/** Delay after a failed sync call, in ms. */
const RETRY_MS = 60;
/** Time without contact after which an agent is lost, in ms: two silent
 * calls. */
const LOST_MS = 1_000;
/** Timeout of a call that sends orders, in ms. */
const COMMAND_TIMEOUT_MS = 400;
/** Number of times that orders are sent; agents start each run only once. */
const COMMAND_ATTEMPTS = 2;

export interface AgentLinkOptions {
  readonly address: PeerAddress;
  /** Name of the coordinator's node. */
  readonly coordinator: string;
  readonly epoch: number;
  readonly peers: PeerClient;
  readonly clock: Clock;
  /** Receives an answer, and what of it could not be read. */
  readonly onSynced: (
    answer: SyncAnswer,
    rejected: readonly RejectedUpdate[],
  ) => void;
  readonly onLost: (detail: string) => void;
  /** Called when the agent reports that a later coordinator has taken over. */
  readonly onSuperseded: (detail: string) => void;
}

/** Must be started with `run`. */
export class AgentLink {
  /** Number of the last answer that was received. */
  private lastSequence = 0;
  /** The agent's monotonic clock in its last answer. */
  private agentTimeMs = 0;
  /** When that answer arrived, on the coordinator's monotonic clock. */
  private agentTimeReadAtMs = 0;
  private lastContactAtMs = -Infinity;
  private isLost = true;
  private isStopped = false;
  private pendingReleases: string[] = [];
  private readonly controller = new AbortController();

  private constructor(private readonly options: AgentLinkOptions) {}

  static create(options: AgentLinkOptions): AgentLink {
    return new AgentLink(options);
  }

  /** Receives the agent's updates until stopped. */
  async run(): Promise<void> {
    while (!this.isStopped) {
      const isSynced = await this.sync();
      if (this.isStopped) return;
      if (!isSynced) await waitMs(RETRY_MS);
    }
  }

  /** Stops the link and cancels its calls. */
  stop(): void {
    this.isStopped = true;
    this.controller.abort();
  }

  /** Lets the agent evict runs whose results are stored or not needed. */
  releaseRuns(runIds: readonly string[]): void {
    this.pendingReleases.push(...runIds);
  }

  /** Sends orders; returns false when the agent may not have received them. */
  async send(orders: EndpointOrders): Promise<boolean> {
    const {coordinator, epoch, address, peers} = this.options;
    const sinceMs =
      this.options.clock.readMonotonicMs() - this.agentTimeReadAtMs;
    const commands: AgentCommands = {
      home: coordinator,
      epoch,
      tick: this.agentTimeMs + sinceMs,
      starts: orders.starts,
      stops: orders.stops,
      loads: orders.loads,
    };
    for (let attempt = 0; attempt < COMMAND_ATTEMPTS; attempt++) {
      const reply = await peers.call({
        address,
        path: '/agent/commands',
        body: commands,
        schema: DONE_SCHEMA,
        timeoutMs: COMMAND_TIMEOUT_MS,
        signal: this.controller.signal,
      });
      if (reply.isOk()) return true;
      if (this.checkSuperseded(reply.error) || this.isStopped) return false;
    }
    return false;
  }

  private async sync(): Promise<boolean> {
    const {coordinator, epoch, address, peers, clock} = this.options;
    const releases = this.pendingReleases;
    this.pendingReleases = [];
    const reply = await peers.call({
      address,
      path: '/agent/sync',
      body: {
        home: coordinator,
        epoch,
        madeAtMs: clock.readMonotonicMs(),
        after: this.lastSequence,
        releases,
        waitMs: SYNC_WAIT_MS,
        isAnew: this.isLost,
      },
      schema: SYNC_ANSWER_FRAME_SCHEMA,
      timeoutMs: SYNC_WAIT_MS + SYNC_MARGIN_MS,
      signal: this.controller.signal,
    });
    if (this.isStopped) return false;
    const nowMs = clock.readMonotonicMs();
    if (reply.isErr()) {
      this.pendingReleases.unshift(...releases);
      this.checkSuperseded(reply.error);
      const isAbsent = reply.error.kind === 'peer-absent';
      const isSilent = isAbsent || nowMs - this.lastContactAtMs > LOST_MS;
      if (isSilent && !this.isLost) {
        this.isLost = true;
        this.options.onLost(reply.error.detail);
      }
      return false;
    }
    this.lastContactAtMs = nowMs;
    this.isLost = false;
    this.lastSequence = reply.value.sequence;
    this.agentTimeMs = reply.value.tick;
    this.agentTimeReadAtMs = nowMs;
    const {updates, rejected} = readUpdates(reply.value.updates);
    this.options.onSynced({...reply.value, updates}, rejected);
    return true;
  }

  private checkSuperseded(error: ServiceError): boolean {
    if (error.kind !== 'not-home') return false;
    this.options.onSuperseded(error.detail);
    return true;
  }
}
