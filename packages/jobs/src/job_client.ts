/**
 * The entry's client of the batch-job coordinator (`home` on the wire). When
 * the coordinator doesn't answer, the client looks for its successor. A
 * submission that reaches no coordinator is stored by the entry itself, and the
 * next coordinator resumes it from the store.
 */
import {
  BatchJob,
  Clock,
  RandomSource,
  ServiceError,
  createError,
  getErrorAnswer,
} from '@sassafrasspan/core';
import {ClusterWatch, PeerClient, relayPeerCall} from '@sassafrasspan/peers';
import {
  EventLog,
  PeerAddress,
  parseAddress,
  waitMs,
} from '@sassafrasspan/runtime';
import {Result, err, ok} from 'neverthrow';
import type * as z from 'zod/mini';
import type {JobStore} from './job_store';
import {
  BODY_SCHEMA,
  DONE_SCHEMA,
  EndCall,
  ItemCall,
  JOB_PATHS,
  PING_SCHEMA,
  RESULTS_SCHEMA,
  ReadCall,
  ResultsAnswer,
} from './job_messages';

/** Timeout of a call to the coordinator beyond its own wait, in ms. */
const CALL_TIMEOUT_MS = 900;
/** Delay before a call is retried, in ms. */
const RETRY_MS = 80;
/** Time without a coordinator after which the entry stores a submission
 * itself, in ms. */
const SUBMIT_ATTEMPT_MS = 500;
/** Time beyond its wait for which a read is retried without a coordinator, in
 * ms: callers wait 1.5 s longer than the wait that they ask for. */
const READ_MARGIN_MS = 1_100;
/** Time for which the request to end a job is retried, in ms. */
const END_TIMEOUT_MS = 3_000;
/** Time for which a submission is retried while the store is unavailable, in
 * ms: a quarter of the time that trainers wait. */
const SUBMIT_TIMEOUT_MS = 3_000;
/** Delay after which a trainer should then submit again, in ms. */
const SUBMIT_RETRY_AFTER_MS = 1_500;
/** Errors after which a submission is retried. */
const UNAVAILABLE_KINDS: ReadonlySet<string> = new Set([
  'platform-down',
  'peer-lost',
]);
/** Attempts to notify a coordinator of a job that the entry has stored; each
 * takes up to the timeout of a read. */
const NOTIFY_ATTEMPTS = 20;
/** Minimum timeout of a call to the coordinator, in ms. */
const MIN_CALL_MS = 50;
/** Timeout of a probe, in ms. */
const PING_TIMEOUT_MS = 250;
/** Time for which an unreachable coordinator is called through relays, in ms. */
const RELAY_MS = 2_000;
/** Errors after which another node may be the coordinator. */
const COORDINATOR_LOST_KINDS: ReadonlySet<string> = new Set([
  'peer-lost',
  'peer-absent',
  'not-home',
]);

export interface JobClientOptions {
  readonly cluster: ClusterWatch;
  readonly peers: PeerClient;
  readonly jobStore: JobStore;
  readonly clock: Clock;
  readonly random: RandomSource;
  readonly log: EventLog;
}

interface CoordinatorCall<T> {
  readonly path: string;
  /** Builds the body; `waitMs` is the time that the coordinator may wait. */
  readonly createBody: (waitMs: number) => unknown;
  readonly schema: z.ZodMiniType<T>;
  /** Time that the coordinator may hold the call, in ms. */
  readonly waitMs: number;
  /** When the call is abandoned, on the monotonic clock. */
  readonly endsAtMs: number;
  readonly signal: AbortSignal;
}

/** Submits, reads and ends batch jobs through the coordinator. */
export class JobClient {
  /** Time until which the coordinator is called through other nodes. */
  private relayUntilMs = -Infinity;

  private constructor(private readonly options: JobClientOptions) {}

  static create(options: JobClientOptions): JobClient {
    return new JobClient(options);
  }

