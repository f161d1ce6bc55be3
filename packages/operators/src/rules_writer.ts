/**
 * Applies a rules file: writes an immutable revision, then moves the head by
 * conditional update. A lost reply is settled by reading back.
 */
import {randomUUID} from 'node:crypto';
import {
  AttributedRule,
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
import {Result, err, ok} from 'neverthrow';

/** The head as it stands in the object API. */
export interface StoredHead {
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

/** Reads the rules head. */
export async function readRulesHead(
  store: ObjectStore,
): Promise<Result<StoredHead, ServiceError>> {
  const stored = await store.readObject(RULES_HEAD_KEY);
  return stored.map(object => ({
    objectVersion: object.version,
    head:
      object.version === 0 ? undefined : RULES_HEAD_SCHEMA.parse(object.value),
  }));
}

/** Reads the revision that a head names. */
export async function readRulesRevision(
  store: ObjectStore,
  head: RulesHead,
): Promise<Result<RulesRevision, ServiceError>> {
  const stored = await store.readObject(head.bodyKey);
  return stored.andThen(object => {
    const parsed = RULES_REVISION_SCHEMA.safeParse(object.value);
    if (parsed.success) return ok(parsed.data);
    return err(createError('internal', `revision ${head.bodyKey} is damaged`));
  });
}

/** Applies an edit; returns the accepted revision. */
export async function applyRules(
  store: ObjectStore,
  edit: RulesEdit,
): Promise<Result<RulesRevision, ServiceError>> {
  const stored = await readRulesHead(store);
  if (stored.isErr()) return err(stored.error);
  const current = stored.value.head?.revision ?? 0;
  if (edit.basedOn !== undefined && edit.basedOn !== current) {
    return err(createConflict(current));
  }
  const revision: RulesRevision = {
    revision: current + 1,
    operationId: randomUUID(),
    author: edit.author,
    writtenAtMs: edit.writtenAtMs,
    text: edit.text,
    rules: [...edit.rules],
  };
  const bodyKey = formatRulesBodyKey(revision.revision, revision.operationId);
  const body = await store.writeObject(bodyKey, revision, 0);
  if (body.isErr() && !(await hasObject(store, bodyKey))) {
    return err(body.error);
  }
  const {operationId} = revision;
  const head = {revision: revision.revision, operationId, bodyKey};
  const moved = await store.writeObject(
    RULES_HEAD_KEY,
    head,
    stored.value.objectVersion,
  );
  if (moved.isOk()) return ok(revision);
  return settleHead(store, revision, moved.error);
}

async function hasObject(store: ObjectStore, key: string): Promise<boolean> {
  const found = await store.readObject(key);
  return found.isOk() && found.value.version > 0;
}

/** Reads back whether a head write with a lost or refused reply took effect. */
async function settleHead(
  store: ObjectStore,
  revision: RulesRevision,
  cause: ServiceError,
): Promise<Result<RulesRevision, ServiceError>> {
  const stored = await readRulesHead(store);
  if (stored.isErr()) return err(cause);
  const {head} = stored.value;
  if (head?.operationId === revision.operationId) return ok(revision);
  if (cause.kind === 'conflict') {
    return err(createConflict(head?.revision ?? 0));
  }
  return err(cause);
}

function createConflict(revision: number): ServiceError {
  const detail = `revision ${revision} was accepted in the meantime`;
  return createError('conflict', detail);
}
