/**
 * Decides which endpoints load which weight version next, so that every step
 * finds endpoints that are new enough while others go on generating.
 *
 * Answers this load: a version a few seconds, each taken up within a step, and
 * a store of weights that slows all loads when too many run at once. With
 * several models, each endpoint is kept current for some of them only, in
 * proportion to their work. A step arrives with its version: its items start
 * first, and endpoints of its model stay open while others load.
 */
import {rankByRendezvous} from '../shared/hash';

/** Share of a pool that loads at once. */
const LOADING_SHARE = 0.25;
/** Share of a model's endpoints that loads at once, where the others can go on
 * with its steps. */
const MODEL_LOADING_SHARE = 0.5;
/** Time after a version is named before endpoints that steps can still use load
 * it, in ms: the step that comes with it arrives and starts within that. */
const STEP_ARRIVAL_MS = 400;

/** An endpoint as the plan sees it. */
export interface LoadableEndpoint {
  readonly id: string;
  /** Weight version of each model. */
  readonly versions: ReadonlyMap<string, number>;
  /** Whether an order is under way or cannot be given now. */
  readonly isBusy: boolean;
  readonly runs: number;
  /** Models whose newest version it should have. */
  readonly models: ReadonlySet<string>;
}

/** A model and what is asked of it. */
export interface ModelDemand {
  readonly model: string;
  /** Newest version that its trainer has named. */
  readonly newestVersion: number;
  /** Oldest version that an open job takes; 0 without one. */
  readonly minVersion: number;
  /** Time since the newest version was named, in ms. */
  readonly sinceAnnouncedMs: number;
}

/** One order. */
export interface PlannedLoad {
  readonly endpointId: string;
  readonly model: string;
  readonly version: number;
}

/** Returns the loads that should begin now. */
export function planLoads(
  demands: readonly ModelDemand[],
  endpoints: readonly LoadableEndpoint[],
): PlannedLoad[] {
  const limit = Math.max(1, Math.floor(endpoints.length * LOADING_SHARE));
  const busy = endpoints.filter(endpoint => endpoint.isBusy).length;
  let free = limit - busy;
  if (free <= 0) return [];
  const options = demands.flatMap(demand =>
    endpoints
      .filter(endpoint => !endpoint.isBusy && needsLoad(endpoint, demand))
      .map(endpoint => ({demand, endpoint})),
  );
  options.sort(
    (a, b) =>
      compareNumbers(
        isTooOld(b.endpoint, b.demand),
        isTooOld(a.endpoint, a.demand),
      ) ||
      getVersion(a.endpoint, a.demand) - getVersion(b.endpoint, b.demand) ||
      b.endpoint.runs - a.endpoint.runs,
  );
  const taken = new Set<string>();
  const loads: PlannedLoad[] = [];
  for (const {demand, endpoint} of options) {
    if (free <= 0) break;
    if (taken.has(endpoint.id)) continue;
    if (
      !isTooOld(endpoint, demand) &&
      !canStartLoad(demand, endpoints, taken)
    ) {
      continue;
    }
    taken.add(endpoint.id);
    free -= 1;
    const {model, newestVersion: newest} = demand;
    loads.push({endpointId: endpoint.id, model, version: newest});
  }
  return loads;
}

/** Tells whether one more endpoint that steps of a model can use may load. */
function canStartLoad(
  demand: ModelDemand,
  endpoints: readonly LoadableEndpoint[],
  taken: ReadonlySet<string>,
): boolean {
  if (demand.sinceAnnouncedMs < STEP_ARRIVAL_MS) return false;
  const own = endpoints.filter(endpoint => endpoint.models.has(demand.model));
  const closed = own.filter(({id, isBusy}) => isBusy || taken.has(id));
  const limit = Math.max(1, Math.floor(own.length * MODEL_LOADING_SHARE));
  return closed.length < limit;
}

function compareNumbers(a: boolean, b: boolean): number {
  return Number(a) - Number(b);
}

function getVersion(endpoint: LoadableEndpoint, demand: ModelDemand): number {
  return endpoint.versions.get(demand.model) ?? 0;
}

function needsLoad(endpoint: LoadableEndpoint, demand: ModelDemand): boolean {
  if (!endpoint.models.has(demand.model)) return false;
  return getVersion(endpoint, demand) < demand.newestVersion;
}

function isTooOld(endpoint: LoadableEndpoint, demand: ModelDemand): boolean {
  return getVersion(endpoint, demand) < demand.minVersion;
}

/** Work of a model, for its share of the endpoints. */
export interface ModelShare {
  readonly model: string;
  /** Tokens a step, smoothed. */
  readonly work: number;
}

/**
 * Gives each endpoint the models that it is kept current for: all of them
 * where there is one, else one each, in proportion to the models' work. Stays
 * the same while endpoints and shares do.
 */
export function assignModels(
  shares: readonly ModelShare[],
  endpointIds: readonly string[],
): Map<string, Set<string>> {
  const assigned = new Map<string, Set<string>>();
  if (shares.length === 0) return assigned;
  const counts = splitByWork(shares, endpointIds.length);
  const ordered = rankByRendezvous('models', endpointIds);
  let next = 0;
  for (const [index, share] of shares.entries()) {
    for (let i = 0; i < counts[index]; i++) {
      const id = ordered[next % ordered.length];
      next += 1;
      if (id === undefined) return assigned;
      const models = assigned.get(id) ?? new Set<string>();
      models.add(share.model);
      assigned.set(id, models);
    }
  }
  return assigned;
}

/** Splits a number of endpoints by largest remainder, each at least one. */
function splitByWork(shares: readonly ModelShare[], total: number): number[] {
  const work = shares.reduce((sum, share) => sum + share.work, 0);
  const exact = shares.map(share =>
    work > 0 ? (share.work / work) * total : total / shares.length,
  );
  const counts = exact.map(value => Math.max(1, Math.floor(value)));
  let rest = total - counts.reduce((sum, count) => sum + count, 0);
  const order = exact
    .map((value, index) => ({index, part: value - Math.floor(value)}))
    .sort((a, b) => b.part - a.part);
  for (const {index} of order) {
    if (rest <= 0) break;
    counts[index] += 1;
    rest -= 1;
  }
  return counts;
}
