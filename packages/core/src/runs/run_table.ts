/**
 * What an agent knows of the requests sent to it: which are queued, running,
 * finished or revoked. It is the one place that decides whether work starts,
 * and the one that may say that work did not run.
 *
 * Two memories make that statement safe. A tombstone keeps a refused or
 * revoked attempt from starting for as long as a delayed dispatch of it could
 * be admitted. A trace keeps the fact that an attempt has started after its
 * answer is gone; whatever is older than traces are kept is `unknown`.
 */
import {Result, err, ok} from 'neverthrow';
import {ServiceError, createError} from '../errors/error_kinds';
import {AnswerBuffer} from './answer_buffer';
import {ExpiringMap} from './expiring_map';

/** A dispatch whose newest seen tick is older than this does not start. */
export const DISPATCH_TTL_MS = 4_000;
/** How long an ended answer is kept for its entry after its budget. */
export const ANSWER_RETENTION_MS = 10_000;
/** Bytes of ended answers that an agent keeps at most. */
export const MAX_STORED_BYTES = 8_388_608;

/** What a dispatch says of itself and of the agent it is meant for. */
export interface Dispatch {
  readonly requestId: string;
  readonly attempt: number;
  readonly endpoint: string;
  readonly customer: string;
  readonly fingerprint: string;
  readonly idempotent: boolean;
  readonly incarnation: string;
  readonly rulesRevision: number;
  /** Last tick of the agent that the entry saw, in ms. */
  readonly seenTick: number;
  readonly budgetMs: number;
  /** Name of the entry that sent the dispatch. */
  readonly entry: string;
}

/** State of a run. */
export type RunState = 'queued' | 'running' | 'finished';

/** One attempt of a request at the agent. */
export interface RunRecord {
  /** Names the run among all runs of the agent. */
  readonly key: string;
  readonly dispatch: Dispatch;
  state: RunState;
  /** Whether nobody waits for the answer any more. */
  isAbandoned: boolean;
  readonly answer: AnswerBuffer;
  /** Names of the entries that follow the run. */
  readonly entries: Set<string>;
  /** Tick at which the record may be forgotten. */
  expiresAtMs: number;
  readonly admittedAtMs: number;
}

/** How a dispatch was taken. */
export type Admission =
  | {readonly type: 'new'; readonly record: RunRecord}
  | {readonly type: 'joined'; readonly record: RunRecord}
  /** The attempt has started before and its answer is gone. */
  | {readonly type: 'forgotten'; readonly error: ServiceError};

/** What the agent holds against a dispatch at the moment it arrives. */
export interface AdmissionContext {
  readonly rulesRevision: number;
  readonly nowMs: number;
  /** Refusal by the endpoint's condition; undefined when it takes work. */
  readonly refusal: ServiceError | undefined;
}

/** What the agent says of a run that an entry asks about. */
export type RunStatus = 'not-run' | 'running' | 'finished' | 'unknown';

/** What a revocation says of the dispatch that it is about. */
export interface Revocation {
  readonly requestId: string;
  readonly attempt: number;
  readonly incarnation: string;
  readonly seenTick: number;
}

/** Names one attempt of a request; the newest one without an attempt. */
export interface RunReference {
  readonly requestId: string;
  readonly attempt?: number;
}

/** Settings of a run table. */
export interface RunTableOptions {
  readonly incarnation: string;
  /** Bytes of ended answers that are kept at most. */
  readonly maxStoredBytes?: number;
}

/** Names an attempt among all runs of an agent. */
export function formatRunKey(requestId: string, attempt: number): string {
  return `${requestId}#${attempt}`;
}

/** The runs of one agent. */
export class RunTable {
  private readonly records = new Map<string, RunRecord>();
  /** Highest refused or revoked attempt by request id. */
  private readonly tombstones = ExpiringMap.create<number>();
  /** Keys of started attempts whose records are gone. */
  private readonly startedAttempts = ExpiringMap.create<true>();
  private storedBytes = 0;

  private constructor(private readonly options: RunTableOptions) {}

  /** Builds an empty table for one life of an agent. */
  static create(options: RunTableOptions): RunTable {
    return new RunTable(options);
  }

  /**
   * Decides whether a dispatch may start, and records it if so. What is known
   * of the attempt goes before every reason to refuse it: a refusal states
   * that the attempt has not run.
   */
  admitDispatch(
    dispatch: Dispatch,
    guard: AdmissionContext,
  ): Result<Admission, ServiceError> {
    if (dispatch.incarnation !== this.options.incarnation) {
      return err(createError('wrong-incarnation', 'the agent has restarted'));
    }
    const known = this.resolveKnownAttempt(dispatch, guard.nowMs);
    if (known !== undefined) return ok(known);
    const refusal = this.findRefusal(dispatch, guard) ?? guard.refusal;
    if (refusal !== undefined) {
      this.writeTombstone(dispatch, guard.nowMs);
      return err(refusal);
    }
    const record = createRecord(dispatch, guard.nowMs);
    this.records.set(record.key, record);
    this.blockEarlierAttempts(dispatch, guard.nowMs);
    return ok({type: 'new', record});
  }

