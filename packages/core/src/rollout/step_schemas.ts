/**
 * Schemas of rollout steps and samples, as trainers and entries exchange
 * them.
 */
import {z} from 'zod';
import {ERROR_KINDS} from '../errors/error_kinds';

const MAX_GROUPS = 4_096;
const MAX_GROUP_SIZE = 256;
/** A cursor of this many slots still fits a request line. */
const MAX_SLOTS = 32_768;

/** Schema of one prompt of a step. */
export const STEP_PROMPT_SCHEMA = z.strictObject({
  prompt: z.string().min(1),
  maxTokens: z.number().int().positive(),
  /** Expected tokens, where the trainer has a guess. */
  expectedTokens: z.number().int().positive().optional(),
});

/** Schema of the description of a step. */
export const STEP_DESCRIPTION_SCHEMA = z
  .strictObject({
    prompts: z.array(STEP_PROMPT_SCHEMA).min(1).max(MAX_GROUPS),
    /** Samples generated for each prompt. */
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

/** The description of a step. */
export type StepDescription = z.infer<typeof STEP_DESCRIPTION_SCHEMA>;

/** Schema of bytes [from, to) of a sample's UTF-8 text, of one version. */
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

/** A sample as a trainer receives it. */
export type Sample = z.infer<typeof SAMPLE_SCHEMA>;

/** Schema of a slot that can have no sample. */
export const FAILED_SLOT_SCHEMA = z.strictObject({
  slot: z.number().int().nonnegative(),
  kind: z.enum(ERROR_KINDS),
});

/** A slot that can have no sample. */
export type FailedSlot = z.infer<typeof FAILED_SLOT_SCHEMA>;

/** Schema of the answer to a pull. */
export const PULL_REPLY_SCHEMA = z.strictObject({
  samples: z.array(SAMPLE_SCHEMA),
  cursor: z.string(),
  /** Slots received, these samples included. */
  delivered: z.number().int(),
  total: z.number().int(),
  /** Whether every slot has been received or has failed for good. */
  complete: z.boolean(),
  /** Samples of this step dropped as too old so far. */
  droppedStale: z.number().int(),
  /** Version that staleness was checked against. */
  version: z.number().int(),
  failed: z.array(FAILED_SLOT_SCHEMA),
});

/** The answer to a pull. */
export type PullReply = z.infer<typeof PULL_REPLY_SCHEMA>;

/** Returns the name under which a step is placed and stored. */
export function formatStepName(trainer: string, step: string): string {
  return `${trainer}/${step}`;
}
