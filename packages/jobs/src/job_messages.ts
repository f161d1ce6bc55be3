/**
 * Calls about batch jobs, from entries to the coordinator (`home` on the wire).
 */
import {BATCH_JOB_SCHEMA, JOB_RESULT_SCHEMA} from '@sassafrasspan/core';
import {COORDINATOR_SCHEMA} from '@sassafrasspan/peers';
import * as z from 'zod/mini';

export const JOB_PATHS = {
  submit: '/home/submit',
  read: '/home/read',
  item: '/home/item',
  end: '/home/end',
  ping: '/home/ping',
  takeOver: '/home/take-over',
} as const;

/** Schema of a submission. */
export const SUBMIT_SCHEMA = z.object({job: BATCH_JOB_SCHEMA});

/** Schema of an empty confirmation. */
export const DONE_SCHEMA = z.object({});

/** Fields of all calls about one job. */
const JOB_CALL_FIELDS = {
  jobId: z.string(),
  /** Customer that calls; absent if callers need no API key. */
  customer: z.optional(z.string()),
};

/** Schema of a read of results. */
export const READ_SCHEMA = z.object({
  ...JOB_CALL_FIELDS,
  /** Position of the first result to return, from 0. */
  after: z.number(),
  /** Maximum time to wait for a result, in ms. */
  waitMs: z.number(),
});

/** Schema of results from a position on. */
export const RESULTS_SCHEMA = z.object({
  /** Number of items of the job. */
  total: z.number(),
  results: z.array(JOB_RESULT_SCHEMA),
});

/** Schema of a read of an item's body. */
export const ITEM_SCHEMA = z.object({
  ...JOB_CALL_FIELDS,
  itemId: z.string(),
});

/** Schema of an item's body, base64. */
export const BODY_SCHEMA = z.object({body: z.string()});

/** Schema of a request to end a job. */
export const END_SCHEMA = z.object(JOB_CALL_FIELDS);

/** Schema of the answer to a coordinator that hands over its role. */
export const TAKEN_OVER_SCHEMA = z.object({isDone: z.boolean()});

/** Schema of the answer to a probe. */
export const PING_SCHEMA = z.object({
  /** Epoch in which the node is the coordinator; 0 when it is not. */
  epoch: z.number(),
  /** The coordinator that the node knows. */
  home: z.optional(z.object({record: COORDINATOR_SCHEMA, version: z.number()})),
});

export type ReadCall = z.infer<typeof READ_SCHEMA>;
export type ResultsAnswer = z.infer<typeof RESULTS_SCHEMA>;
export type ItemCall = z.infer<typeof ITEM_SCHEMA>;
export type EndCall = z.infer<typeof END_SCHEMA>;