  /**
   * Submits a job; a success means that it is stored. While the store is
   * unavailable the submission is retried, since most outages are short.
   */
  async submit(
    job: BatchJob,
    signal: AbortSignal,
  ): Promise<Result<object, ServiceError>> {
    const endsAtMs = this.readMs() + SUBMIT_TIMEOUT_MS;
    let isUnknown = false;
    for (;;) {
      const submitted = await this.trySubmit(job, signal);
      if (submitted.isOk()) return submitted;
      isUnknown ||= getErrorAnswer(submitted.error).outcome !== 'not-run';
      const isOver = this.readMs() >= endsAtMs || signal.aborted;
      if (!isOver && UNAVAILABLE_KINDS.has(submitted.error.kind)) {
        await waitMs(RETRY_MS);
        continue;
      }
      const {detail} = submitted.error;
      if (isUnknown) return err(createError('job-unknown', detail));
      return err({...submitted.error, retryAfterMs: SUBMIT_RETRY_AFTER_MS});
    }
  }

  private async trySubmit(
    job: BatchJob,
    signal: AbortSignal,
  ): Promise<Result<object, ServiceError>> {
    const reply = await this.callCoordinator({
      path: JOB_PATHS.submit,
      createBody: () => ({job}),
      schema: DONE_SCHEMA,
      waitMs: 0,
      endsAtMs: this.readMs() + SUBMIT_ATTEMPT_MS,
      signal,
    });
    if (reply.isOk() || reply.error.kind === 'conflict') return reply;
    const created = await this.options.jobStore.createJob(job);
    if (created.isOk()) {
      if (created.value) this.reportAccepted(job);
      void this.notifyCoordinator(job);
      return ok({});
    }
    const isNotRun = [reply.error, created.error].every(
      error => getErrorAnswer(error).outcome === 'not-run',
    );
    const outcome = isNotRun ? 'not-run' : 'unknown';
    return err({...created.error, outcome});
  }

  private reportAccepted(job: BatchJob): void {
    const {id: requestId, step, minVersion, desiredGroups} = job;
    const items = job.items.length;
    const fields = {requestId, items, step, minVersion, desiredGroups};
    this.options.log.writeEvent('job-accepted', fields);
  }

  /** Makes the coordinator load a job that this entry has stored: it loads a
   * job when the job is read. */
  private async notifyCoordinator({id, customer}: BatchJob): Promise<void> {
    const {signal} = new AbortController();
    const call = {jobId: id, customer, after: 0, waitMs: 0};
    for (let attempt = 0; attempt < NOTIFY_ATTEMPTS; attempt++) {
      const reply = await this.read(call, signal);
      if (reply.isOk()) return;
      await waitMs(RETRY_MS);
    }
  }

  /** Reads results from position `call.after`; waits up to `call.waitMs`. */
  read(
    call: ReadCall,
    signal: AbortSignal,
  ): Promise<Result<ResultsAnswer, ServiceError>> {
    return this.callCoordinator({
      path: JOB_PATHS.read,
      createBody: waitMs => ({
        ...call,
        waitMs: Math.min(call.waitMs, waitMs),
      }),
      schema: RESULTS_SCHEMA,
      waitMs: call.waitMs,
      endsAtMs: this.readMs() + call.waitMs + READ_MARGIN_MS,
      signal,
    });
  }

  /** Returns the body of an item, in base64. */
  async readItem(
    call: ItemCall,
    signal: AbortSignal,
  ): Promise<Result<string, ServiceError>> {
    const reply = await this.callCoordinator({
      path: JOB_PATHS.item,
      createBody: () => call,
      schema: BODY_SCHEMA,
      waitMs: 0,
      endsAtMs: this.readMs() + READ_MARGIN_MS,
      signal,
    });
    return reply.map(answer => answer.body);
  }

  end(
    call: EndCall,
    signal: AbortSignal,
  ): Promise<Result<object, ServiceError>> {
    return this.callCoordinator({
      path: JOB_PATHS.end,
      createBody: () => call,
      schema: DONE_SCHEMA,
      waitMs: 0,
      endsAtMs: this.readMs() + END_TIMEOUT_MS,
      signal,
    });
  }

