/**
 * Calls about batch jobs at an entry: passes them to the home, and finds the
 * next home while the one before is gone. A submission that finds no home is
 * kept in the store by the entry itself; the next home takes it up.
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
import {PeerAddress, parseAddress, waitMs} from '@sassafrasspan/runtime';
import {Result, err, ok} from 'neverthrow';
import type * as z from 'zod/mini';
import type {JobStore} from './job_store';
import {
  BODY_SCHEMA,
  DONE_SCHEMA,
  JOB_PATHS,
  PING_SCHEMA,
  RESULTS_SCHEMA,
  ReadCall,
  ResultsAnswer,
} from './job_messages';

/** Time for the home to answer, in ms, beyond what the call may wait. */
const CALL_TIMEOUT_MS = 900;
/** Time before a call is sent to the home again, in ms. */
const RETRY_MS = 80;
/** Time without a home after which an entry keeps a submission, in ms. */
const SUBMIT_ATTEMPT_MS = 500;
/** Time beyond its wait that a call may take while a home is missing, in ms:
 * callers wait 1.5 s longer than they allow. */
const READ_MARGIN_MS = 1_100;
/** Time that the end of a job may take, in ms. */
const END_TIMEOUT_MS = 3_000;
/** Time for which a submission is tried while the store is away, in ms: a
 * quarter of the time that trainers wait. */
const SUBMIT_TIMEOUT_MS = 3_000;
/** When a trainer should come back after that, in ms. */
const SUBMIT_RETRY_AFTER_MS = 1_500;
/** Errors that may pass within that time. */
const UNAVAILABLE_KINDS: ReadonlySet<string> = new Set([
  'platform-down',
  'peer-lost',
]);
/** Times that a home is told of a job that an entry has kept; each takes up to
 * the patience of a read. */
const NOTIFY_ATTEMPTS = 20;
/** Least time for a call to the home, in ms. */
const MIN_CALL_MS = 50;
/** Time for the answer to a probe, in ms. */
const PING_TIMEOUT_MS = 250;
/** Time for which a home that is not reached is called through others, in ms. */
const RELAY_MS = 2_000;
/** Errors after which another node may be the home. */
const COORDINATOR_LOST_KINDS: ReadonlySet<string> = new Set([
  'peer-lost',
  'peer-absent',
  'not-home',
]);

/** What a client is built from. */
export interface JobClientOptions {
  readonly cluster: ClusterWatch;
  readonly peers: PeerClient;
  readonly jobStore: JobStore;
  readonly clock: Clock;
  readonly random: RandomSource;
}

/** A call to the home. */
interface CoordinatorCall<T> {
  readonly path: string;
  /** Builds the body for the time that the home may wait, in ms. */
  readonly createBody: (waitMs: number) => unknown;
  readonly schema: z.ZodMiniType<T>;
  /** Time that the home may keep the call waiting, in ms. */
  readonly waitMs: number;
  /** When the call is given up, on the monotonic clock. */
  readonly endsAtMs: number;
  readonly signal: AbortSignal;
}

/** Batch jobs as entries see them. */
export class JobClient {
  /** Up to when the home is called through other nodes. */
  private relayUntilMs = -Infinity;

  private constructor(private readonly options: JobClientOptions) {}

  /** Builds a client. */
  static create(options: JobClientOptions): JobClient {
    return new JobClient(options);
  }

