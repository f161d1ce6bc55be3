/**
 * Decides which endpoints load which weight version next, so that each training
 * step finds endpoints with a version that is new enough, while other endpoints
 * continue to generate.
 *
 * Designed for this load: a new version every few seconds, which must be in use
 * within one step, and a weight store that slows down all loads when too many
 * run at once. With several models, each endpoint is kept up to date for only
 * some of them, in proportion to the work of the models. A step allows the version
 * before its own, so that an endpoint of two models need load only every second
 * version of each: the endpoints of a model take turns, which gives each step
 * twice as many endpoints for the same number of loads. A step arrives together
 * with its version: loads are delayed until its items have started on endpoints
 * whose older version the open jobs still allow, and some endpoints of the model
 * keep accepting runs while others load.
 *
 * After an outage all models are behind at once, and loads take longer than the
 * items that wait for them. Then the model loads first that has the most waiting
 * items for each endpoint that can run them.
 */
import {rankByRendezvous} from '../shared/hash';

/** Maximum share of all endpoints that load at the same time. */
const LOADING_SHARE = 0.25;
/** Maximum share of a model's endpoints that load at the same time while their
 * present version is still allowed by the open jobs. */
const MODEL_LOADING_SHARE = 0.5;
/** Number of models that each endpoint is kept up to date for, if there are as
 * many: the number of versions in a row that a step allows. */
const MODELS_PER_ENDPOINT = 2;
/** Delay after the announcement of a version before it is loaded by endpoints
 * whose present version the open jobs still allow, in ms: the step that belongs to the version
 * arrives and starts within this time. */
const STEP_ARRIVAL_MS = 400;

/** State of an endpoint that is relevant for planning loads. */
export interface LoadableEndpoint {
  readonly id: string;
  /** Present weight version of each model. */
  readonly versions: ReadonlyMap<string, number>;
  /** Whether a load is in progress or no load can be ordered now. */
  readonly isBusy: boolean;
  /** Model of the load in progress; undefined if there is none, or if an earlier
   * coordinator ordered it. */
  readonly loadingModel: string | undefined;
  readonly runs: number;
  /** Models for which the endpoint is kept at the newest version. */
  readonly models: ReadonlySet<string>;
}

/** Weight versions that are required of a model. */
export interface VersionDemand {
  readonly model: string;
  /** Newest version that its trainer has announced. */
  readonly newestVersion: number;
  /** Highest minimum version of the open jobs; 0 when there are none. */
  readonly minVersion: number;
  /** Time since the newest version was announced, in ms. */
  readonly sinceAnnouncedMs: number;
  /** Number of items of the open jobs that wait for a run. */
  readonly waitingItems: number;
}

/** A load to order from an endpoint. */
export interface PlannedLoad {
  readonly endpointId: string;
  readonly model: string;
  readonly version: number;
}

/** A load that may start. */
interface LoadCandidate {
  readonly demand: VersionDemand;
  readonly endpoint: LoadableEndpoint;
  readonly isTooOld: boolean;
}

/** Returns the loads to start now: first at endpoints that are too old for an
 * open job, those of the model that is shortest of endpoints first; then at those
 * that are the most versions behind, then at those with the most runs. */
export function planLoads(
  demands: readonly VersionDemand[],
  endpoints: readonly LoadableEndpoint[],
): PlannedLoad[] {
  const limit = Math.ceil(endpoints.length * LOADING_SHARE);
  const busy = endpoints.filter(endpoint => endpoint.isBusy).length;
  const selected = new Map<string, PlannedLoad>();
  for (let left = limit - busy; left > 0; left--) {
    const load = chooseLoad(demands, endpoints, selected);
    if (load === undefined) break;
    selected.set(load.endpointId, load);
  }
  return [...selected.values()];
}

function chooseLoad(
  demands: readonly VersionDemand[],
  endpoints: readonly LoadableEndpoint[],
  selected: ReadonlyMap<string, PlannedLoad>,
): PlannedLoad | undefined {
  const shortages = new Map(
    demands.map(demand => [
      demand.model,
      computeShortage(demand, endpoints, selected),
    ]),
  );
  const getShortage = ({demand}: LoadCandidate) =>
    shortages.get(demand.model) ?? 0;
  const [best] = demands
    .flatMap(demand => listCandidates(demand, endpoints, selected))
    .sort(
      (a, b) =>
        Number(b.isTooOld) - Number(a.isTooOld) ||
        (a.isTooOld ? compareNumbers(getShortage(b), getShortage(a)) : 0) ||
        countVersionsBehind(b) - countVersionsBehind(a) ||
        compareRuns(a, b),
    );
  if (best === undefined) return undefined;
  const {endpoint, demand} = best;
  const {model, newestVersion: version} = demand;
  return {endpointId: endpoint.id, model, version};
}

function listCandidates(
  demand: VersionDemand,
  endpoints: readonly LoadableEndpoint[],
  selected: ReadonlyMap<string, PlannedLoad>,
): LoadCandidate[] {
  const mayLoadUsable = canLoadUsableEndpoint(demand, endpoints, selected);
  return endpoints
    .filter(({isBusy, id}) => !isBusy && !selected.has(id))
    .filter(endpoint => needsLoad(endpoint, demand))
    .map(endpoint => ({
      demand,
      endpoint,
      isTooOld: isTooOld(endpoint, demand),
    }))
    .filter(candidate => candidate.isTooOld || mayLoadUsable);
}

/** Returns the number of waiting items of a model for each endpoint that can run
 * them now or after its load; Infinity if there is none. */