  private readMs(): number {
    return this.options.clock.readMonotonicMs();
  }

  private async callCoordinator<T>(
    call: CoordinatorCall<T>,
  ): Promise<Result<T, ServiceError>> {
    let last: ServiceError = createError(
      'not-home',
      'no batch-job coordinator is known',
    );
    let isUnknown = false;
    while (this.readMs() < call.endsAtMs && !call.signal.aborted) {
      const reply = await this.callOnce(call);
      if (reply.isOk()) return ok(reply.value);
      last = reply.error;
      isUnknown ||= getErrorAnswer(last).outcome !== 'not-run';
      if (!COORDINATOR_LOST_KINDS.has(last.kind)) break;
      await waitMs(RETRY_MS);
    }
    return err(isUnknown ? {...last, outcome: 'unknown'} : last);
  }

  private async callOnce<T>(
    call: CoordinatorCall<T>,
  ): Promise<Result<T, ServiceError>> {
    const {cluster, peers, random} = this.options;
    const called = cluster.getCoordinator()?.record;
    const address = parseAddress(called?.address ?? '');
    if (address === undefined) {
      return err(createError('not-home', 'no batch-job coordinator is known'));
    }
    const remainingMs = Math.max(MIN_CALL_MS, call.endsAtMs - this.readMs());
    const {path, schema, signal} = call;
    const timeoutMs = Math.min(remainingMs, call.waitMs + CALL_TIMEOUT_MS);
    const body = call.createBody(Math.max(0, remainingMs - CALL_TIMEOUT_MS));
    const peerCall = {address, path, body, schema, timeoutMs, signal};
    const isRelayed = this.readMs() < this.relayUntilMs;
    const reply = isRelayed
      ? await relayPeerCall(peers, this.listRelays(), random, peerCall)
      : await peers.call(peerCall);
    if (reply.isErr() && COORDINATOR_LOST_KINDS.has(reply.error.kind)) {
      await this.refreshCoordinator(isRelayed, reply.error);
    }
    // A coordinator that stood still may answer from what it knew before.
    const epoch = cluster.getCoordinator()?.record.epoch;
    if (reply.isErr() || epoch === called?.epoch) return reply;
    const detail = `coordinator in epoch ${epoch} since the call was made`;
    return err(createError('not-home', detail, {outcome: 'unknown'}));
  }

  /**
   * Asks all candidates which node is the coordinator. If it is still the same
   * one but unreachable from here, it is called through relays for a while.
   */
  private async refreshCoordinator(
    wasRelayed: boolean,
    error: ServiceError,
  ): Promise<void> {
    const {cluster, peers} = this.options;
    const previousEpoch = cluster.getCoordinator()?.record.epoch ?? 0;
    const replies = await Promise.all(
      cluster.listNodes('home').map(async node => {
        const address = parseAddress(node.address);
        if (address === undefined) return undefined;
        const reply = await peers.call({
          address,
          path: JOB_PATHS.ping,
          body: {},
          schema: PING_SCHEMA,
          timeoutMs: PING_TIMEOUT_MS,
        });
        return reply.isOk() ? reply.value.home : undefined;
      }),
    );
    for (const coordinator of replies) {
      if (coordinator !== undefined) cluster.acceptCoordinator(coordinator);
    }
    const isSame = cluster.getCoordinator()?.record.epoch === previousEpoch;
    const isLost = error.kind === 'peer-lost' && isSame;
    if (isLost && !wasRelayed) this.relayUntilMs = this.readMs() + RELAY_MS;
    else this.relayUntilMs = -Infinity;
  }

  private listRelays(): PeerAddress[] {
    const {cluster} = this.options;
    return [...cluster.listNodes('entry'), ...cluster.listNodes('agent')]
      .map(node => parseAddress(node.address))
      .filter(address => address !== undefined);
  }
}
