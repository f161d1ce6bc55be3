/**
 * The table of runs at an agent: which are queued, running, finished or revoked.
 * Only this table decides whether work starts, and only this table may state
 * that work did not run.
 *
 * Two further records make that statement safe. A tombstone prevents a refused
 * or revoked attempt from starting for as long as a delayed dispatch of it could
 * be admitted. When an answer is evicted, the set of started attempts still
 * records that its attempt started. Attempts that are older than that set covers
 * are `unknown`.
 *
 * Agent time is the agent's monotonic clock in ms (`tick` on the wire).
 */
import {Result, err, ok} from 'neverthrow';
import {ServiceError, createError} from '../errors/error_kinds';
import {AnswerBuffer} from './answer_buffer';
import {ExpiringMap} from './expiring_map';

/** A dispatch does not start if the agent time that it carries is older than
 * this, in ms. */
export const DISPATCH_TTL_MS = 4_000;
/**
 * Time for which an answer is stored after its run's budget or end, and for
 * which a started attempt is remembered after its admission.
 */
export const ANSWER_RETENTION_MS = 10_000;
/** Maximum total size of stored answers of ended runs, in bytes. */
export const MAX_STORED_BYTES = 8_388_608;

/** A dispatch of one attempt from an entry to an agent. */
export interface Dispatch {
  readonly requestId: string;
  readonly attempt: number;
  readonly endpoint: string;
  readonly customer: string;
  /** Equal for identical requests of one customer. */
  readonly fingerprint: string;
  readonly idempotent: boolean;
  readonly incarnation: string;
  readonly rulesRevision: number;
  /** Latest agent time that the entry had received, in ms. */
  readonly seenTick: number;
  readonly budgetMs: number;
  /** Name of the entry that sent the dispatch. */
  readonly entry: string;
}

/** The state of a run that has a record in the table. */
export type RunState = 'queued' | 'running' | 'finished';

/** A run: one attempt of a request at the agent. */
export interface RunRecord {
  /** Unique among all runs of the agent. */
  readonly key: string;
  readonly dispatch: Dispatch;
  state: RunState;
  /** Whether no entry waits for the answer any longer. */
  isAbandoned: boolean;
  readonly answer: AnswerBuffer;
  /** Names of the entries that wait for the answer. */
  readonly entries: Set<string>;
  /** Agent time after which the record may be removed. */
  expiresAtMs: number;
  readonly admittedAtMs: number;
}

/** The result of admitting a dispatch that is not refused. */
export type Admission =
  | {readonly type: 'new'; readonly record: RunRecord}
  /** The attempt already has a record; the entry also waits for its answer. */
  | {readonly type: 'joined'; readonly record: RunRecord}
  /** The attempt has or may have started before; its answer is not stored. */
  | {readonly type: 'forgotten'; readonly error: ServiceError};

/** The state of the agent when a dispatch arrives. */
export interface AdmissionContext {
  readonly rulesRevision: number;
  readonly nowMs: number;
  /** The error with which the endpoint refuses work; undefined if it accepts. */
  readonly refusal: ServiceError | undefined;
}

/** The state of a run that the agent reports to an entry. Unlike `RunState` it
 * covers runs without a record. */
export type RunStatus = 'not-run' | 'running' | 'finished' | 'unknown';

/** A request to revoke a dispatch, with the values that the dispatch carried. */
export interface Revocation {
  readonly requestId: string;
  readonly attempt: number;
  readonly incarnation: string;
  readonly seenTick: number;
}

/** Refers to an attempt of a request; without a number, to the newest one. */
export interface RunReference {
  readonly requestId: string;
  readonly attempt?: number;
}

export interface RunTableOptions {
  readonly incarnation: string;
  /** Maximum total size of stored answers; `MAX_STORED_BYTES` by default. */
  readonly maxStoredBytes?: number;
}

/** Returns the key of an attempt, unique among all runs of an agent. */
export function formatRunKey(requestId: string, attempt: number): string {
  return `${requestId}#${attempt}`;
}

/** The runs of one agent. */
export class RunTable {
  private readonly records = new Map<string, RunRecord>();
  /** The highest refused or revoked attempt of each request id. */
  private readonly tombstones = ExpiringMap.create<number>();
  /** Keys of started attempts whose records were evicted. */
  private readonly startedAttempts = ExpiringMap.create<true>();
  private storedBytes = 0;

  private constructor(private readonly options: RunTableOptions) {}

  /** Creates an empty table for one incarnation of an agent. */
  static create(options: RunTableOptions): RunTable {
    return new RunTable(options);
  }

