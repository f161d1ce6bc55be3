/**
 * Batch jobs: many requests submitted at once, run later, and read back from a
 * log of results. Schemas of what is kept in the object API and sent among
 * nodes.
 */
import * as z from 'zod/mini';

/** Schema of one request of a batch job. */
export const JOB_ITEM_SCHEMA = z.object({
  id: z.string(),
  /** Items of one group share a prompt and are only worth something whole. */
  group: z.string(),
  path: z.string(),
  headers: z.record(z.string(), z.string()),
  /** Body, base64. */
  body: z.string(),
  promptTokens: z.number(),
  /** Most tokens that may be generated. */
  maxOutputTokens: z.number(),
  /** The trainer's estimate of the tokens that will be generated. */
  expectedTokens: z.optional(z.number()),
});

/** Schema of a batch job. */
export const BATCH_JOB_SCHEMA = z.object({
  id: z.string(),
  /** Host and path under which the trainer submitted it. */
  host: z.string(),
  path: z.string(),
  route: z.string(),
  /** Model whose weights generate, and the oldest version that may. */
  model: z.string(),
  minVersion: z.number(),
  /** Whether one version must generate all of an item's text. */
  isSingleVersion: z._default(z.boolean(), false),
  /** Whole groups that the trainer waits for. */
  desiredGroups: z.number(),
  /** Step of the trainer. */
  step: z.number(),
  /** Wall-clock time of the acceptance, in Unix ms. */
  acceptedAtMs: z.number(),
  items: z.array(JOB_ITEM_SCHEMA),
});

/** Schema of a listed result. */
export const JOB_RESULT_SCHEMA = z.object({
  itemId: z.string(),
  state: z.enum(['completed', 'dead']),
  /** Data of all events, separated by line feeds. */
  text: z.string(),
  /** Weight versions that generated an event of the text. */
  versions: z.array(z.number()),
});

/** One request of a batch job. */
export type JobItem = z.infer<typeof JOB_ITEM_SCHEMA>;

/** A batch job. */
export type BatchJob = z.infer<typeof BATCH_JOB_SCHEMA>;

/** A listed result. */
export type JobResult = z.infer<typeof JOB_RESULT_SCHEMA>;

/** An event of a generated text. */
export interface TextEvent {
  readonly data: string;
  /** Weight version that generated it. */
  readonly version: number;
}

/** How a run of an item at an endpoint ended. */
export type RunEnd =
  /** The whole text is there. */
  | 'completed'
  /** The endpoint says that the item can never be done. */
  | 'impossible'
  /** The endpoint failed the item; it counts as an attempt. */
  | 'failed'
  /** The endpoint did not run it. */
  | 'not-run'
  /** The stream broke off; what has arrived is sound. */
  | 'broken'
  /** The home stopped it. */
  | 'stopped';

/** Builds the result of a whole text. */
export function createCompletedResult(
  itemId: string,
  events: readonly TextEvent[],
): JobResult {
  const versions = [...new Set(events.map(event => event.version))];
  return {
    itemId,
    state: 'completed',
    text: events.map(event => event.data).join('\n'),
    versions: versions.sort((a, b) => a - b),
  };
}

/** Builds the result of an item that is given up. */
export function createDeadResult(itemId: string): JobResult {
  return {itemId, state: 'dead', text: '', versions: []};
}
