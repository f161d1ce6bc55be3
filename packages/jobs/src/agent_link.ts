/**
 * The link of a home to one agent: a chain of calls that bring what is new,
 * and calls that carry orders. A link that is silent is opened anew; a lasting
 * silence is reported, so that runs go elsewhere.
 */
import {
  AgentCommands,
  Clock,
  EndpointOrders,
  SYNC_ANSWER_SCHEMA,
  ServiceError,
  SyncAnswer,
} from '@sassafrasspan/core';
import {DONE_SCHEMA} from './job_messages';
import type {PeerClient} from '@sassafrasspan/peers';
import {PeerAddress, waitMs} from '@sassafrasspan/runtime';

/** Longest wait of a call for news, in ms. */
const SYNC_WAIT_MS = 500;
/** Time for an answer beyond that, in ms. */
const SYNC_SLACK_MS = 350;
/** Time before the call after a failed one, in ms. */
const RETRY_MS = 60;
/** Silence after which an agent counts as lost, in ms: two silent calls. */
const LOST_MS = 1_000;
/** Time for an agent to take orders, in ms. */
const COMMAND_TIMEOUT_MS = 400;
/** Times that orders are sent; an agent takes each run once. */
const COMMAND_ATTEMPTS = 2;

/** What a link is built from. */
export interface AgentLinkOptions {
  readonly address: PeerAddress;
  readonly coordinator: string;
  readonly epoch: number;
  readonly peers: PeerClient;
  readonly clock: Clock;
  readonly onSynced: (answer: SyncAnswer) => void;
  readonly onLost: (detail: string) => void;
  /** Hears that a later home has taken over. */
  readonly onSuperseded: (detail: string) => void;
}

/** A link to an agent. */
export class AgentLink {
  private lastSequence = 0;
  private agentTimeMs = 0;
  private agentTimeReadAtMs = 0;
  private lastContactAtMs = -Infinity;
  private isLost = true;
  private isStopped = false;
  private pendingReleases: string[] = [];
  private readonly controller = new AbortController();

  private constructor(private readonly options: AgentLinkOptions) {}

  /** Builds a link that has not started. */
  static create(options: AgentLinkOptions): AgentLink {
    return new AgentLink(options);
  }

  /** Follows the agent until stopped. */
  async run(): Promise<void> {
    while (!this.isStopped) {
      const isHeard = await this.sync();
      if (this.isStopped) return;
      if (!isHeard) await waitMs(RETRY_MS);
    }
  }

  /** Ends the link. */
  stop(): void {
    this.isStopped = true;
    this.controller.abort();
  }

  /** Lets the agent forget runs whose results are safe. */
  releaseRuns(runIds: readonly string[]): void {
    this.pendingReleases.push(...runIds);
  }

  /** Sends orders; false when the agent may not have taken them. */
  async send(orders: EndpointOrders): Promise<boolean> {
    const {coordinator: home, epoch, address, peers} = this.options;
    const sinceMs =
      this.options.clock.readMonotonicMs() - this.agentTimeReadAtMs;
    const commands: AgentCommands = {
      home,
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
    const {coordinator: home, epoch, address, peers, clock} = this.options;
    const releases = this.pendingReleases;
    this.pendingReleases = [];
    const reply = await peers.call({
      address,
      path: '/agent/sync',
      body: {
        home,
        epoch,
        after: this.lastSequence,
        releases,
        waitMs: SYNC_WAIT_MS,
        isAnew: this.isLost,
      },
      schema: SYNC_ANSWER_SCHEMA,
      timeoutMs: SYNC_WAIT_MS + SYNC_SLACK_MS,
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
    this.options.onSynced(reply.value);
    return true;
  }

  private checkSuperseded(error: ServiceError): boolean {
    if (error.kind !== 'not-home') return false;
    this.options.onSuperseded(error.detail);
    return true;
  }
}
