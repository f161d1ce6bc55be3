/**
 * Estimates of all endpoints at one node, and the choice of an endpoint by
 * them: that of the lowest expected time. What the node has not called lately
 * is tried within a stated limit on what this may cost callers.
 */
import type {EndpointEntry} from '../fleet/endpoint_directory';
import type {RandomSource} from '../shared/clock';
import {
  CapacityDigest,
  CapacitySample,
  EndpointEstimate,
  getKneeShare,
} from './endpoint_estimate';
import {
  CapacityView,
  PRIOR_VARIANCE,
  ServiceState,
  UNKNOWN_BASE_MS,
  computeLoadCost,
  estimatePriorVariance,
  refreshView,
} from './capacity_view';
import {ExplorationBudget} from './exploration_budget';
import {KNEE_SHARES} from './knee_fit';

/**
 * `off`: fixed costs. `on`: estimates for every service. `reported`: estimates
 * for services with an endpoint that reports its slowness.
 */
export type CapacityMode = 'off' | 'on' | 'reported';

/** Endpoints that one decision compares, spread over the list from a random
 * offset; the best of 12 random ones is among the best fifth in 93% of the
 * decisions, at a cost that doesn't grow with the service. */
const MAX_COMPARED = 12;
/** Weight from which an estimate counts in the service's median. */
const MIN_MEDIAN_WEIGHT = 3;
/** Interval at which the values of a decision are computed anew, in ms. */
const REFRESH_MS = 200;
/** Random surcharge on each cost, which distributes equal endpoints. */
const MIN_SURCHARGE = 0.02;
/** The same at most, and for each unit of load that others place on the service
 * relative to a knee: nodes that know the same estimates, and each other's calls
 * only with delay, must not all choose the same endpoint. */
const MAX_SURCHARGE = 0.3;
/** Difference of the logarithm of base times from which a change is material: a
 * factor of 1.3. It must also be this many standard errors. */
const MATERIAL_DIFFERENCE = 0.26;
const MATERIAL_ERRORS = 3;
/** Weight from which a change of an estimate is told. */
const MIN_TOLD_WEIGHT = 6;
/** Minimum time between two told changes of an endpoint, in ms. */
const TOLD_INTERVAL_MS = 10_000;

/** A material change of an estimate. */
export interface CapacityChange {
  readonly endpointId: string;
  readonly baseMs: number;
  readonly previousBaseMs: number | undefined;
  /** Knee as a share of the slots. */
  readonly kneeShare: number;
  /** Number of samples, discounted by age. */
  readonly weight: number;
  readonly meanSlowness: number;
}

export interface CapacityEstimatorOptions {
  readonly mode: CapacityMode;
  readonly random: RandomSource;
  readonly onChanged?: (change: CapacityChange) => void;
  /** Called when an endpoint is tried that is not expected to be the best. */
  readonly onExplored?: (endpointId: string) => void;
}

/** Endpoints that a decision compares. */
export interface CapacityCandidates {
  readonly endpoints: readonly EndpointEntry[];
  /** Returns the calls of this node in progress; undefined if the endpoint may
   * not be chosen. */
  readonly countOutstanding: (endpoint: EndpointEntry) => number | undefined;
  /** Returns the factor for what an estimate doesn't cover. */
  readonly computeFactor: (endpoint: EndpointEntry) => number;
  /** Whether another endpoint than the best may be tried. */
  readonly mayExplore: boolean;
}

export class CapacityEstimator {
  private readonly views = new Map<string, CapacityView>();
  private readonly services = new Map<string, ServiceState>();
  private readonly reportingServices = new Set<string>();
  private readonly budget: ExplorationBudget;
  private reportingCount = 0;

  private constructor(private readonly options: CapacityEstimatorOptions) {
    this.budget = ExplorationBudget.create(options.random);
  }

  static create(options: CapacityEstimatorOptions): CapacityEstimator {
    return new CapacityEstimator(options);
  }

  /** Returns whether estimates decide among these endpoints of one service. */
  isOn(endpoints: readonly EndpointEntry[]): boolean {
    if (this.options.mode !== 'reported') return this.options.mode === 'on';
    if (endpoints.length === 0 || this.reportingCount === 0) return false;
    const {service} = endpoints[0];
    if (this.reportingServices.has(service)) return true;
    const isReporting = endpoints.some(
      ({id}) => this.views.get(id)?.estimate.hasSlowness() === true,
    );
    if (isReporting) this.reportingServices.add(service);
    return isReporting;
  }

  /** Returns whether estimates decide for any service. */
  isInUse(): boolean {
    return this.options.mode === 'on' || this.reportingCount > 0;
  }

