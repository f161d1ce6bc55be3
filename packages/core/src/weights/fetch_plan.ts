/**
 * Plans where an agent gets new weights. In each failure domain, a few agents
 * with a disk for weights fetch from the rate-limited weight store, spaced in
 * time. Other agents copy from agents of their own failure domain first, then
 * from the fetchers of other domains.
 */
import {rankByRendezvous} from '../shared/hash';

/** Number of agents in each failure domain that fetch from the store. */
export const FETCHERS_PER_DOMAIN = 2;
const MS_PER_SECOND = 1_000;

/** An agent with a disk for weights, from which other agents can copy them. */
export interface WeightHolder {
  readonly name: string;
  readonly failureDomain: string;
}

/** An agent's need for a version, and the agents that may supply it. */
export interface FetchPlanRequest {
  /** Name of the agent that the plan is for. */
  readonly self: string;
  readonly failureDomain: string;
  /** Identifies the version; the same for all agents. */
  readonly versionKey: string;
  /** All agents with a disk for weights. */
  readonly holders: readonly WeightHolder[];
  /** Number of fetches that the store allows per second. */
  readonly storeFetchesPerSecond: number;
}

/** The sources from which an agent gets the weights of a version. */
export interface FetchPlan {
  /** Whether this agent fetches from the store. */
  readonly isFetcher: boolean;
  /**
   * Delay before this agent's first fetch from the store. An agent that is
   * not a fetcher waits until every fetcher has had its turn.
   */
  readonly storeDelayMs: number;
  /** Holders to copy from, those of the agent's own failure domain first. */
  readonly holders: readonly string[];
}

/**
 * Returns the plan of one agent. All agents pick the same fetchers without
 * coordination, provided that they know the same holders.
 */
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

/**
 * Lists the fetchers of all failure domains: first the highest-ranked holder
 * of each domain, then the next one of each.
 */
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
  for (let rank = 0; rank < FETCHERS_PER_DOMAIN; rank++) {
    for (const names of byDomain) {
      fetchers.push(...names.slice(rank, rank + 1));
    }
  }
  return fetchers;
}

/**
 * Ranks the holders to copy from: those of the agent's own failure domain,
 * then the fetchers of other domains. The order differs from agent to agent,
 * which distributes the load among the holders.
 */
function rankHolders(
  request: FetchPlanRequest,
  fetchers: readonly string[],
): string[] {
  const key = `${request.versionKey}/${request.self}`;
  const others = request.holders.filter(holder => holder.name !== request.self);
  const isLocal = (holder: WeightHolder) =>
    holder.failureDomain === request.failureDomain;
  const localNames = others.filter(isLocal).map(holder => holder.name);
  const remoteHolders = others.filter(holder => !isLocal(holder));
  const remoteFetchers = remoteHolders
    .map(holder => holder.name)
    .filter(name => fetchers.includes(name));
  return [
    ...rankByRendezvous(key, localNames),
    ...rankByRendezvous(key, remoteFetchers),
  ];
}
