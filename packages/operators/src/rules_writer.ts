/**
 * Applies a rules file: writes an immutable copy of the revision, then moves
 * the head, which carries the revision, by conditional update.
 *
 * A head write without a clear answer is repeated with the same expected
 * version until the platform says either that it was taken or that the head
 * has moved on. The head names the operations of recent revisions, so that
 * one's own is told from another's even when newer revisions came on top.
 */
import {randomUUID} from 'node:crypto';
import {
  AcceptedRevision,
  AttributedRule,
  RECENT_REVISIONS,
  RULES_HEAD_KEY,
  RULES_HEAD_SCHEMA,
  RULES_REVISION_SCHEMA,
  RulesHead,
  RulesRevision,
  ServiceError,
  createError,
  formatRulesBodyKey,
} from '@sassafrasspan/core';
import type {ObjectStore} from '@sassafrasspan/platform';
import {waitMs} from '@sassafrasspan/runtime';
import {Result, err, ok} from 'neverthrow';

const MAX_HEAD_ATTEMPTS = 6;
const FIRST_RETRY_DELAY_MS = 200;

/** The head as it stands in the object API. */
export interface StoredRulesHead {
  /** Version of the object; 0 before the first revision. */
  readonly objectVersion: number;
  readonly head: RulesHead | undefined;
}

/** What an operator wants to apply. */
export interface RulesEdit {
  readonly text: string;
  readonly rules: readonly AttributedRule[];
  readonly author: string;
  readonly writtenAtMs: number;
  /** Revision that the edit is based on; undefined for the newest. */
  readonly basedOn: number | undefined;
}

/** Lets time pass between tries. */
export type Pause = (durationMs: number) => Promise<void>;

/** A move of the head that one operator attempts. */
interface HeadUpdate {
  readonly revision: RulesRevision;
  readonly head: RulesHead;
  /** Version of the head's object that the move replaces. */
  readonly expectedVersion: number;
}

/** Reads the rules head; `internal` when it is damaged. */
export async function readRulesHead(
  store: ObjectStore,
): Promise<Result<StoredRulesHead, ServiceError>> {
  const stored = await store.readObject(RULES_HEAD_KEY);
  return stored.andThen(object => {
    const objectVersion = object.version;
    if (objectVersion === 0) return ok({objectVersion, head: undefined});
    const parsed = RULES_HEAD_SCHEMA.safeParse(object.value);
    if (parsed.success) return ok({objectVersion, head: parsed.data});
    return err(createError('internal', 'the rules head is damaged'));
  });
}

/** Reads the revision that a head carries. */
export function parseHeadRevision(
  head: RulesHead,
): Result<RulesRevision, ServiceError> {
  const parsed = RULES_REVISION_SCHEMA.safeParse(head.body);
  if (!parsed.success) {
    const detail = `revision ${head.revision} is damaged`;
    return err(createError('internal', detail));
  }
  const {revision, operationId} = parsed.data;
  if (revision === head.revision && operationId === head.operationId) {
    return ok(parsed.data);
  }
  const detail = `the head of revision ${head.revision} carries another`;
  return err(createError('internal', detail));
}

/** Reads the immutable copy of an accepted revision. */
export async function readRulesRevision(
  store: ObjectStore,
  accepted: AcceptedRevision,
): Promise<Result<RulesRevision, ServiceError>> {
  const {revision, operationId} = accepted;
  const key = formatRulesBodyKey(revision, operationId);
  const stored = await store.readObject(key);
  return stored.andThen(object => {
    const parsed = RULES_REVISION_SCHEMA.safeParse(object.value);
    if (parsed.success) return ok(parsed.data);
    return err(createError('internal', `revision ${key} is damaged`));
  });
}

/**
 * Lists accepted revisions, newest first. Copies that a lost race left behind
 * are not among them.
 */
export async function listRulesHistory(
  store: ObjectStore,
): Promise<Result<AcceptedRevision[], ServiceError>> {
  const stored = await readRulesHead(store);
  return stored.map(found => found.head?.recent ?? []);
}