  /** Returns whether a sample of the endpoint may be of use. */
  needsSample(id: string, slowness: number | undefined): boolean {
    if (this.options.mode !== 'reported' || slowness !== undefined) return true;
    return this.views.get(id)?.estimate.hasSlowness() === true;
  }

  /** Returns the endpoint to call; undefined if none may be chosen. */
  choose(
    candidates: CapacityCandidates,
    nowMs: number,
  ): EndpointEntry | undefined {
    const count = candidates.endpoints.length;
    if (count === 0) return undefined;
    this.budget.addCall();
    const compared = Math.min(count, MAX_COMPARED);
    const chosen = this.chooseAmong(candidates, compared, nowMs);
    if (chosen !== undefined || compared === count) return chosen;
    return this.chooseAmong(candidates, count, nowMs);
  }

  private chooseAmong(
    candidates: CapacityCandidates,
    compared: number,
    nowMs: number,
  ): EndpointEntry | undefined {
    const {endpoints, countOutstanding, computeFactor, mayExplore} = candidates;
    const service = this.refreshService(endpoints, nowMs);
    const {random} = this.options;
    const step = endpoints.length / compared;
    const offset = step > 1 ? random() * endpoints.length : 0;
    let best: EndpointEntry | undefined;
    let lowestCost = Infinity;
    let hopeful: CapacityView | undefined;
    let hopefulEndpoint: EndpointEntry | undefined;
    let lowestHope = Infinity;
    let hopefulCost = Infinity;
    for (let i = 0; i < compared; i++) {
      const index = Math.floor(offset + i * step) % endpoints.length;
      const endpoint = endpoints[index];
      const outstanding = countOutstanding(endpoint);
      if (outstanding === undefined) continue;
      const view = this.getView(endpoint.id);
      if (nowMs - view.refreshedAtMs > REFRESH_MS) {
        view.slots = endpoint.slots;
        refreshView(view, service, nowMs);
      }
      const factor =
        computeFactor(endpoint) *
        (1 + service.surcharge * random()) *
        computeLoadCost(view, outstanding, nowMs) *
        view.estimate.computeSlowness(nowMs);
      const cost = view.baseMs * factor;
      if (cost < lowestCost) {
        lowestCost = cost;
        best = endpoint;
      }
      const hope = view.hopefulMs * factor;
      if (hope < lowestHope && outstanding === 0) {
        lowestHope = hope;
        hopeful = view;
        hopefulEndpoint = endpoint;
        hopefulCost = cost;
      }
    }
    if (!mayExplore || hopeful === undefined) return best;
    if (hopefulEndpoint === best || lowestHope >= lowestCost) return best;
    const isConfirmation = hopeful.estimate.isSurprisinglyFast();
    const extraCost = hopefulCost / lowestCost - 1;
    if (!this.budget.spend(extraCost, isConfirmation)) return best;
    this.options.onExplored?.(hopeful.id);
    return hopefulEndpoint;
  }

  /** Takes in an answered call. */
  learnSample(
    id: string,
    sample: CapacitySample,
    ownOutstanding: number,
    nowMs: number,
  ): boolean {
    const view = this.getView(id);
    const hadSlowness = view.estimate.hasSlowness();
    const isChange = view.estimate.learnSample(sample, ownOutstanding, nowMs);
    if (!hadSlowness && view.estimate.hasSlowness()) this.reportingCount += 1;
    if (sample.slots > 0) view.slots = sample.slots;
    this.refreshLater(view, nowMs);
    return isChange;
  }

  /** Takes in that a call has not ended after this time. */
  learnSlowCall(id: string, tookMs: number, nowMs: number): void {
    const view = this.getView(id);
    if (view.slots === 0) return;
    view.estimate.learnSlowCall(tookMs, view.slots, nowMs);
    this.refreshLater(view, nowMs);
  }

  /** Takes in what a node knows that receives the samples of all nodes. An
   * estimate from more samples is kept: that node may have just begun. */
  importDigest(digest: CapacityDigest, nowMs: number): boolean {
    // Another version of the software may compare other knees.
    if (digest.sums.length !== KNEE_SHARES.length) return false;
    if (digest.squares.length !== KNEE_SHARES.length) return false;
    const view = this.getView(digest.id);
    const {estimate} = view;
    estimate.scaleByAge(nowMs);
    if (digest.weight < estimate.getWeight() / 2) return false;
    const hadSlowness = estimate.hasSlowness();
    estimate.importDigest(digest, nowMs);
    if (!hadSlowness && estimate.hasSlowness()) this.reportingCount += 1;
    this.refreshLater(view, nowMs);
    return true;
  }

  exportDigest(id: string, nowMs: number): CapacityDigest | undefined {
    return this.views.get(id)?.estimate.exportDigest(id, nowMs);
  }