  /**
   * Decides whether a dispatch may start, and records it if so. Earlier
   * knowledge of the attempt takes precedence over all reasons to refuse it,
   * because a refusal states that the attempt has not run.
   */
  admitDispatch(
    dispatch: Dispatch,
    context: AdmissionContext,
  ): Result<Admission, ServiceError> {
    if (dispatch.incarnation !== this.options.incarnation) {
      return err(createError('wrong-incarnation', 'the agent has restarted'));
    }
    const admission = this.resolveKnownAttempt(dispatch, context.nowMs);
    if (admission !== undefined) return ok(admission);
    const refusal = this.findRefusal(dispatch, context) ?? context.refusal;
    if (refusal !== undefined) {
      this.writeTombstone(dispatch, context.nowMs);
      return err(refusal);
    }
    const record = createRecord(dispatch, context.nowMs);
    this.records.set(record.key, record);
    this.blockEarlierAttempts(dispatch, context.nowMs);
    return ok({type: 'new', record});
  }

  /**
   * Returns the admission of an attempt that has a record or may have started
   * before. Returns undefined if it cannot have started, or if its record belongs
   * to a different request.
   */
  private resolveKnownAttempt(
    dispatch: Dispatch,
    nowMs: number,
  ): Admission | undefined {
    const key = formatRunKey(dispatch.requestId, dispatch.attempt);
    const record = this.records.get(key);
    if (record !== undefined) {
      if (!isSameWork(record.dispatch, dispatch)) return undefined;
      record.entries.add(dispatch.entry);
      return {type: 'joined', record};
    }
    const hasStarted = this.startedAttempts.has(key);
    const isTooOld = nowMs - dispatch.seenTick > ANSWER_RETENTION_MS;
    if (!hasStarted && !isTooOld) return undefined;
    const detail = 'the result of the attempt is no longer stored';
    const outcome = hasStarted ? 'ran' : 'unknown';
    return {
      type: 'forgotten',
      error: createError('agent-lost', detail, {outcome}),
    };
  }

  private findRefusal(
    dispatch: Dispatch,
    context: AdmissionContext,
  ): ServiceError | undefined {
    const {requestId, attempt} = dispatch;
    if (this.records.has(formatRunKey(requestId, attempt))) {
      return createError(
        'conflict',
        `${requestId} is used by a different request`,
      );
    }
    const ageMs = context.nowMs - dispatch.seenTick;
    if (ageMs > DISPATCH_TTL_MS) {
      const detail = `the dispatch carries an agent time ${ageMs} ms old`;
      return createError('stale-dispatch', detail);
    }
    if (dispatch.rulesRevision < context.rulesRevision) {
      const {rulesRevision} = context;
      const detail = `rules ${dispatch.rulesRevision}, agent has ${rulesRevision}`;
      return createError('stale-rules', detail);
    }
    if (attempt <= (this.tombstones.get(requestId) ?? 0)) {
      return createError('revoked', `attempt ${attempt} was revoked`);
    }
    return undefined;
  }

  /**
   * Prevents earlier attempts from starting: an entry starts a new attempt only
   * after it has abandoned the earlier ones.
   */
  private blockEarlierAttempts(dispatch: Dispatch, nowMs: number): void {
    const {requestId} = dispatch;
    const attempt = dispatch.attempt - 1;
    if (attempt > 0) this.writeTombstone({requestId, attempt}, nowMs);
  }

  findRecord(reference: RunReference): RunRecord | undefined {
    const {requestId, attempt} = reference;
    if (attempt !== undefined) {
      return this.records.get(formatRunKey(requestId, attempt));
    }
    const attempts = [...this.records.values()].filter(
      record => record.dispatch.requestId === requestId,
    );
    attempts.sort((a, b) => b.dispatch.attempt - a.dispatch.attempt);
    return attempts[0];
  }

  findByKey(key: string): RunRecord | undefined {
    return this.records.get(key);
  }

  /** Lists the runs whose request id begins with a prefix. */
  listRecords(prefix: string): RunRecord[] {
    const records = [...this.records.values()];
    return records.filter(record =>
      record.dispatch.requestId.startsWith(prefix),
    );
  }

  /** Records that the work is about to be passed to the endpoint, and notifies
   * the listeners of the answer that it has started. */
  markRunning(record: RunRecord): void {
    record.state = 'running';
    record.answer.markAccepted();
  }

