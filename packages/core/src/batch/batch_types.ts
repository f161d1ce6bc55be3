/**
 * Batch jobs: many requests that a trainer submits at once, that run
 * asynchronously, and whose results are read from a log. The schemas describe
 * what is stored in the object API and sent between nodes.
 */
import * as z from 'zod/mini';

/** Schema of the call that obtains the score of an item's text. */
export const SCORING_CALL_SCHEMA = z.object({
  /** ID of the request, unique among all requests. */
  id: z.string(),
  /** Host and path that select the route of the call. */
  host: z.string(),
  path: z.string(),
  /** Base64-encoded body. */
  body: z.string(),
});

/** Schema of an item: one request of a batch job. */
export const JOB_ITEM_SCHEMA = z.object({
  id: z.string(),
  /** Items of a group share a prompt; only a complete group is usable. */
  group: z.string(),
  path: z.string(),
  headers: z.record(z.string(), z.string()),
  /** Base64-encoded body. */
  body: z.string(),
  promptTokens: z.number(),
  /** Maximum number of tokens to generate. */
  maxOutputTokens: z.number(),
  /** The trainer's estimate of the number of generated tokens. */
  expectedTokens: z.optional(z.number()),
  /** Call that scores the complete text; without one, texts have no score. */
  scoringCall: z.optional(SCORING_CALL_SCHEMA),
});

/** Schema of a batch job as it is stored. */
export const BATCH_JOB_SCHEMA = z.object({
  id: z.string(),
  /** Host and path to which the trainer submitted the job. */
  host: z.string(),
  path: z.string(),
  route: z.string(),
  /** Customer that submitted the job; absent if callers need no API key. */
  customer: z.optional(z.string()),
  /** Model that generates the texts, and the oldest allowed weight version. */
  model: z.string(),
  minVersion: z.number(),
  /** Whether a single version must generate the complete text of an item. */
  isSingleVersion: z._default(z.boolean(), false),
  /** Number of complete groups that the trainer waits for. */
  desiredGroups: z.number(),
  /** Training step for which the job was submitted. */
  step: z.number(),
  /** Wall-clock time of acceptance, in Unix ms. */
  acceptedAtMs: z.number(),
  items: z.array(JOB_ITEM_SCHEMA),
});

/** Schema of a result in the results log. */
export const JOB_RESULT_SCHEMA = z.object({
  itemId: z.string(),
  state: z.enum(['completed', 'dead']),
  /** Data of all events, separated by line feeds. */
  text: z.string(),
  /** Weight versions that generated the text, in ascending order. */
  versions: z.array(z.number()),
  /** Score of the text, if the item has a scoring call. */
  score: z.optional(z.string()),
});

/** The call that obtains the score of an item's text. */
export type ScoringCall = z.infer<typeof SCORING_CALL_SCHEMA>;

/** An item: one request of a batch job. */
export type JobItem = z.infer<typeof JOB_ITEM_SCHEMA>;

/** A batch job as the trainer submitted it, with the time of acceptance. */
export type BatchJob = z.infer<typeof BATCH_JOB_SCHEMA>;

/** A result in the results log. */
export type JobResult = z.infer<typeof JOB_RESULT_SCHEMA>;

/** A generated chunk of an item's text. */
export interface TextEvent {
  readonly data: string;
  /** Weight version that generated the event. */
  readonly version: number;
  /** Version of the software of the endpoint that generated it. */
  readonly software: string;
}

/** How a run of an item at an endpoint ended. */
export type RunEnd =
  /** The text is complete. */
  | 'completed'
  /** The endpoint reported that the item can never succeed. */
  | 'impossible'
  /** The endpoint answered with an error; this counts as a failed attempt. */
  | 'failed'
  /** The endpoint never started the run. */
  | 'not-run'
  /** The stream was interrupted; the events that arrived are valid. */
  | 'broken'
  /** The coordinator stopped the run. */
  | 'stopped';

/** Builds the result of an item from all events of its text. */
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

/** Returns the number of events of a completed result's text. */
export function countEvents({text}: JobResult): number {
  return text.split('\n').length;
}

/** Builds the result of an item that will not be retried. */
export function createDeadResult(itemId: string): JobResult {
  return {itemId, state: 'dead', text: '', versions: []};
}