  /** Returns the mean time of calls in ms, each endpoint weighted by its calls;
   * undefined if it is unknown. */
  estimateMeanMs(endpoints: readonly EndpointEntry[]): number | undefined {
    let weight = 0;
    let sum = 0;
    for (const {id} of endpoints) {
      const estimate = this.views.get(id)?.estimate;
      const fit = estimate?.getFit();
      if (estimate === undefined || fit === undefined) continue;
      const meanMs = Math.exp(fit.logBase + fit.variance / 2);
      weight += estimate.getWeight();
      sum += estimate.getWeight() * meanMs * estimate.getMeanSlowness();
    }
    return weight >= 1 ? sum / weight : undefined;
  }

  /** Forgets endpoints that are no longer registered. */
  removeUnregistered(registeredIds: ReadonlySet<string>): void {
    for (const id of this.views.keys()) {
      if (registeredIds.has(id)) continue;
      this.views.delete(id);
    }
  }

  /** Returns the estimate of an endpoint; undefined if it is unknown. */
  findView(id: string): CapacityView | undefined {
    return this.views.get(id);
  }

  private refreshLater(view: CapacityView, nowMs: number): void {
    view.refreshedAtMs = -Infinity;
    const {estimate} = view;
    const fit = estimate.getFit();
    if (fit === undefined || estimate.getWeight() < MIN_TOLD_WEIGHT) return;
    if (nowMs - view.toldAtMs < TOLD_INTERVAL_MS) return;
    const baseMs = Math.exp(fit.logBase);
    const kneeShare = getKneeShare(fit);
    const previousBaseMs = view.toldBaseMs;
    const difference = Math.abs(
      Math.log(baseMs / (previousBaseMs ?? Infinity)),
    );
    const error = Math.sqrt(
      fit.variance / estimate.getWeight() + view.toldUncertainty,
    );
    const isMaterial =
      difference > Math.max(MATERIAL_DIFFERENCE, MATERIAL_ERRORS * error) ||
      Math.abs(kneeShare - view.toldKneeShare) > 0.2;
    if (!isMaterial) return;
    view.toldAtMs = nowMs;
    view.toldBaseMs = baseMs;
    view.toldKneeShare = kneeShare;
    view.toldUncertainty = fit.variance / estimate.getWeight();
    this.options.onChanged?.({
      endpointId: view.id,
      baseMs,
      previousBaseMs,
      kneeShare,
      weight: estimate.getWeight(),
      meanSlowness: estimate.getMeanSlowness(),
    });
  }

  private refreshService(
    endpoints: readonly EndpointEntry[],
    nowMs: number,
  ): ServiceState {
    const {service} = endpoints[0];
    let state = this.services.get(service);
    if (state !== undefined && nowMs - state.refreshedAtMs < REFRESH_MS) {
      return state;
    }
    state ??= {
      medianLogBase: Math.log(UNKNOWN_BASE_MS),
      priorVariance: PRIOR_VARIANCE,
      surcharge: MIN_SURCHARGE,
      refreshedAtMs: 0,
    };
    this.services.set(service, state);
    state.refreshedAtMs = nowMs;
    const known: number[] = [];
    let noise = 0;
    let othersLoad = 0;
    for (const {id} of endpoints) {
      const view = this.views.get(id);
      const estimate = view?.estimate;
      if (view !== undefined) {
        othersLoad +=
          view.estimate.computeMeanOthersLoad(nowMs) / view.kneeLoad;
      }
      const fit = estimate?.getFit();
      if (estimate === undefined || fit === undefined) continue;
      if (estimate.getWeight() < MIN_MEDIAN_WEIGHT) continue;
      known.push(fit.logBase);
      noise += fit.variance / estimate.getWeight();
    }
    state.surcharge = Math.min(
      MAX_SURCHARGE,
      MIN_SURCHARGE + MAX_SURCHARGE * othersLoad,
    );
    if (known.length === 0) return state;
    known.sort((a, b) => a - b);
    state.medianLogBase = known[Math.floor((known.length - 1) / 2)];
    state.priorVariance = estimatePriorVariance(known, noise / known.length);
    return state;
  }

  private getView(id: string): CapacityView {
    const known = this.views.get(id);
    if (known !== undefined) return known;
    const view: CapacityView = {
      id,
      estimate: EndpointEstimate.create(),
      slots: 0,
      baseMs: UNKNOWN_BASE_MS,
      hopefulMs: UNKNOWN_BASE_MS,
      kneeLoad: 1,
      caution: 0,
      refreshedAtMs: -Infinity,
      toldBaseMs: undefined,
      toldKneeShare: 1,
      toldUncertainty: 0,
      toldAtMs: -Infinity,
    };
    this.views.set(id, view);
    return view;
  }
}
