/**
 * Snapshots of a generation, used to resume a stream and to migrate it to
 * another engine with its KV cache.
 */
import {z} from 'zod';

/** Schema of the current state of a generation. */
export const GENERATION_SNAPSHOT_SCHEMA = z.strictObject({
  requestId: z.string(),
  prompt: z.string(),
  /** All words of the generation, including those not generated yet. */
  words: z.array(z.string()),
  /** Number of words generated so far. */
  next: z.number().int().nonnegative(),
  /** Weight version of each generated word. */
  versions: z.array(z.number().int()),
  /** Lower values run first. */
  priority: z.number().int(),
});

/** The current state of a generation. */
export type GenerationSnapshot = z.infer<typeof GENERATION_SNAPSHOT_SCHEMA>;

/** Schema of a call that resumes a broken stream. */
export const RESUME_SCHEMA = z.strictObject({
  requestId: z.string(),
  /** First word that the caller does not have yet. */
  from: z.number().int().nonnegative(),
});

/** Schema of a call that exports a running generation. */
export const EXPORT_SCHEMA = z.strictObject({requestId: z.string()});

/** Copies the state and the arrays, so that later tokens don't change it. */
export function copyGeneration(
  generation: Readonly<GenerationSnapshot>,
): GenerationSnapshot {
  const {requestId, prompt, words, next, versions, priority} = generation;
  const copies = {words: [...words], versions: [...versions]};
  return {requestId, prompt, next, priority, ...copies};
}
