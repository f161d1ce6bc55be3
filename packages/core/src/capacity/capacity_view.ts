/**
 * The values of one endpoint that decisions use, computed from its estimate and
 * from what is known of the service.
 */
import {EndpointEstimate, getKneeShare} from './endpoint_estimate';
import {DEFAULT_VARIANCE, NO_KNEE} from './knee_fit';

/** Base time assumed without any sample of the service, in ms. */
export const UNKNOWN_BASE_MS = 40;
/** Variance of the logarithm of base times among endpoints of a service, before
 * it is measured: they differ by up to about 1.6. */
export const PRIOR_VARIANCE = 0.25;
/** Bounds of the measured variance: a deviation of 14%, and of 2 times. */
const MIN_PRIOR_VARIANCE = 0.02;
const MAX_PRIOR_VARIANCE = 0.5;
/** Growth of the variance of an estimate without new samples, per ms: after 1 s
 * an endpoint may as well have become 2.7 times as fast. */
const DRIFT_PER_MS = 0.001;
/** Variance of the load that others place, as a share of their mean load; with
 * this factor the approximation of the mean excess is exact at the knee. */
const EXCESS_VARIANCE = 0.64;
/** Surcharge for each own call in progress while no knee is known: among equal
 * endpoints an idle one is safer, but one of half the speed is not better. */
const CAUTION = 0.1;

/** An estimate with the values that decisions use. */
export interface CapacityView {
  readonly id: string;
  readonly estimate: EndpointEstimate;
  slots: number;
  /** Expected time of a call at no load, in ms. */
  baseMs: number;
  /** The same if the endpoint is as fast as it may be. */
  hopefulMs: number;
  kneeLoad: number;
  /** Surcharge for each own call in progress. */
  caution: number;
  refreshedAtMs: number;
  toldBaseMs: number | undefined;
  toldKneeShare: number;
  /** Squared standard error of the logarithm of what was told. */
  toldUncertainty: number;
  toldAtMs: number;
}

export interface ServiceState {
  medianLogBase: number;
  priorVariance: number;
  surcharge: number;
  refreshedAtMs: number;
}

/** Computes the values of decisions: the samples and the service's median,
 * weighted by their variances. */
export function refreshView(
  view: CapacityView,
  {medianLogBase, priorVariance}: ServiceState,
  nowMs: number,
): void {
  const {estimate} = view;
  estimate.scaleByAge(nowMs);
  const fit = estimate.getFit();
  const weight = fit === undefined ? 0 : estimate.getWeight();
  const variance = fit?.variance ?? DEFAULT_VARIANCE;
  const priorWeight = variance / priorVariance;
  const weighPrior = (logBase: number) =>
    (weight * logBase + priorWeight * medianLogBase) / (weight + priorWeight);
  const uncertainty = variance / (weight + priorWeight);
  const ageMs = weight === 0 ? 0 : estimate.computeAgeMs(nowMs);
  const drift = Math.min(1, DRIFT_PER_MS * ageMs);
  const logBase = weighPrior(fit?.logBase ?? medianLogBase);
  const hopefulLogBase =
    fit === undefined ? logBase : weighPrior(estimate.computeHopefulLogBase());
  view.baseMs = Math.exp(logBase + uncertainty / 2);
  view.hopefulMs = Math.exp(
    Math.min(logBase, hopefulLogBase) - Math.sqrt(uncertainty + drift),
  );
  view.kneeLoad = Math.max(1, view.slots * getKneeShare(fit));
  view.caution = fit === undefined || fit.knee === NO_KNEE ? CAUTION : 0;
  view.refreshedAtMs = nowMs;
}

/** Returns the variance among endpoints: that of their estimates, less what the
 * noise of the estimates adds. */
export function estimatePriorVariance(
  logBases: readonly number[],
  noise: number,
): number {
  if (logBases.length < 2) return PRIOR_VARIANCE;
  const mean = logBases.reduce((sum, value) => sum + value) / logBases.length;
  const squares = logBases.reduce((sum, value) => sum + (value - mean) ** 2, 0);
  const variance = squares / (logBases.length - 1) - noise;
  return Math.max(MIN_PRIOR_VARIANCE, Math.min(MAX_PRIOR_VARIANCE, variance));
}

/** Returns the mean factor by which load makes a call longer. */
export function computeLoadCost(
  view: CapacityView,
  outstanding: number,
  nowMs: number,
): number {
  const {estimate, baseMs, kneeLoad} = view;
  const others = estimate.computeOthersLoad(baseMs, nowMs);
  const excess = 1 + outstanding + others - kneeLoad;
  const spread = EXCESS_VARIANCE * others;
  const meanExcess = (excess + Math.sqrt(excess * excess + spread)) / 2;
  return 1 + meanExcess / kneeLoad + view.caution * outstanding;
}
