/** Messages of entries to the coordinator about the starts of calls. */
import * as z from 'zod/mini';

export const USAGE_PATH = '/duties/starts';

const COUNT_SCHEMA = z.object({
  span: z.int(),
  customer: z.string(),
  count: z.int().check(z.gte(0)),
});

/** Schema of a push; `nowMs` is the sender's clock, to which the spans refer, so
 * that only ages matter to the receiver. */
export const USAGE_PUSH_SCHEMA = z.object({
  entry: z.string(),
  incarnation: z.string(),
  nowMs: z.number(),
  wallMs: z.number(),
  counts: z.array(COUNT_SCHEMA),
  /** Receiver that has the counts before these; absent if all are sent. */
  receiver: z.optional(z.string()),
});

/** Schema of the answer. */
export const USAGE_RECEIVED_SCHEMA = z.object({
  /** Unique for each start of a receiver's process. */
  receiver: z.string(),
  /** Whether the counts were taken in; if not, all have to be sent. */
  isComplete: z.boolean(),
});
