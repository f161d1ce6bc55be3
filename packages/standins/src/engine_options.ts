/** Options of a stand-in engine, and the faults that `/admin/faults` sets. */
import {z} from 'zod';

/** Schema of the options of a stand-in engine. */
export const ENGINE_OPTIONS_SCHEMA = z.strictObject({
  /** Generations that run at the same time. */
  slots: z.number().int().positive().default(8),
  tokenIntervalMs: z.number().positive().default(5),
  /** Capacity of the prefix cache. */
  cachedPrompts: z.number().int().positive().default(16),
  /** Whether orders with an outdated fencing number are rejected. */
  fencing: z.enum(['checks', 'ignores']).default('checks'),
  /** Time before a measured load is reported, in ms. */
  loadLagMs: z.number().nonnegative().default(200),
  /** Downtime after a crash, in ms. */
  restartMs: z.number().nonnegative().default(500),
  /** Duration of the activation of a weight version, in ms. */
  activateMs: z.number().nonnegative().default(20),
});

/** Options of a stand-in engine. */
export type EngineOptions = z.infer<typeof ENGINE_OPTIONS_SCHEMA>;

/** Schema of the body of `/admin/faults`; omitted faults stay as they are. */
export const ENGINE_FAULTS_SCHEMA = z.strictObject({
  /** The next activation fails and leaves the version unknown. */
  failNextSwap: z.boolean().optional(),
  /** The next stream closes after this many tokens, without a final event. */
  closeEarlyAfter: z.number().int().nullable().optional(),
  /** No tokens are generated. */
  stalled: z.boolean().optional(),
  /** Broken streams are saved, so that `/v1/resume` can resume them. */
  keepBroken: z.boolean().optional(),
  /** Delay before cache events are published, in ms. */
  cacheEventLagMs: z.number().nonnegative().optional(),
  /** Every n-th cache event is lost; 0 for none. */
  dropCacheEvery: z.number().int().nonnegative().optional(),
  /** The engine crashes immediately. */
  crash: z.boolean().optional(),
});