function computeShortage(
  demand: VersionDemand,
  endpoints: readonly LoadableEndpoint[],
  selected: ReadonlyMap<string, PlannedLoad>,
): number {
  if (demand.waitingItems === 0) return 0;
  const usable = endpoints.filter(
    endpoint =>
      !isTooOld(endpoint, demand) ||
      isLoadingModel(endpoint, demand.model, selected),
  );
  return demand.waitingItems / usable.length;
}

function isLoadingModel(
  {id, loadingModel}: LoadableEndpoint,
  model: string,
  selected: ReadonlyMap<string, PlannedLoad>,
): boolean {
  return loadingModel === model || selected.get(id)?.model === model;
}

/** An endpoint that must load anyway keeps its free slots for the items that wait;
 * one that is in use loads while its slots are taken. */
function compareRuns(a: LoadCandidate, b: LoadCandidate): number {
  const difference = b.endpoint.runs - a.endpoint.runs;
  return a.isTooOld && a.demand.waitingItems > 0 ? -difference : difference;
}

/** Returns whether one more endpoint of a model may load although open jobs can
 * still use its present version. */
function canLoadUsableEndpoint(
  demand: VersionDemand,
  endpoints: readonly LoadableEndpoint[],
  selected: ReadonlyMap<string, PlannedLoad>,
): boolean {
  if (demand.sinceAnnouncedMs < STEP_ARRIVAL_MS) return false;
  const modelEndpoints = endpoints.filter(endpoint =>
    endpoint.models.has(demand.model),
  );
  if (hasEnoughLoads(demand, modelEndpoints, selected)) return false;
  const loading = modelEndpoints.filter(endpoint =>
    isLoadingModel(endpoint, demand.model, selected),
  );
  const limit = Math.max(
    1,
    Math.floor(modelEndpoints.length * MODEL_LOADING_SHARE),
  );
  return loading.length < limit;
}

/** Returns whether as many endpoints of a model have its newest version, or load
 * one, as their turns require. */
function hasEnoughLoads(
  demand: VersionDemand,
  modelEndpoints: readonly LoadableEndpoint[],
  selected: ReadonlyMap<string, PlannedLoad>,
): boolean {
  const turns = Math.max(...modelEndpoints.map(({models}) => models.size));
  const loaded = modelEndpoints.filter(
    endpoint =>
      getVersion(endpoint, demand) >= demand.newestVersion ||
      isLoadingModel(endpoint, demand.model, selected),
  );
  const required = Math.max(1, Math.floor(modelEndpoints.length / turns));
  return loaded.length >= required;
}

/** Compares two numbers, which may be infinite. */
function compareNumbers(a: number, b: number): number {
  return a === b ? 0 : a - b;
}

function countVersionsBehind({demand, endpoint}: LoadCandidate): number {
  return demand.newestVersion - getVersion(endpoint, demand);
}

function getVersion(endpoint: LoadableEndpoint, demand: VersionDemand): number {
  return endpoint.versions.get(demand.model) ?? 0;
}

function needsLoad(endpoint: LoadableEndpoint, demand: VersionDemand): boolean {
  if (!endpoint.models.has(demand.model)) return false;
  return getVersion(endpoint, demand) < demand.newestVersion;
}

function isTooOld(endpoint: LoadableEndpoint, demand: VersionDemand): boolean {
  return getVersion(endpoint, demand) < demand.minVersion;
}

/** Work of a model, which determines its share of the endpoints. */
export interface ModelWork {
  readonly model: string;
  /** Amount of work, such as the items of a job, in the same unit for all
   * models. */
  readonly work: number;
}

/**
 * Assigns endpoints to models in proportion to the work of the models. Each
 * model gets at least one endpoint, and an endpoint gets several models where
 * there are too few endpoints. The result depends on the arguments alone, so the
 * assignment is stable as long as endpoints and workloads are.
 */
export function assignModels(
  workloads: readonly ModelWork[],
  endpointIds: readonly string[],
): Map<string, Set<string>> {
  const assigned = new Map<string, Set<string>>();
  if (workloads.length === 0) return assigned;
  const modelsPerEndpoint = Math.min(MODELS_PER_ENDPOINT, workloads.length);
  const counts = splitByWork(
    workloads,
    endpointIds.length * modelsPerEndpoint,
    endpointIds.length,
  );
  const ordered = rankByRendezvous('models', endpointIds);
  let next = 0;
  for (const [index, workload] of workloads.entries()) {
    for (let i = 0; i < counts[index]; i++) {
      const id = ordered[next % ordered.length];
      next += 1;
      if (id === undefined) return assigned;
      const models = assigned.get(id) ?? new Set<string>();
      models.add(workload.model);
      assigned.set(id, models);
    }
  }
  return assigned;
}

/** Splits a number of places by the largest remainder method; each model gets at
 * least one, and at most `most`. */
function splitByWork(
  workloads: readonly ModelWork[],
  total: number,
  most: number,
): number[] {
  const totalWork = workloads.reduce((sum, {work}) => sum + work, 0);
  const exact = workloads.map(({work}) =>
    totalWork > 0 ? (work / totalWork) * total : total / workloads.length,
  );
  const counts = exact.map(value =>
    Math.min(most, Math.max(1, Math.floor(value))),
  );
  let unassigned = total - counts.reduce((sum, count) => sum + count, 0);
  const order = exact
    .map((value, index) => ({index, fraction: value - Math.floor(value)}))
    .sort((a, b) => b.fraction - a.fraction);
  for (const {index} of order) {
    if (unassigned <= 0) break;
    if (counts[index] >= most) continue;
    counts[index] += 1;
    unassigned -= 1;
  }
  return counts;
}