  /**
   * Submits a job; a success means that it is kept. While the store is away
   * the submission is tried again for a while, since outages are mostly short.
   */
  async submit(
    job: BatchJob,
    signal: AbortSignal,
  ): Promise<Result<object, ServiceError>> {
    const endsAtMs = this.readMs() + SUBMIT_TIMEOUT_MS;
    let isUnknown = false;
    for (;;) {
      const kept = await this.trySubmit(job, signal);
      if (kept.isOk()) return kept;
      isUnknown ||= getErrorAnswer(kept.error).outcome !== 'not-run';
      const isOver = this.readMs() >= endsAtMs || signal.aborted;
      if (!isOver && UNAVAILABLE_KINDS.has(kept.error.kind)) {
        await waitMs(RETRY_MS);
        continue;
      }
      const {detail} = kept.error;
      if (isUnknown) return err(createError('job-unknown', detail));
      return err({...kept.error, retryAfterMs: SUBMIT_RETRY_AFTER_MS});
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
    if (reply.isOk()) return reply;
    const created = await this.options.jobStore.createJob(job);
    if (created.isOk()) {
      void this.notifyCoordinator(job.id);
      return ok({});
    }
    const isUnrun = [reply.error, created.error].every(
      error => getErrorAnswer(error).outcome === 'not-run',
    );
    const outcome = isUnrun ? 'not-run' : 'unknown';
    return err({...created.error, outcome});
  }

  /** Makes the next home take up a job that this entry has kept. */
  private async notifyCoordinator(jobId: string): Promise<void> {
    const {signal} = new AbortController();
    for (let attempt = 0; attempt < NOTIFY_ATTEMPTS; attempt++) {
      const seen = await this.read({jobId, after: 0, waitMs: 0}, signal);
      if (seen.isOk()) return;
      await waitMs(RETRY_MS);
    }
  }

  /** Reads results from a position on. */
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

  /** Reads the body of an item, base64. */
  async readItem(
    jobId: string,
    itemId: string,
    signal: AbortSignal,
  ): Promise<Result<string, ServiceError>> {
    const reply = await this.callCoordinator({
      path: JOB_PATHS.item,
      createBody: () => ({jobId, itemId}),
      schema: BODY_SCHEMA,
      waitMs: 0,
      endsAtMs: this.readMs() + READ_MARGIN_MS,
      signal,
    });
    return reply.map(answer => answer.body);
  }

  /** Ends a job. */
  end(
    jobId: string,
    signal: AbortSignal,
  ): Promise<Result<object, ServiceError>> {
    return this.callCoordinator({
      path: JOB_PATHS.end,
      createBody: () => ({jobId}),
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
      'no home of batch jobs is known',
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
    const address = parseAddress(
      cluster.getCoordinator()?.record.address ?? '',
    );
    if (address === undefined) {
      return err(createError('not-home', 'no home of batch jobs is known'));
    }
    const leftMs = Math.max(MIN_CALL_MS, call.endsAtMs - this.readMs());
    const {path, schema, signal} = call;
    const timeoutMs = Math.min(leftMs, call.waitMs + CALL_TIMEOUT_MS);
    const body = call.createBody(Math.max(0, leftMs - CALL_TIMEOUT_MS));
    const peerCall = {address, path, body, schema, timeoutMs, signal};
    const isCut = this.readMs() < this.relayUntilMs;
    const reply = isCut
      ? await relayPeerCall(peers, this.listRelays(), random, peerCall)
      : await peers.call(peerCall);
    if (reply.isErr() && COORDINATOR_LOST_KINDS.has(reply.error.kind)) {
      await this.refreshCoordinator(isCut, reply.error);
    }
    return reply;
  }

  /**
   * Asks the nodes that can be the home which of them is. A home that is still
   * in place but not reached is called through other nodes for a while.
   */
  private async refreshCoordinator(
    wasCut: boolean,
    error: ServiceError,
  ): Promise<void> {
    const {cluster, peers} = this.options;
    const before = cluster.getCoordinator()?.record.epoch ?? 0;
    const replies = await Promise.all(
      cluster.listNodes('home').map(async node => {
        const target = parseAddress(node.address);
        if (target === undefined) return undefined;
        const reply = await peers.call({
          address: target,
          path: JOB_PATHS.ping,
          body: {},
          schema: PING_SCHEMA,
          timeoutMs: PING_TIMEOUT_MS,
        });
        return reply.isOk() ? reply.value.home : undefined;
      }),
    );
    for (const home of replies) {
      if (home !== undefined) cluster.acceptCoordinator(home);
    }
    const isSame = cluster.getCoordinator()?.record.epoch === before;
    const isLost = error.kind === 'peer-lost' && isSame;
    if (isLost && !wasCut) this.relayUntilMs = this.readMs() + RELAY_MS;
    else this.relayUntilMs = -Infinity;
  }

  private listRelays(): PeerAddress[] {
    const {cluster} = this.options;
    return [...cluster.listNodes('entry'), ...cluster.listNodes('agent')]
      .map(node => parseAddress(node.address))
      .filter(address => address !== undefined);
  }
}
