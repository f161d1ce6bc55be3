/** Options of a stand-in engine, and the faults that an admin call sets. */
import {z} from 'zod';

/** Schema of the options of a stand-in engine. */
export const ENGINE_OPTIONS_SCHEMA = z.strictObject({
  slots: z.number().int().positive().default(8),
  tokenIntervalMs: z.number().positive().default(5),
  cachedPrompts: z.number().int().positive().default(16),
  fencing: z.enum(['checks', 'ignores']).default('checks'),
  loadLagMs: z.number().nonnegative().default(200),
  /** Time for which the engine is away after a crash, in ms. */
  restartMs: z.number().nonnegative().default(500),
  activateMs: z.number().nonnegative().default(20),
});

/** Options of a stand-in engine. */
export type EngineOptions = z.infer<typeof ENGINE_OPTIONS_SCHEMA>;

/** Schema of the faults that an admin call sets. */
export const ENGINE_FAULTS_SCHEMA = z.strictObject({
  /** The next activation fails and leaves the version unknown. */
  failNextSwap: z.boolean().optional(),
  /** The next stream ends after this many tokens, without its end. */
  closeEarlyAfter: z.number().int().nullable().optional(),
  /** Generation stands still. */
  stalled: z.boolean().optional(),
  /** Broken streams can be resumed. */
  keepBroken: z.boolean().optional(),
  /** Time after which cache events are published, in ms. */
  cacheEventLagMs: z.number().nonnegative().optional(),
  /** Every cache event of this many is lost. */
  dropCacheEvery: z.number().int().nonnegative().optional(),
  /** Crash now. */
  crash: z.boolean().optional(),
});
