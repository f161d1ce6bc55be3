/**
 * Calls about batch jobs at an entry: passes them to the home, and finds the
 * next home while the one before is gone. A submission that finds no home is
 * kept in the store by the entry itself; the next home takes it up.
 */
import {
  BatchJob,
  Clock,
  ServiceError,
  createError,
  getErrorAnswer,
} from '@sassafrasspan/core';
import type {ClusterWatch, PeerClient} from '@sassafrasspan/peers';
import {parseAddress, waitMs} from '@sassafrasspan/runtime';
import {Result, err, ok} from 'neverthrow';
import type * as z from 'zod/mini';
import type {JobLedger} from './job_ledger';
import {
  BODY_SCHEMA,
  DONE_SCHEMA,
  JOB_PATHS,
  RESULTS_SCHEMA,
  ReadCall,
  ResultsAnswer,
} from './job_messages';

/** Time for the home to answer, in ms, beyond what the call may wait. */
const CALL_TIMEOUT_MS = 900;
/** Time before a call is sent to the home again, in ms. */
const RETRY_MS = 80;
/** Time without a home after which an entry keeps a submission, in ms. */
const SUBMIT_PATIENCE_MS = 500;
/** Time beyond its wait that a call may take while a home is missing, in ms:
 * callers wait 1.5 s longer than they allow. */
const READ_PATIENCE_MS = 1_100;
/** Time that the end of a job may take, in ms. */
const END_PATIENCE_MS = 3_000;
/** Errors after which another node may be the home. */
const MOVED_KINDS: ReadonlySet<string> = new Set(['peer-lost', 'not-home']);

/** What a client is built from. */
export interface JobClientOptions {
  readonly cluster: ClusterWatch;
  readonly peers: PeerClient;
  readonly ledger: JobLedger;
  readonly clock: Clock;
}

/** A call to the home. */
interface HomeCall<T> {
  readonly path: string;
  readonly body: unknown;
  readonly schema: z.ZodMiniType<T>;
  /** Time that the home may keep the call waiting, in ms. */
  readonly waitMs: number;
  /** When the call is given up, on the monotonic clock. */
  readonly endsAtMs: number;
  readonly signal: AbortSignal;
}

/** Batch jobs as entries see them. */
export class JobClient {
  private constructor(private readonly options: JobClientOptions) {}

  /** Builds a client. */
  static create(options: JobClientOptions): JobClient {
    return new JobClient(options);
  }

  /** Submits a job; a success means that it is kept. */
  async submit(
    job: BatchJob,
    signal: AbortSignal,
  ): Promise<Result<object, ServiceError>> {
    const reply = await this.callHome({
      path: JOB_PATHS.submit,
      body: {job},
      schema: DONE_SCHEMA,
      waitMs: 0,
      endsAtMs: this.readMs() + SUBMIT_PATIENCE_MS,
      signal,
    });
    if (reply.isOk()) return reply;
    const created = await this.options.ledger.createJob(job);
    if (created.isOk()) return ok({});
    const outcomes = [reply.error, created.error].map(
      error => getErrorAnswer(error).outcome,
    );
    if (outcomes.every(outcome => outcome === 'not-run')) {
      return err(created.error);
    }
    return err(createError('job-unknown', created.error.detail));
  }

  /** Reads results from a position on. */
  read(
    call: ReadCall,
    signal: AbortSignal,
  ): Promise<Result<ResultsAnswer, ServiceError>> {
    return this.callHome({
      path: JOB_PATHS.read,
      body: call,
      schema: RESULTS_SCHEMA,
      waitMs: call.waitMs,
      endsAtMs: this.readMs() + call.waitMs + READ_PATIENCE_MS,
      signal,
    });
  }

  /** Reads the body of an item, base64. */
  async readItem(
    jobId: string,
    itemId: string,
    signal: AbortSignal,
  ): Promise<Result<string, ServiceError>> {
    const reply = await this.callHome({
      path: JOB_PATHS.item,
      body: {jobId, itemId},
      schema: BODY_SCHEMA,
      waitMs: 0,
      endsAtMs: this.readMs() + READ_PATIENCE_MS,
      signal,
    });
    return reply.map(answer => answer.body);
  }

  /** Ends a job. */
  end(
    jobId: string,
    signal: AbortSignal,
  ): Promise<Result<object, ServiceError>> {
    return this.callHome({
      path: JOB_PATHS.end,
      body: {jobId},
      schema: DONE_SCHEMA,
      waitMs: 0,
      endsAtMs: this.readMs() + END_PATIENCE_MS,
      signal,
    });
  }

  private readMs(): number {
    return this.options.clock.readMonotonicMs();
  }

  private async callHome<T>(
    call: HomeCall<T>,
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
      if (!MOVED_KINDS.has(last.kind)) break;
      await waitMs(RETRY_MS);
    }
    return err(isUnknown ? {...last, outcome: 'unknown'} : last);
  }

  private async callOnce<T>(
    call: HomeCall<T>,
  ): Promise<Result<T, ServiceError>> {
    const home = this.options.cluster.getHome();
    const address = parseAddress(home?.record.address ?? '');
    if (address === undefined) {
      return err(createError('not-home', 'no home of batch jobs is known'));
    }
    const leftMs = call.endsAtMs - this.readMs();
    return this.options.peers.call({
      address,
      path: call.path,
      body: call.body,
      schema: call.schema,
      timeoutMs: Math.max(50, Math.min(leftMs, call.waitMs + CALL_TIMEOUT_MS)),
      signal: call.signal,
    });
  }
}