  /**
   * Records that a run has ended and starts the retention time of its answer.
   * Evicts answers if their total size exceeds the limit.
   */
  markFinished(record: RunRecord, nowMs: number): void {
    if (record.state === 'finished') return;
    record.state = 'finished';
    const retainUntilMs = nowMs + ANSWER_RETENTION_MS;
    record.expiresAtMs = Math.max(record.expiresAtMs, retainUntilMs);
    this.storedBytes += record.answer.getLength();
    if (record.isAbandoned) this.evictRecord(record);
    this.evictOldestAnswers();
  }

  /** Removes a queued run and fails its answer with the outcome `not-run`. */
  refuseQueued(record: RunRecord, error: ServiceError, nowMs: number): void {
    if (record.state !== 'queued') return;
    this.writeTombstone(record.dispatch, nowMs);
    this.records.delete(record.key);
    record.state = 'finished';
    record.answer.fail({...error, outcome: 'not-run'});
  }

  /**
   * Prevents a dispatch from starting and returns `not-run`. If it has started,
   * returns the state of its run; if it may have started, `unknown`.
   */
  revokeRun(revocation: Revocation, nowMs: number): RunStatus {
    if (revocation.incarnation !== this.options.incarnation) return 'unknown';
    const record = this.findRecord(revocation);
    if (record === undefined) return this.revokeMissingRun(revocation, nowMs);
    if (record.state !== 'queued') return record.state;
    this.refuseQueued(
      record,
      createError('revoked', 'the run was revoked'),
      nowMs,
    );
    return 'not-run';
  }

  /** Revokes a run without a record, which may have run and been evicted. */
  private revokeMissingRun(revocation: Revocation, nowMs: number): RunStatus {
    const {requestId, attempt} = revocation;
    if (this.startedAttempts.has(formatRunKey(requestId, attempt))) {
      return 'finished';
    }
    if (nowMs - revocation.seenTick > ANSWER_RETENTION_MS) return 'unknown';
    this.writeTombstone(revocation, nowMs);
    return 'not-run';
  }

  private writeTombstone(run: Required<RunReference>, nowMs: number): void {
    const blockedAttempt = this.tombstones.get(run.requestId) ?? 0;
    const attempt = Math.max(blockedAttempt, run.attempt);
    this.tombstones.set(run.requestId, attempt, nowMs + DISPATCH_TTL_MS);
  }

  /**
   * Records that an entry no longer waits for a run. With an empty name no entry
   * waits any longer. Returns true if none does; the caller may then stop the
   * run.
   */
  releaseRun(record: RunRecord, entry: string): boolean {
    record.entries.delete(entry);
    if (entry !== '' && record.entries.size > 0) return false;
    record.isAbandoned = true;
    if (record.state === 'finished') this.evictRecord(record);
    return true;
  }

  /** Removes expired records, tombstones and started attempts. */
  removeExpired(nowMs: number): void {
    for (const record of this.records.values()) {
      const isExpired =
        record.state === 'finished' && record.expiresAtMs < nowMs;
      if (isExpired) this.evictRecord(record);
    }
    this.tombstones.removeExpired(nowMs);
    this.startedAttempts.removeExpired(nowMs);
  }

  /** Evicts the oldest ended runs until the size limit of answers is met. */
  private evictOldestAnswers(): void {
    const limit = this.options.maxStoredBytes ?? MAX_STORED_BYTES;
    for (const record of this.records.values()) {
      if (this.storedBytes <= limit) return;
      if (record.state === 'finished') this.evictRecord(record);
    }
  }

  private evictRecord(record: RunRecord): void {
    if (!this.records.delete(record.key)) return;
    this.storedBytes -= record.answer.getLength();
    const expiresAtMs = record.admittedAtMs + ANSWER_RETENTION_MS;
    this.startedAttempts.set(record.key, true, expiresAtMs);
  }

  countRecords(): number {
    return this.records.size;
  }

  /** Returns the total size of the stored answers of ended runs, in bytes. */
  countStoredBytes(): number {
    return this.storedBytes;
  }
}

function createRecord(dispatch: Dispatch, nowMs: number): RunRecord {
  return {
    key: formatRunKey(dispatch.requestId, dispatch.attempt),
    dispatch,
    state: 'queued',
    isAbandoned: false,
    answer: AnswerBuffer.create(),
    entries: new Set([dispatch.entry]),
    admittedAtMs: nowMs,
    expiresAtMs: nowMs + dispatch.budgetMs + ANSWER_RETENTION_MS,
  };
}

function isSameWork(earlier: Dispatch, dispatch: Dispatch): boolean {
  return (
    earlier.customer === dispatch.customer &&
    earlier.fingerprint === dispatch.fingerprint &&
    earlier.endpoint === dispatch.endpoint
  );
}
