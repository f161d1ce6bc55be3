/** Schemas of rollout steps and samples, exchanged by trainers and entries. */
import {z} from 'zod';
import {ERROR_KINDS} from '../errors/error_kinds';

const MAX_GROUPS = 4_096;
const MAX_GROUP_SIZE = 256;
/** Keeps cursors short enough for an HTTP request line. */
const MAX_SLOTS = 32_768;

/** Schema of one prompt of a step. */
export const STEP_PROMPT_SCHEMA = z.strictObject({
  prompt: z.string().min(1),
  maxTokens: z.number().int().positive(),
  /** The trainer's estimate of the answer's length, if it has one. */
  expectedTokens: z.number().int().positive().optional(),
});

/** Schema of the description of a step. */
export const STEP_DESCRIPTION_SCHEMA = z
  .strictObject({
    prompts: z.array(STEP_PROMPT_SCHEMA).min(1).max(MAX_GROUPS),
    /** Number of samples generated for each prompt. */
    groupSize: z.number().int().positive().max(MAX_GROUP_SIZE),
    /** Name of the scoring service. */
    scoring: z.string().min(1),
    /** Largest lag in versions at delivery. */
    stalenessBound: z.number().int().nonnegative(),
    temperature: z.number().nonnegative().default(1),
  })
  .refine(
    step => step.prompts.length * step.groupSize <= MAX_SLOTS,
    `a step has at most ${MAX_SLOTS} samples`,
  );

export type StepDescription = z.infer<typeof STEP_DESCRIPTION_SCHEMA>;

/** Schema of bytes [from, to) of a sample's UTF-8 text and their version. */
export const SAMPLE_SEGMENT_SCHEMA = z.strictObject({
  version: z.number().int(),
  from: z.number().int(),
  to: z.number().int(),
});

/** Schema of a sample as a trainer receives it. */
export const SAMPLE_SCHEMA = z.strictObject({
  slot: z.number().int().nonnegative(),
  group: z.number().int().nonnegative(),
  index: z.number().int().nonnegative(),
  text: z.string(),
  score: z.number(),
  finishReason: z.string(),
  segments: z.array(SAMPLE_SEGMENT_SCHEMA),
});

export type Sample = z.infer<typeof SAMPLE_SCHEMA>;

/** Schema of a slot that has failed permanently and gets no sample. */
export const FAILED_SLOT_SCHEMA = z.strictObject({
  slot: z.number().int().nonnegative(),
  kind: z.enum(ERROR_KINDS),
});

export type FailedSlot = z.infer<typeof FAILED_SLOT_SCHEMA>;

/** Schema of the answer to a pull. */
export const PULL_REPLY_SCHEMA = z.strictObject({
  samples: z.array(SAMPLE_SCHEMA),
  cursor: z.string(),
  /** Number of slots received, the samples of this reply included. */
  delivered: z.number().int(),
  total: z.number().int(),
  /** Whether every slot has been received or has failed permanently. */
  complete: z.boolean(),
  /** Number of stale samples of this step that were dropped so far. */
  droppedStale: z.number().int(),
  /** Trainer version that staleness was checked against. */
  version: z.number().int(),
  failed: z.array(FAILED_SLOT_SCHEMA),
});

export type PullReply = z.infer<typeof PULL_REPLY_SCHEMA>;

/** Returns the name that determines a step's owner and its stored key. */
export function formatStepName(trainer: string, step: string): string {
  return `${trainer}/${step}`;
}
