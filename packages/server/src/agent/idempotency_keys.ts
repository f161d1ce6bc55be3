/**
 * Idempotency keys at the agent that owns them: the first call with a key runs,
 * and each later call gets the answer of the first, or the error that it is in
 * progress or that its result is unknown.
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

/** Time within which changed rules are in force on every node. */
const RULES_PROPAGATION_MS = 9_000;

export interface IdempotencyKeysOptions {
  readonly clock: Clock;
  /** Services of the agent's endpoints. */
  readonly services: readonly string[];
  getRulesRevision(): number;
  /** Returns the endpoints that may own idempotency keys of a service. */
  getKeyOwners(service: string): readonly string[];
  /** Replaces the empty table, in tests. */
  readonly table?: IdempotencyTable;
}

export class IdempotencyKeys {
  private readonly table: IdempotencyTable;
  private readonly knownOwners = new Map<string, string>();

  private constructor(private readonly options: IdempotencyKeysOptions) {
    const startedWallMs = options.clock.readWallMs();
    this.table =
      options.table ??
      IdempotencyTable.create({completeSinceWallMs: startedWallMs});
  }

  static create(options: IdempotencyKeysOptions): IdempotencyKeys {
    return new IdempotencyKeys(options);
  }

  /**
   * Returns whether the key of a call may have been used. The owner of the key
   * then answers from its table, whatever the endpoint's condition.
   */
  isPossiblyUsed(request: RunRequest): boolean {
    if (request.idempotencyKey === '') return false;
    this.observeOwners();
    return !this.table.isUnused(createUse(request), this.readTimes());
  }

  /**
   * Claims the key of a call that is about to be queued. If the key already has
   * an answer, that answer is copied to the call.
   */
  claimKey(request: RunRequest, record: RunRecord): Result<void, ServiceError> {
    if (request.idempotencyKey === '') return ok(undefined);
    if (request.rulesRevision !== this.options.getRulesRevision()) {
      const detail = 'the owner of the key was chosen by other rules';
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

  /** Removes expired keys and detects changed owners. */
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
