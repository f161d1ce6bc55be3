/**
 * Fake agent with one endpoint. Its admission queue is the one of the policy
 * under test.
 */
import type {AgentReport, ErrorKind, QueuedWork} from '@sassafrasspan/core';
import {
  FakeEndpoint,
  FakeRunHandle,
  FakeRun,
  FakeRunEnd,
} from './fake_endpoint';
import type {Admission} from './policies';
import type {VirtualClock} from './virtual_clock';

const EXPIRY_CHECK_INTERVAL_MS = 100;

/** Reply of an agent to a dispatched request. */
export type AgentReply =
  | {readonly type: 'ended'; readonly end: FakeRunEnd}
  | {readonly type: 'refused'; readonly kind: ErrorKind}
  | {readonly type: 'failed'; readonly kind: ErrorKind};

/** Receives the reply to a dispatched request; called at most once. */
export type ReplyListener = (reply: AgentReply) => void;

/** Name, location and capacity of an agent and its endpoint. */
export interface AgentDescription {
  readonly name: string;
  readonly failureDomain: string;
  readonly service: string;
  readonly slots: number;
}

interface PendingRun {
  readonly run: FakeRun;
  readonly onReply: ReplyListener;
}

/** Queues dispatched requests and runs them on its endpoint. */
export class FakeAgent {
  private readonly pending = new Map<string, PendingRun>();
  private readonly handles = new Map<string, FakeRunHandle>();
  private incarnation = 1;

  private constructor(
    readonly description: AgentDescription,
    readonly endpoint: FakeEndpoint,
    private readonly clock: VirtualClock,
    private readonly admission: Admission,
  ) {
    clock.repeat(EXPIRY_CHECK_INTERVAL_MS, () => this.refuseExpired());
  }

  static create(
    place: AgentDescription,
    endpoint: FakeEndpoint,
    clock: VirtualClock,
    admission: Admission,
  ): FakeAgent {
    return new FakeAgent(place, endpoint, clock, admission);
  }

  /** Queues a request, or refuses it if the queue does not admit it. */
  offerRun(work: QueuedWork, run: FakeRun, onReply: ReplyListener): void {
    const refusal = this.admission.offerWork(work);
    if (refusal !== undefined) return onReply({type: 'refused', kind: refusal});
    this.pending.set(work.requestId, {run, onReply});
    this.startWaiting();
  }

  /** Cancels a queued or running request without a reply. */
  cancelRun(requestId: string): void {
    if (this.pending.delete(requestId)) this.admission.removeWaiting(requestId);
    const handle = this.handles.get(requestId);
    if (handle === undefined) return;
    this.endpoint.cancelRun(handle);
    this.endRun(requestId);
  }

  private startWaiting(): void {
    for (;;) {
      const next = this.admission.takeNext();
      if (next === undefined) return;
      this.startRun(next.requestId);
    }
  }

  private startRun(requestId: string): void {
    const pending = this.pending.get(requestId);
    this.pending.delete(requestId);
    if (pending === undefined) return;
    const handle = this.endpoint.startRun(pending.run, end => {
      this.endRun(requestId);
      if (end.isComplete) pending.onReply({type: 'ended', end});
      else pending.onReply({type: 'failed', kind: 'endpoint-failed'});
    });
    this.handles.set(requestId, handle);
  }

  private endRun(requestId: string): void {
    this.handles.delete(requestId);
    this.admission.releaseSlot(requestId);
    this.startWaiting();
  }

  private refuseExpired(): void {
    for (const work of this.admission.takeExpired(
      this.clock.readMonotonicMs(),
    )) {
      const pending = this.pending.get(work.requestId);
      this.pending.delete(work.requestId);
      pending?.onReply({type: 'refused', kind: 'deadline-unmeetable'});
    }
  }

  /** Restarts as a new incarnation, after its failure domain was lost. */
  restart(): void {
    this.incarnation += 1;
    this.endpoint.recover();
  }

  /** Returns the report that the agent's next heartbeat carries. */
  createReport(): AgentReport {
    const {name, failureDomain, service, slots} = this.description;
    return {
      agent: name,
      failureDomain,
      incarnation: `${name}-${this.incarnation}`,
      tick: this.clock.readMonotonicMs(),
      rulesRevision: 1,
      leaving: false,
      endpoints: [
        {
          name,
          service,
          state: 'serving',
          running: this.admission.countRunning(),
          queued: this.admission.countWaiting(),
          slots,
          kvUsePermille: 0,
          weightVersion: 1,
          queuedTokens: 0,
          tokensPerSecond: Math.round(this.endpoint.measureSpeed()),
        },
      ],
    };
  }
}