  /** Finds what is known of an attempt, or that it may be forgotten. */
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
    const hasTrace = this.startedAttempts.has(key);
    const isForgotten = nowMs - dispatch.seenTick > ANSWER_RETENTION_MS;
    if (!hasTrace && !isForgotten) return undefined;
    const detail = 'what became of the attempt is not kept any more';
    const outcome = hasTrace ? 'ran' : 'unknown';
    return {
      type: 'forgotten',
      error: createError('agent-lost', detail, {outcome}),
    };
  }

  private findRefusal(
    dispatch: Dispatch,
    guard: AdmissionContext,
  ): ServiceError | undefined {
    const {requestId, attempt} = dispatch;
    if (this.records.has(formatRunKey(requestId, attempt))) {
      return createError('conflict', `other work runs as ${requestId}`);
    }
    const age = guard.nowMs - dispatch.seenTick;
    if (age > DISPATCH_TTL_MS) {
      return createError('stale-dispatch', `last seen ${age} ms ago`);
    }
    if (dispatch.rulesRevision < guard.rulesRevision) {
      const detail = `rules ${dispatch.rulesRevision}, here ${guard.rulesRevision}`;
      return createError('stale-rules', detail);
    }
    if (attempt <= (this.tombstones.get(requestId) ?? 0)) {
      return createError('revoked', `attempt ${attempt} was revoked`);
    }
    return undefined;
  }

  /** A later attempt exists only once the earlier ones are given up. */
  private blockEarlierAttempts(dispatch: Dispatch, nowMs: number): void {
    const {requestId} = dispatch;
    const attempt = dispatch.attempt - 1;
    if (attempt > 0) this.writeTombstone({requestId, attempt}, nowMs);
  }

  /** Finds a run. */
  findRecord(name: RunReference): RunRecord | undefined {
    const {requestId, attempt} = name;
    if (attempt !== undefined) {
      return this.records.get(formatRunKey(requestId, attempt));
    }
    const attempts = [...this.records.values()].filter(
      record => record.dispatch.requestId === requestId,
    );
    attempts.sort((a, b) => b.dispatch.attempt - a.dispatch.attempt);
    return attempts[0];
  }

  /** Finds a run by its key. */
  findByKey(key: string): RunRecord | undefined {
    return this.records.get(key);
  }

  /** Lists the runs whose request id begins with the prefix. */
  listRecords(prefix: string): RunRecord[] {
    const records = [...this.records.values()];
    return records.filter(record =>
      record.dispatch.requestId.startsWith(prefix),
    );
  }

  /** Records that the endpoint is about to get the work. */
  markRunning(record: RunRecord): void {
    record.state = 'running';
    record.answer.markAccepted();
  }

  /** Records that the run has ended. */
  markFinished(record: RunRecord, nowMs: number): void {
    if (record.state === 'finished') return;
    record.state = 'finished';
    const keepUntil = nowMs + ANSWER_RETENTION_MS;
    record.expiresAtMs = Math.max(record.expiresAtMs, keepUntil);
    this.storedBytes += record.answer.getLength();
    if (record.isAbandoned) this.evictRecord(record);
    this.evictOldestAnswers();
  }

  /** Takes a queued run out as not run and tells its followers so. */
  refuseQueued(record: RunRecord, error: ServiceError, nowMs: number): void {
    if (record.state !== 'queued') return;
    this.writeTombstone(record.dispatch, nowMs);
    this.records.delete(record.key);
    record.state = 'finished';
    record.answer.fail({...error, outcome: 'not-run'});
  }

  /** Makes sure that a dispatch does not start, or tells what became of it. */
  revokeRun(revocation: Revocation, nowMs: number): RunStatus {
    if (revocation.incarnation !== this.options.incarnation) return 'unknown';
    const record = this.findRecord(revocation);
    if (record === undefined) return this.revokeMissingRun(revocation, nowMs);
    if (record.state !== 'queued') return record.state;
    this.refuseQueued(record, createError('revoked', 'it was revoked'), nowMs);
    return 'not-run';
  }

  /** A run that is not in the table may have been and be forgotten. */
  private revokeMissingRun(revocation: Revocation, nowMs: number): RunStatus {
    const {requestId, attempt} = revocation;
    if (this.startedAttempts.has(formatRunKey(requestId, attempt))) {
      return 'finished';
    }
    if (nowMs - revocation.seenTick > ANSWER_RETENTION_MS) return 'unknown';
    this.writeTombstone(revocation, nowMs);
    return 'not-run';
  }

  private writeTombstone(name: Required<RunReference>, nowMs: number): void {
    const earlier = this.tombstones.get(name.requestId) ?? 0;
    const attempt = Math.max(earlier, name.attempt);
    this.tombstones.set(name.requestId, attempt, nowMs + DISPATCH_TTL_MS);
  }

  /**
   * Notes that an entry waits no longer for a run. Returns true when no other
   * entry follows it, so that unfinished work may be stopped.
   */
  releaseRun(record: RunRecord, entry: string): boolean {
    record.entries.delete(entry);
    if (entry !== '' && record.entries.size > 0) return false;
    record.isAbandoned = true;
    if (record.state === 'finished') this.evictRecord(record);
    return true;
  }

  /** Forgets what has expired. */
  removeExpired(nowMs: number): void {
    for (const record of this.records.values()) {
      const isOver = record.state === 'finished' && record.expiresAtMs < nowMs;
      if (isOver) this.evictRecord(record);
    }
    this.tombstones.removeExpired(nowMs);
    this.startedAttempts.removeExpired(nowMs);
  }

  /** Drops the oldest ended answers while too many bytes are kept. */
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
    const until = record.admittedAtMs + ANSWER_RETENTION_MS;
    this.startedAttempts.set(record.key, true, until);
  }

  /** Returns how many runs the table holds. */
  countRecords(): number {
    return this.records.size;
  }

  /** Returns how many bytes of ended answers the table holds. */
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

function isSameWork(known: Dispatch, dispatch: Dispatch): boolean {
  return (
    known.customer === dispatch.customer &&
    known.fingerprint === dispatch.fingerprint &&
    known.endpoint === dispatch.endpoint
  );
}
