/**
 * Keys and schemas of the objects that the system stores in the platform's
 * object API.
 */
import {z} from 'zod';

/** Key of the pointer to the latest accepted rules revision. */
export const RULES_HEAD_KEY = 'rules/head';

/** Maximum number of accepted revisions listed in the pointer. */
export const RECENT_REVISIONS = 100;

const ACCEPTED_REVISION_SCHEMA = z.strictObject({
  revision: z.number().int().positive(),
  operationId: z.string(),
});

/** Schema of the pointer to the latest accepted rules revision. */
export const RULES_HEAD_SCHEMA = z.strictObject({
  revision: z.number().int().positive(),
  operationId: z.string(),
  /** Key of the immutable object that stores the revision. */
  bodyKey: z.string(),
  /** The revision itself, validated by the nodes that apply it. */
  body: z.unknown(),
  /** Accepted revisions, newest first, including this one. */
  recent: z.array(ACCEPTED_REVISION_SCHEMA),
});

/** An accepted revision as listed in later pointers. */
export type AcceptedRevision = z.infer<typeof ACCEPTED_REVISION_SCHEMA>;

/** The pointer to the latest accepted rules revision. */
export type RulesHead = z.infer<typeof RULES_HEAD_SCHEMA>;

/**
 * Returns the key of a revision's body. It includes the operation id, so that
 * each attempt to write the revision has its own key.
 */
export function formatRulesBodyKey(
  revision: number,
  operationId: string,
): string {
  return `rules/revisions/${revision}-${operationId}`;
}

/** Schema of the latest published weight version of a service. */
export const PUBLISHED_VERSION_SCHEMA = z.strictObject({
  service: z.string(),
  version: z.number().int().nonnegative(),
  /** Key of the version in the weight store. */
  weightsKey: z.string(),
  operationId: z.string(),
  publishedAtMs: z.number(),
  /** A later version that engines load into staging before its publication. */
  announced: z
    .strictObject({
      version: z.number().int().positive(),
      weightsKey: z.string(),
    })
    .optional(),
});

/** The latest published weight version of a service. */
export type PublishedVersion = z.infer<typeof PUBLISHED_VERSION_SCHEMA>;

export function formatVersionKey(service: string): string {
  return `versions/${service}`;
}

export const FENCING_SCHEMA = z.strictObject({
  endpoint: z.string(),
  number: z.number().int().positive(),
  holder: z.string(),
});

/** The fencing number of an endpoint. */
export type FencingRecord = z.infer<typeof FENCING_SCHEMA>;

export function formatFencingKey(endpoint: string): string {
  return `fencing/${endpoint}`;
}

export function formatStepKey(trainer: string, step: string): string {
  return `steps/${trainer}/${step}`;
}
