/**
 * Chooses the endpoint that a request is sent to.
 *
 * The chooser looks at the reported load, the entry's own outstanding
 * requests, the prefix that the request shares with others, and the failure
 * domains that the rules allow.
 */
import {Result, err, ok} from 'neverthrow';
import {ServiceError, createError} from '../errors/error_kinds';
import type {EndpointView} from '../membership/fleet_view';
import type {DomainPlacement} from '../rules/rule_book';
import type {RandomSource} from '../shared/clock';
import {rankByRendezvous} from '../shared/hash';

/** Load above this multiple of the mean breaks prefix affinity. */
const AFFINITY_LOAD_FACTOR = 1.25;

/** What the chooser needs to know of a request. */
export interface RouteRequest {
  readonly service: string;
  /** Equal for requests that share a prompt prefix; empty for none. */
  readonly prefixKey: string;
  readonly ownDomain: string;
  readonly placement: DomainPlacement;
  /** Endpoints that have failed this request already. */
  readonly excluded: readonly string[];
  /** Failure domain to stay away from, after a crash there. */
  readonly avoidDomain: string | undefined;
}

/** Chooses among the endpoints that may get new work. */
export function chooseEndpoint(
  request: RouteRequest,
  endpoints: readonly EndpointView[],
  random: RandomSource,
): Result<EndpointView, ServiceError> {
  const allowed = endpoints.filter(item => isAllowed(item, request));
  const groups = [
    allowed.filter(item => item.failureDomain === request.ownDomain),
    allowed.filter(item => !isSpill(item, request)),
    allowed,
  ];
  const free = groups.find(group => group.some(hasFreeSlot));
  const group = free ?? groups.find(candidates => candidates.length > 0);
  if (group === undefined) {
    const detail = `no endpoint of ${request.service} takes work`;
    return err(createError('no-endpoint', detail));
  }
  return ok(chooseInGroup(request, group, random));
}

function isAllowed(endpoint: EndpointView, request: RouteRequest): boolean {
  if (request.excluded.includes(endpoint.name)) return false;
  if (endpoint.failureDomain === request.avoidDomain) return false;
  const {allowed} = request.placement;
  return allowed === undefined || allowed.includes(endpoint.failureDomain);
}

function isSpill(endpoint: EndpointView, request: RouteRequest): boolean {
  return request.placement.spill.includes(endpoint.failureDomain);
}

function hasFreeSlot(endpoint: EndpointView): boolean {
  return estimateLoad(endpoint) < 1;
}

/** Work at an endpoint per slot, from reports and own dispatches. */
export function estimateLoad(endpoint: EndpointView): number {
  const reported = endpoint.running + endpoint.queued;
  const work = Math.max(reported, endpoint.outstanding);
  return work / Math.max(1, endpoint.slots);
}

function chooseInGroup(
  request: RouteRequest,
  group: readonly EndpointView[],
  random: RandomSource,
): EndpointView {
  if (request.prefixKey === '') return chooseLeastLoaded(group, random);
  const loads = group.map(estimateLoad);
  const mean = loads.reduce((sum, load) => sum + load, 0) / group.length;
  const bound = Math.max(1, mean * AFFINITY_LOAD_FACTOR);
  const names = group.map(endpoint => endpoint.name);
  for (const name of rankByRendezvous(request.prefixKey, names)) {
    const endpoint = group.find(item => item.name === name);
    if (endpoint !== undefined && estimateLoad(endpoint) < bound) {
      return endpoint;
    }
  }
  return chooseLeastLoaded(group, random);
}

function chooseLeastLoaded(
  group: readonly EndpointView[],
  random: RandomSource,
): EndpointView {
  const least = Math.min(...group.map(estimateLoad));
  const ties = group.filter(endpoint => estimateLoad(endpoint) === least);
  return ties[Math.floor(random() * ties.length)] ?? ties[0];
}
