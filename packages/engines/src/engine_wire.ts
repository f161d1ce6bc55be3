/** Schemas of a model engine's streamed completions and load report. */
import {z} from 'zod';

/** Schema of one event of a streamed completion. */
export const COMPLETION_EVENT_SCHEMA = z.object({
  choices: z
    .array(
      z.object({
        text: z.string().default(''),
        finish_reason: z.string().nullable().optional(),
      }),
    )
    .default([]),
  /** Weight version that produced this event's text. */
  weight_version: z.number().int().nullable().optional(),
  usage: z
    .object({
      prompt_tokens: z.number().int(),
      completion_tokens: z.number().int(),
      cached_tokens: z.number().int().optional(),
    })
    .nullable()
    .optional(),
});

/** One event of a streamed completion. */
export type CompletionEvent = z.infer<typeof COMPLETION_EVENT_SCHEMA>;

/** Schema of an engine's load report. */
export const LOAD_SCHEMA = z.object({
  running: z.number(),
  waiting: z.number(),
  kv_use: z.number().min(0).max(1),
  weight_version: z.number().int().nullable(),
  tokens_per_second: z.number(),
});

/** Data of the event that ends a stream. */
export const STREAM_END = '[DONE]';
