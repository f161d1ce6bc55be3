/**
 * Names and shapes of the objects that the system keeps in the platform's
 * object API.
 */
import {z} from 'zod';

/** Object that names the newest accepted rules revision. */
export const RULES_HEAD_KEY = 'rules/head';

/** How many accepted revisions the rules head names. */
export const RECENT_REVISIONS = 100;

/** Schema of an accepted revision as later heads name it. */
const ACCEPTED_REVISION_SCHEMA = z.strictObject({
  revision: z.number().int().positive(),
  operationId: z.string(),
});

/** Schema of the rules head. */
export const RULES_HEAD_SCHEMA = z.strictObject({
  revision: z.number().int().positive(),
  operationId: z.string(),
  /** Key of the immutable copy of the revision. */
  bodyKey: z.string(),
  /** The revision itself, checked by the nodes that take it. */
  body: z.unknown(),
  /** Accepted revisions, newest first, this one included. */
  recent: z.array(ACCEPTED_REVISION_SCHEMA),
});

/** An accepted revision as later heads name it. */
export type AcceptedRevision = z.infer<typeof ACCEPTED_REVISION_SCHEMA>;

/** The newest accepted rules revision. */
export type RulesHead = z.infer<typeof RULES_HEAD_SCHEMA>;

/** Returns the key of a revision's body; each attempt has its own. */
export function formatRulesBodyKey(
  revision: number,
  operationId: string,
): string {
  return `rules/revisions/${revision}-${operationId}`;
}

/** Schema of the newest published weight version of a service. */
export const PUBLISHED_VERSION_SCHEMA = z.strictObject({
  service: z.string(),
  version: z.number().int().nonnegative(),
  /** Where the weight store keeps the version. */
  weightsKey: z.string(),
  operationId: z.string(),
  publishedAtMs: z.number(),
  /** A later version that engines stage ahead of its publication. */
  announced: z
    .strictObject({
      version: z.number().int().positive(),
      weightsKey: z.string(),
    })
    .optional(),
});

/** The newest published weight version of a service. */
export type PublishedVersion = z.infer<typeof PUBLISHED_VERSION_SCHEMA>;

/** Returns the key of a service's newest weight version. */
export function formatVersionKey(service: string): string {
  return `versions/${service}`;
}

/** Schema of the fencing number of an endpoint. */
export const FENCING_SCHEMA = z.strictObject({
  endpoint: z.string(),
  number: z.number().int().positive(),
  holder: z.string(),
});

/** The fencing number of an endpoint. */
export type FencingRecord = z.infer<typeof FENCING_SCHEMA>;

/** Returns the key of an endpoint's fencing number. */
export function formatFencingKey(endpoint: string): string {
  return `fencing/${endpoint}`;
}

/** Returns the key of a step's description. */
export function formatStepKey(trainer: string, step: string): string {
  return `steps/${trainer}/${step}`;
}
