/**
 * Staggers the activation of a new version over a pool, so that part of the
 * pool keeps serving. Every agent computes the same waves from the names of
 * the pool's endpoints, without coordination.
 */
import {rankByRendezvous} from '../shared/hash';

/** Number of groups into which a pool is split for activation. */
export const ACTIVATION_WAVE_COUNT = 2;
const DEFAULT_POOL_ACTIVATION_MS = 7_000;

/** The activation of a version at one endpoint. */
export interface ActivationRequest {
  readonly endpoint: string;
  /** Names of all endpoints of the pool, as the rules list them. */
  readonly pool: readonly string[];
  readonly version: number;
  /** Time allowed for the entire pool; undefined for the default. */
  readonly poolActivationMs: number | undefined;
}

/**
 * Returns the delay of an endpoint's activation in ms; 0 for an endpoint
 * outside the pool. All waves start within the first half of the allowed time.
 */
export function computeActivationDelay(request: ActivationRequest): number {
  const key = `activate-${request.version}`;
  const rank = rankByRendezvous(key, request.pool).indexOf(request.endpoint);
  if (rank < 0 || request.pool.length < ACTIVATION_WAVE_COUNT) return 0;
  const waveSize = Math.ceil(request.pool.length / ACTIVATION_WAVE_COUNT);
  const wave = Math.floor(rank / waveSize);
  const withinMs = request.poolActivationMs ?? DEFAULT_POOL_ACTIVATION_MS;
  return Math.floor((wave * withinMs) / (ACTIVATION_WAVE_COUNT * 2));
}
