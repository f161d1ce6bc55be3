/**
 * Where an agent takes new weights from. A few agents with a disk in each
 * failure domain fetch from the rate-limited weight store, spaced in time;
 * every other agent copies from them.
 */
import {rankByRendezvous} from '../shared/hash';

/** Agents of a failure domain that fetch from the store. */
export const FETCHERS_PER_DOMAIN = 2;
const MS_PER_SECOND = 1_000;

/** An agent that keeps weights on its disk. */
export interface WeightHolder {
  readonly name: string;
  readonly failureDomain: string;
}

/** What a plan is made from. */
export interface FetchPlanRequest {
  readonly self: string;
  readonly failureDomain: string;
  /** Name of the version, equal for all agents. */
  readonly versionKey: string;
  readonly holders: readonly WeightHolder[];
  /** Fetches that the store allows in a second. */
  readonly storeFetchesPerSecond: number;
}

/** Where the weights of a version come from, in order of preference. */
export interface FetchPlan {
  /** Whether this agent fetches from the store. */
  readonly isFetcher: boolean;
  /** Time before this agent's first fetch from the store, in ms. */
  readonly storeDelayMs: number;
  /** Holders to copy from, nearest first. */
  readonly holders: readonly string[];
}

/** Makes the plan of one agent. Every agent makes the same of the others. */
export function planFetch(request: FetchPlanRequest): FetchPlan {
  const fetchers = listFetchers(request);
  const rank = fetchers.indexOf(request.self);
  const isFetcher = rank >= 0;
  const position = isFetcher ? rank : fetchers.length;
  const perSecond = Math.max(1, request.storeFetchesPerSecond);
  return {
    isFetcher,
    storeDelayMs: Math.floor(position / perSecond) * MS_PER_SECOND,
    holders: rankHolders(request, fetchers),
  };
}

/** Lists the fetchers of all failure domains, each domain's first one first. */
function listFetchers(request: FetchPlanRequest): string[] {
  const domains = [
    ...new Set(request.holders.map(holder => holder.failureDomain)),
  ].sort();
  const byDomain = domains.map(domain =>
    rankByRendezvous(
      request.versionKey,
      request.holders
        .filter(holder => holder.failureDomain === domain)
        .map(holder => holder.name),
    ).slice(0, FETCHERS_PER_DOMAIN),
  );
  const fetchers: string[] = [];
  for (let place = 0; place < FETCHERS_PER_DOMAIN; place++) {
    for (const names of byDomain) {
      fetchers.push(...names.slice(place, place + 1));
    }
  }
  return fetchers;
}

/** Orders the holders: own domain first, spread among those who copy. */
function rankHolders(
  request: FetchPlanRequest,
  fetchers: readonly string[],
): string[] {
  const key = `${request.versionKey}/${request.self}`;
  const others = request.holders.filter(holder => holder.name !== request.self);
  const isNear = (holder: WeightHolder) =>
    holder.failureDomain === request.failureDomain;
  const near = others.filter(isNear).map(holder => holder.name);
  const far = others.filter(holder => !isNear(holder));
  const farFetchers = far
    .map(holder => holder.name)
    .filter(name => fetchers.includes(name));
  return [
    ...rankByRendezvous(key, near),
    ...rankByRendezvous(key, farFetchers),
  ];
}
