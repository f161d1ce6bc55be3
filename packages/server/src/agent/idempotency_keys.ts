/**
 * Idempotency keys at the agent that is their home: the first call of a key
 * runs, and each later one gets the answer of the first, "in progress" or
 * "unknown".
 */
import {
  AnswerBuffer,
  AnswerFrame,
  Clock,
  IdempotencyTable,
  KeyUse,
  RunRecord,
  ServiceError,
  createError,
  getErrorAnswer,
} from '@sassafrasspan/core';
import type {RunRequest} from '@sassafrasspan/nodes';
import {Result, err, ok} from 'neverthrow';

/** Time in which changed rules reach every node. */
const RULES_PROPAGATION_MS = 9_000;

/** What the claims of an agent are built from. */
export interface IdempotencyKeysOptions {
  readonly clock: Clock;
  /** Services of the agent's endpoints. */
  readonly services: readonly string[];
  getRulesRevision(): number;
  /** Returns the names among which a service's keys have their homes. */
  getKeyOwners(service: string): readonly string[];
  /** Table to use in place of an empty one. */
  readonly table?: IdempotencyTable;
}

/** The keys of one agent. */
export class IdempotencyKeys {
  private readonly table: IdempotencyTable;
  private readonly knownOwners = new Map<string, string>();

  private constructor(private readonly options: IdempotencyKeysOptions) {
    const startedWallMs = options.clock.readWallMs();
    this.table =
      options.table ??
      IdempotencyTable.create({completeSinceWallMs: startedWallMs});
  }

  /** Builds the memory of a new life of an agent. */
  static create(options: IdempotencyKeysOptions): IdempotencyKeys {
    return new IdempotencyKeys(options);
  }

  /**
   * Tells whether a call brings a key that may have been used: its home then
   * answers for the key, whatever the endpoint's condition.
   */
  isPossiblyUsed(request: RunRequest): boolean {
    if (request.idempotencyKey === '') return false;
    this.observeOwners();
    return !this.table.isUnused(createUse(request), this.readTimes());
  }

  /**
   * Claims the key of a call that is about to be queued. The call's answer is
   * final afterwards if its key has an answer.
   */
  claimKey(request: RunRequest, record: RunRecord): Result<void, ServiceError> {
    if (request.idempotencyKey === '') return ok(undefined);
    if (request.rulesRevision !== this.options.getRulesRevision()) {
      const detail = 'homes of keys are judged by one revision of the rules';
      return err(createError('stale-rules', detail));
    }
    this.observeOwners();
    const use = createUse(request);
    const claim = this.table.claimKey(use, this.readTimes());
    return claim.map(claimed => {
      if (claimed.type === 'first') {
        return this.recordFinalAnswer(use, record.answer);
      }
      record.answer.markAccepted();
      claimed.answer.subscribe(0, frame => copyFrame(frame, record.answer));
    });
  }

  private recordFinalAnswer(use: KeyUse, answer: AnswerBuffer): void {
    answer.subscribe(0, frame => {
      if (frame.type !== 'end' && frame.type !== 'failed') return;
      if (isNotRun(frame)) this.table.releaseKey(use);
      else this.table.recordAnswer(use, answer, this.readTimes().monotonicMs);
    });
  }

  private readTimes() {
    const {clock} = this.options;
    return {monotonicMs: clock.readMonotonicMs(), wallMs: clock.readWallMs()};
  }

  /** Forgets what has expired and looks for homes that have moved. */
  removeExpired(): void {
    this.observeOwners();
    this.table.removeExpired(this.readTimes().monotonicMs);
  }

  private observeOwners(): void {
    for (const service of this.options.services) {
      const owners = this.options.getKeyOwners(service).join(' ');
      const previous = this.knownOwners.get(service);
      if (owners === '' || owners === previous) continue;
      this.knownOwners.set(service, owners);
      if (previous === undefined) continue;
      this.table.recordOwnerChange(
        this.readTimes().wallMs + RULES_PROPAGATION_MS,
      );
    }
  }
}

function createUse(request: RunRequest): KeyUse {
  const {customer, fingerprint, idempotencyKey} = request;
  return {customer, fingerprint, key: idempotencyKey};
}

function isNotRun(frame: AnswerFrame): boolean {
  if (frame.type !== 'failed') return false;
  return getErrorAnswer(frame.error).outcome === 'not-run';
}

function copyFrame(frame: AnswerFrame, answer: AnswerBuffer): void {
  if (frame.type === 'head') answer.setHead(frame.head);
  if (frame.type === 'end') answer.finish(frame.end);
  if (frame.type === 'failed') answer.fail(frame.error);
  if (frame.type !== 'chunk') return;
  const {data, weightVersion, tokens} = frame.chunk;
  answer.appendData(data, weightVersion, tokens);
}
