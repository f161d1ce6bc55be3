/**
 * Applies a rules file: stores an immutable copy of the new revision, then
 * replaces the rules head, the pointer to the latest revision, by a
 * conditional update. The head also contains the revision itself.
 *
 * A head write whose outcome is unknown is retried with the same expected
 * version until the platform reports either success or a conflict. After a
 * conflict the head decides: it lists the operation ids of recent revisions,
 * so an operator recognizes its own revision even if newer ones followed it.
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

/** The rules head with its object version, as read from the object API. */
export interface StoredRulesHead {
  /** Version of the object; 0 before the first revision. */
  readonly objectVersion: number;
  readonly head: RulesHead | undefined;
}

/** A new revision that an operator wants to apply. */
export interface RulesEdit {
  readonly text: string;
  readonly rules: readonly AttributedRule[];
  readonly author: string;
  readonly writtenAtMs: number;
  /** Revision that the edit is based on; undefined for the latest one. */
  readonly basedOn: number | undefined;
}

/** Waits between attempts. */
export type Pause = (durationMs: number) => Promise<void>;

/** A conditional update of the head that one operator attempts. */
interface HeadUpdate {
  readonly revision: RulesRevision;
  readonly head: RulesHead;
  /** Object version of the head that the update replaces. */
  readonly expectedVersion: number;
}

/** Fails with `internal` when the stored head does not match its schema. */
export async function readRulesHead(
  store: ObjectStore,
): Promise<Result<StoredRulesHead, ServiceError>> {
  const stored = await store.readObject(RULES_HEAD_KEY);
  return stored.andThen(object => {
    const objectVersion = object.version;
    if (objectVersion === 0) return ok({objectVersion, head: undefined});
    const parsed = RULES_HEAD_SCHEMA.safeParse(object.value);
    if (parsed.success) return ok({objectVersion, head: parsed.data});
    return err(createError('internal', 'the stored rules head is invalid'));
  });
}

/** Returns the revision contained in a head; `internal` when it is invalid. */
export function parseHeadRevision(
  head: RulesHead,
): Result<RulesRevision, ServiceError> {
  const parsed = RULES_REVISION_SCHEMA.safeParse(head.body);
  if (!parsed.success) {
    const detail = `the stored revision ${head.revision} is invalid`;
    return err(createError('internal', detail));
  }
  const {revision, operationId} = parsed.data;
  if (revision === head.revision && operationId === head.operationId) {
    return ok(parsed.data);
  }
  const detail = `the rules head names revision ${head.revision} but contains another`;
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
    return err(
      createError('internal', `the stored revision ${key} is invalid`),
    );
  });
}

/**
 * Lists recent accepted revisions, newest first. Copies stored by edits that
 * lost a race are not included.
 */
export async function listRulesHistory(
  store: ObjectStore,
): Promise<Result<AcceptedRevision[], ServiceError>> {
  const stored = await readRulesHead(store);
  return stored.map(({head}) => head?.recent ?? []);
}

/**
 * Returns the accepted revision. Fails with `conflict` when another edit was
 * accepted instead, and with `platform-down` and outcome `unknown` when the
 * platform did not answer and may still apply the write.
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
  const update = createHeadUpdate(stored.value, edit);
  const {bodyKey} = update.head;
  const body = await store.writeObject(bodyKey, update.revision, 0);
  if (body.isErr() && !(await isStored(store, bodyKey))) {
    return err({...body.error, outcome: 'not-run'});
  }
  return updateHead(store, update, pause);
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
  const stored = await store.readObject(key);
  return stored.isOk() && stored.value.version > 0;
}

/**
 * Retries the update, with exponential backoff, until the platform reports
 * success or a conflict that can be resolved.
 */
async function updateHead(
  store: ObjectStore,
  update: HeadUpdate,
  pause: Pause,
): Promise<Result<RulesRevision, ServiceError>> {
  const {head, expectedVersion} = update;
  let delayMs = FIRST_RETRY_DELAY_MS;
  for (let attempt = 0; attempt < MAX_HEAD_ATTEMPTS; attempt++) {
    if (attempt > 0) await pause(delayMs);
    if (attempt > 0) delayMs *= 2;
    const written = await store.writeObject(
      RULES_HEAD_KEY,
      head,
      expectedVersion,
    );
    if (written.isOk()) return ok(update.revision);
    if (written.error.kind !== 'conflict') continue;
    const resolved = await resolveConflict(store, update);
    if (resolved !== undefined) return resolved;
  }
  const detail = `it is unknown whether revision ${head.revision} was accepted`;
  return err(createError('platform-down', detail, {outcome: 'unknown'}));
}

/**
 * Determines after a conflict whether the update was accepted. The object
 * version has changed, so a delayed copy of the write can no longer take
 * effect. Returns undefined when the head cannot be read, or when it no longer
 * lists revisions that old.
 */
async function resolveConflict(
  store: ObjectStore,
  update: HeadUpdate,
): Promise<Result<RulesRevision, ServiceError> | undefined> {
  const stored = await readRulesHead(store);
  if (stored.isErr()) return undefined;
  const recent = stored.value.head?.recent ?? [];
  const {operationId} = update.head;
  if (recent.some(accepted => accepted.operationId === operationId)) {
    return ok(update.revision);
  }
  const oldest = recent.at(-1)?.revision ?? 1;
  if (oldest > update.head.revision) return undefined;
  return err(createConflict(stored.value.head?.revision ?? 0));
}

function createConflict(revision: number): ServiceError {
  const detail = `revision ${revision} was accepted in the meantime`;
  return createError('conflict', detail);
}