/**
 * Applies an edit; returns the accepted revision. `conflict`: another was
 * accepted instead. `platform-down` with the outcome `unknown`: the platform
 * stayed silent and may still take the write.
 */
export async function applyRules(
  store: ObjectStore,
  edit: RulesEdit,
  pause: Pause = waitMs,
): Promise<Result<RulesRevision, ServiceError>> {
  const stored = await readRulesHead(store);
  if (stored.isErr()) return err({...stored.error, outcome: 'not-run'});
  const current = stored.value.head?.revision ?? 0;
  if (edit.basedOn !== undefined && edit.basedOn !== current) {
    return err(createConflict(current));
  }
  const move = createHeadUpdate(stored.value, edit);
  const {bodyKey} = move.head;
  const body = await store.writeObject(bodyKey, move.revision, 0);
  if (body.isErr() && !(await isStored(store, bodyKey))) {
    return err({...body.error, outcome: 'not-run'});
  }
  return updateHead(store, move, pause);
}

function createHeadUpdate(
  stored: StoredRulesHead,
  edit: RulesEdit,
): HeadUpdate {
  const number = (stored.head?.revision ?? 0) + 1;
  const operationId = randomUUID();
  const revision: RulesRevision = {
    revision: number,
    operationId,
    author: edit.author,
    writtenAtMs: edit.writtenAtMs,
    text: edit.text,
    rules: [...edit.rules],
  };
  const earlier = stored.head?.recent ?? [];
  const recent = [{revision: number, operationId}, ...earlier];
  const head: RulesHead = {
    revision: number,
    operationId,
    bodyKey: formatRulesBodyKey(number, operationId),
    body: revision,
    recent: recent.slice(0, RECENT_REVISIONS),
  };
  return {revision, head, expectedVersion: stored.objectVersion};
}

async function isStored(store: ObjectStore, key: string): Promise<boolean> {
  const found = await store.readObject(key);
  return found.isOk() && found.value.version > 0;
}

/** Repeats the move until the platform's answer settles it. */
async function updateHead(
  store: ObjectStore,
  move: HeadUpdate,
  pause: Pause,
): Promise<Result<RulesRevision, ServiceError>> {
  const {head, expectedVersion} = move;
  let delayMs = FIRST_RETRY_DELAY_MS;
  for (let tries = 0; tries < MAX_HEAD_ATTEMPTS; tries++) {
    if (tries > 0) await pause(delayMs);
    if (tries > 0) delayMs *= 2;
    const moved = await store.writeObject(
      RULES_HEAD_KEY,
      head,
      expectedVersion,
    );
    if (moved.isOk()) return ok(move.revision);
    if (moved.error.kind !== 'conflict') continue;
    const settled = await resolveConflict(store, move);
    if (settled !== undefined) return settled;
  }
  const detail = `revision ${head.revision} may or may not be accepted`;
  return err(createError('platform-down', detail, {outcome: 'unknown'}));
}

/**
 * Decides a move after the head has moved on; undefined when the head cannot
 * be read. A late copy of the write cannot take effect any more.
 */
async function resolveConflict(
  store: ObjectStore,
  move: HeadUpdate,
): Promise<Result<RulesRevision, ServiceError> | undefined> {
  const stored = await readRulesHead(store);
  if (stored.isErr()) return undefined;
  const recent = stored.value.head?.recent ?? [];
  const {operationId} = move.head;
  if (recent.some(accepted => accepted.operationId === operationId)) {
    return ok(move.revision);
  }
  const oldest = recent.at(-1)?.revision ?? 1;
  if (oldest > move.head.revision) return undefined;
  return err(createConflict(stored.value.head?.revision ?? 0));
}

function createConflict(revision: number): ServiceError {
  const detail = `revision ${revision} was accepted in the meantime`;
  return createError('conflict', detail);
}
