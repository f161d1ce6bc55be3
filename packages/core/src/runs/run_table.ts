/**
 * What an agent knows of the requests sent to it: which are queued, running,
 * finished or revoked. It is the one place that decides whether work starts.
 */
import {Result, err, ok} from 'neverthrow';
import {ServiceError, createError} from '../errors/error_kinds';
import {AnswerBuffer} from './answer_buffer';

/** A dispatch whose newest seen tick is older than this does not start. */
export const DISPATCH_TTL_MS = 4_000;
/** How long an ended answer is kept for its entry after its budget. */
export const ANSWER_KEEP_MS = 10_000;

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
}

/** State of a run. */
export type RunState = 'queued' | 'running' | 'finished';

/** One request at the agent. */
export interface RunRecord {
  readonly dispatch: Dispatch;
  state: RunState;
  readonly answer: AnswerBuffer;
  /** Tick at which the record may be forgotten. */
  expiresAtTick: number;
  readonly admittedAtTick: number;
}

/** How a dispatch was taken: as new work, or joined to a known run. */
export interface Admission {
  readonly record: RunRecord;
  readonly isNew: boolean;
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

/** A revoked request: attempts up to this one never start. */
interface Tombstone {
  readonly attempt: number;
  readonly expiresAtTick: number;
}

/** Settings of a run table. */
export interface RunTableOptions {
  readonly incarnation: string;
}

/** The runs of one agent. */
export class RunTable {
  private readonly records = new Map<string, RunRecord>();
  private readonly tombstones = new Map<string, Tombstone>();

  private constructor(private readonly options: RunTableOptions) {}

  /** Builds an empty table for one life of an agent. */
  static create(options: RunTableOptions): RunTable {
    return new RunTable(options);
  }

  /** Decides whether a dispatch may start, and records it if so. */
  admitDispatch(
    dispatch: Dispatch,
    rulesRevision: number,
    tick: number,
  ): Result<Admission, ServiceError> {
    const refusal = this.findRefusal(dispatch, rulesRevision, tick);
    if (refusal !== undefined) return err(refusal);
    const known = this.records.get(dispatch.requestId);
    if (known !== undefined) return ok({record: known, isNew: false});
    const record: RunRecord = {
      dispatch,
      state: 'queued',
      answer: AnswerBuffer.create(),
      admittedAtTick: tick,
      expiresAtTick: tick + dispatch.budgetMs + ANSWER_KEEP_MS,
    };
    this.records.set(dispatch.requestId, record);
    return ok({record, isNew: true});
  }

  private findRefusal(
    dispatch: Dispatch,
    rulesRevision: number,
    tick: number,
  ): ServiceError | undefined {
    if (dispatch.incarnation !== this.options.incarnation) {
      return createError('wrong-incarnation', 'the agent has restarted');
    }
    if (tick - dispatch.seenTick > DISPATCH_TTL_MS) {
      const age = tick - dispatch.seenTick;
      return createError('stale-dispatch', `last seen ${age} ms ago`);
    }
    if (dispatch.rulesRevision < rulesRevision) {
      const detail = `rules ${dispatch.rulesRevision}, here ${rulesRevision}`;
      return createError('stale-rules', detail);
    }
    const tombstone = this.tombstones.get(dispatch.requestId);
    if (tombstone !== undefined && dispatch.attempt <= tombstone.attempt) {
      return createError('revoked', `attempt ${dispatch.attempt} was revoked`);
    }
    return undefined;
  }

  /** Finds a run by request id. */
  findRecord(requestId: string): RunRecord | undefined {
    return this.records.get(requestId);
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
  markFinished(record: RunRecord, tick: number): void {
    record.state = 'finished';
    const keepUntil = tick + ANSWER_KEEP_MS;
    record.expiresAtTick = Math.max(record.expiresAtTick, keepUntil);
  }

  /** Takes a queued run out before it started. */
  removeQueued(requestId: string): void {
    const record = this.records.get(requestId);
    if (record?.state === 'queued') this.records.delete(requestId);
  }

  /** Makes sure that a dispatch does not start, or tells what became of it. */
  revokeRun(revocation: Revocation, tick: number): RunStatus {
    if (revocation.incarnation !== this.options.incarnation) return 'unknown';
    const record = this.records.get(revocation.requestId);
    if (record === undefined) return this.revokeAbsent(revocation, tick);
    if (record.state !== 'queued') return record.state;
    this.records.delete(revocation.requestId);
    return this.writeTombstone(revocation, tick);
  }

  /** A run that is not in the table may have been and be forgotten. */
  private revokeAbsent(revocation: Revocation, tick: number): RunStatus {
    const wasTombstoned = this.tombstones.has(revocation.requestId);
    const age = tick - revocation.seenTick;
    if (!wasTombstoned && age > ANSWER_KEEP_MS) return 'unknown';
    return this.writeTombstone(revocation, tick);
  }

  private writeTombstone(revocation: Revocation, tick: number): RunStatus {
    const earlier = this.tombstones.get(revocation.requestId)?.attempt ?? 0;
    this.tombstones.set(revocation.requestId, {
      attempt: Math.max(earlier, revocation.attempt),
      expiresAtTick: tick + DISPATCH_TTL_MS,
    });
    return 'not-run';
  }

  /** Forgets a finished run whose entry has the whole answer. */
  releaseRun(requestId: string): void {
    const record = this.records.get(requestId);
    if (record?.state === 'finished') this.records.delete(requestId);
  }

  /** Forgets what has expired. */
  removeExpired(tick: number): void {
    for (const [requestId, record] of this.records) {
      const isOver = record.state === 'finished' && record.expiresAtTick < tick;
      if (isOver) this.records.delete(requestId);
    }
    for (const [requestId, tombstone] of this.tombstones) {
      if (tombstone.expiresAtTick < tick) this.tombstones.delete(requestId);
    }
  }

  /** Returns how many runs the table holds. */
  countRecords(): number {
    return this.records.size;
  }
}
