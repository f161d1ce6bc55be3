/**
 * When each engine of a pool activates a new version, so that a share of the
 * pool keeps serving. Every agent computes the same waves from the names of
 * the pool's endpoints; nobody is asked.
 */
import {rankByRendezvous} from '../shared/hash';

/** Number of parts that a pool is activated in. */
export const ACTIVATION_WAVE_COUNT = 2;
const DEFAULT_POOL_ACTIVATION_MS = 7_000;

/** What a wave is computed from. */
export interface ActivationRequest {
  readonly endpoint: string;
  /** Names of the pool's endpoints, as the rules list them. */
  readonly pool: readonly string[];
  readonly version: number;
  /** Time for the whole pool, in ms; undefined for the default. */
  readonly poolActivationMs: number | undefined;
}

/** Returns the delay of an endpoint's activation in ms. */
export function computeActivationDelay(request: ActivationRequest): number {
  const key = `activate-${request.version}`;
  const rank = rankByRendezvous(key, request.pool).indexOf(request.endpoint);
  if (rank < 0 || request.pool.length < ACTIVATION_WAVE_COUNT) return 0;
  const perWave = Math.ceil(request.pool.length / ACTIVATION_WAVE_COUNT);
  const wave = Math.floor(rank / perWave);
  const withinMs = request.poolActivationMs ?? DEFAULT_POOL_ACTIVATION_MS;
  return Math.floor((wave * withinMs) / (ACTIVATION_WAVE_COUNT * 2));
}
